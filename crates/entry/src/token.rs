//! Resume tokens, sent as the `id:` of every event of a stream.
//!
//! A token identifies a stream and how much of it the client has received. It is signed with a key
//! shared by all entries, so that clients can resume at any entry after the first one has failed,
//! but can't forge tokens or use those of another customer.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use domain::{AttemptId, CustomerId, IncarnationNumber, ReplicaId, RequestId};
use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::digest::{ContentDigest, DIGEST_BYTES, TextDigest};
use crate::settings::SecretText;

/// Maximum accepted length of a token in bytes; no issued token is longer.
const MAX_TOKEN_BYTES: usize = 2_048;

const SIGNATURE_BYTES: usize = 16;
const COUNT_BYTES: usize = 4;
const TAIL_BYTES: usize = COUNT_BYTES + DIGEST_BYTES + SIGNATURE_BYTES;

/// Fields that all tokens of one attempt share.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenScope {
    /// Request id, the same for all attempts and entries.
    pub request: RequestId,
    /// Customer that may resume the stream.
    pub customer: CustomerId,
    /// Attempt whose stream the engine may have kept.
    pub attempt: AttemptId,
    /// Replica that the attempt runs on.
    pub replica: ReplicaId,
    /// Incarnation of the replica; a later one has not kept the stream.
    pub incarnation: IncarnationNumber,
    /// Digest of the request, to reject a token that is sent with another request.
    pub content: ContentDigest,
}

/// How much of a response a client has received.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StreamOffset {
    /// Number of tokens.
    pub count: u32,
    /// Rolling digest of these tokens, to verify a regenerated response.
    pub digest: TextDigest,
}

/// A verified token.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResumeToken {
    /// Stream that the token belongs to.
    pub scope: TokenScope,
    /// How much of it the client has received.
    pub offset: StreamOffset,
}

/// Why a token was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum TokenError {
    /// It can't be decoded.
    #[error("not a resume token; send the id of the last event unchanged")]
    Malformed,
    /// Its signature does not match the entries' key.
    #[error("the signature of the resume token is invalid")]
    InvalidSignature,
}

/// Signs and verifies tokens.
#[derive(Clone)]
pub struct TokenSigner {
    mac: Hmac<Sha256>,
}

impl std::fmt::Debug for TokenSigner {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("TokenSigner(hidden)")
    }
}

/// Signs the tokens of one attempt; their common prefix is encoded and hashed only once.
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
    /// Creates a signer with the entries' shared key, or with a random key valid for this process
    /// only.
    #[must_use]
    pub fn new(key: Option<&SecretText>) -> Self {
        let mut hash = Sha256::new();
        match key {
            Some(key) => hash.update(key.as_bytes()),
            None => hash.update(rand::random::<[u8; 32]>()),
        }
        let mac = Hmac::<Sha256>::new_from_slice(&hash.finalize())
            .unwrap_or_else(|error| unreachable!("HMAC accepts keys of any length: {error}"));
        Self { mac }
    }

    /// Returns a signer for the tokens of one attempt.
    #[must_use]
    pub fn scope(&self, scope: &TokenScope) -> ScopeSigner {
        let prefix = bincode::serde::encode_to_vec(scope, bincode::config::standard())
            .unwrap_or_else(|error| unreachable!("encoding into a vector does not fail: {error}"));
        let mut mac = self.mac.clone();
        mac.update(&prefix);
        ScopeSigner { prefix, mac }
    }

    /// Verifies and decodes a token.
    ///
    /// # Errors
    ///
    /// [`TokenError`] if the token is malformed or its signature is invalid.
    pub fn verify(&self, text: &str) -> Result<ResumeToken, TokenError> {
        if text.len() > MAX_TOKEN_BYTES {
            return Err(TokenError::Malformed);
        }
        let bytes = URL_SAFE_NO_PAD
            .decode(text)
            .map_err(|_| TokenError::Malformed)?;
        let prefix_len = bytes
            .len()
            .checked_sub(TAIL_BYTES)
            .ok_or(TokenError::Malformed)?;
        let (signed, signature) = bytes.split_at(bytes.len() - SIGNATURE_BYTES);
        let mut mac = self.mac.clone();
        mac.update(signed);
        // The comparison is constant-time, so that its duration reveals nothing to a forger.
        mac.verify_truncated_left(signature)
            .map_err(|_| TokenError::InvalidSignature)?;
        let (prefix, tail) = signed.split_at(prefix_len);
        let (scope, consumed): (TokenScope, usize) =
            bincode::serde::decode_from_slice(prefix, bincode::config::standard())
                .map_err(|_| TokenError::Malformed)?;
        if consumed != prefix.len() {
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
    /// Returns the token for a client that has received the response up to `offset`.
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
