//! Resume tokens: the `id:` of every event of a stream.
//!
//! A token says which stream it is of and how much of it the caller has. It is sealed with a key
//! that all entries share, so that a caller can go on at any of them after the first one died, and
//! can't make up a token or use another customer's.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use domain::{AttemptId, CustomerId, IncarnationNumber, ReplicaId, RequestId};
use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::digest::{ContentDigest, DIGEST_BYTES, TextDigest};
use crate::settings::SecretText;

/// Longest token that is looked at, in bytes; a longer one is not ours.
const MAX_TOKEN_BYTES: usize = 2_048;

const SIGNATURE_BYTES: usize = 16;
const COUNT_BYTES: usize = 4;
const TAIL_BYTES: usize = COUNT_BYTES + DIGEST_BYTES + SIGNATURE_BYTES;

/// What a stream's tokens have in common as long as one attempt feeds it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenScope {
    /// The request, the same over all its attempts and entries.
    pub request: RequestId,
    /// Who may go on with it.
    pub customer: CustomerId,
    /// The attempt whose stream the engine may have kept.
    pub attempt: AttemptId,
    /// Where the attempt runs.
    pub replica: ReplicaId,
    /// The replica's incarnation.
    pub incarnation: IncarnationNumber,
    /// What was asked for.
    pub content: ContentDigest,
}

/// How much of an answer a caller has.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StreamOffset {
    /// Tokens.
    pub count: u32,
    /// Their rolling digest.
    pub digest: TextDigest,
}

/// An opened token.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResumeToken {
    /// The stream.
    pub scope: TokenScope,
    /// How much of it the caller has.
    pub offset: StreamOffset,
}

/// Why a token can't be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum TokenError {
    /// It is no token of this system.
    #[error("this is no resume token; send the id of the last event as it came")]
    Malformed,
    /// Its seal is not by the entries' key.
    #[error("the resume token is not from these entries, or was changed")]
    InvalidSignature,
}

/// Seals and opens tokens.
#[derive(Clone)]
pub struct TokenSigner {
    mac: Hmac<Sha256>,
}

impl std::fmt::Debug for TokenSigner {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("TokenSigner(hidden)")
    }
}

/// Seals the tokens of one attempt; the part that stays the same is encoded and hashed once.
#[derive(Clone)]
pub struct ScopeSigner {
    prefix: Vec<u8>,
    mac: Hmac<Sha256>,
}

impl std::fmt::Debug for ScopeSigner {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("ScopeSigner(hidden)")
    }
}

impl TokenSigner {
    /// A signer with the entries' key, or with a key of this process's own.
    #[must_use]
    pub fn new(key: Option<&SecretText>) -> Self {
        let mut hash = Sha256::new();
        match key {
            Some(key) => hash.update(key.as_bytes()),
            None => hash.update(rand::random::<[u8; 32]>()),
        }
        let mac = Hmac::<Sha256>::new_from_slice(&hash.finalize())
            .unwrap_or_else(|error| unreachable!("a key of any length is taken: {error}"));
        Self { mac }
    }

    /// The signer of one attempt.
    #[must_use]
    pub fn scope(&self, scope: &TokenScope) -> ScopeSigner {
        let prefix = bincode::serde::encode_to_vec(scope, bincode::config::standard())
            .unwrap_or_else(|error| unreachable!("plain fields encode into memory: {error}"));
        let mut mac = self.mac.clone();
        mac.update(&prefix);
        ScopeSigner { prefix, mac }
    }

    /// Opens a token.
    ///
    /// # Errors
    ///
    /// [`TokenError`].
    pub fn verify(&self, text: &str) -> Result<ResumeToken, TokenError> {
        if text.len() > MAX_TOKEN_BYTES {
            return Err(TokenError::Malformed);
        }
        let bytes = URL_SAFE_NO_PAD
            .decode(text)
            .map_err(|_| TokenError::Malformed)?;
        let split = bytes
            .len()
            .checked_sub(TAIL_BYTES)
            .ok_or(TokenError::Malformed)?;
        let (signed, signature) = bytes.split_at(bytes.len() - SIGNATURE_BYTES);
        let mut mac = self.mac.clone();
        mac.update(signed);
        // Compared in constant time, so that a forger learns nothing from how long it takes.
        mac.verify_truncated_left(signature)
            .map_err(|_| TokenError::InvalidSignature)?;
        let (prefix, tail) = signed.split_at(split);
        let (scope, used): (TokenScope, usize) =
            bincode::serde::decode_from_slice(prefix, bincode::config::standard())
                .map_err(|_| TokenError::Malformed)?;
        if used != prefix.len() {
            return Err(TokenError::Malformed);
        }
        let offset = read_offset(tail).ok_or(TokenError::Malformed)?;
        Ok(ResumeToken { scope, offset })
    }
}

fn read_offset(tail: &[u8]) -> Option<StreamOffset> {
    let (count, digest) = tail.split_at_checked(COUNT_BYTES)?;
    Some(StreamOffset {
        count: u32::from_be_bytes(count.try_into().ok()?),
        digest: TextDigest(digest.try_into().ok()?),
    })
}

impl ScopeSigner {
    /// The token for a caller that has so much of the answer.
    #[must_use]
    pub fn sign(&self, offset: StreamOffset) -> String {
        let mut bytes = Vec::with_capacity(self.prefix.len() + TAIL_BYTES);
        bytes.extend_from_slice(&self.prefix);
        bytes.extend_from_slice(&offset.count.to_be_bytes());
        bytes.extend_from_slice(&offset.digest.0);
        let mut mac = self.mac.clone();
        mac.update(&bytes[self.prefix.len()..]);
        let signature = mac.finalize().into_bytes();
        bytes.extend_from_slice(&signature[..SIGNATURE_BYTES]);
        URL_SAFE_NO_PAD.encode(bytes)
    }
}
