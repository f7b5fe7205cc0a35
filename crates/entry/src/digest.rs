//! Digests of a request's content and of the text that was delivered.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Bytes of a digest: half of SHA-256, enough against chance and against a forger, who would also
/// need the key of the signature.
pub const DIGEST_BYTES: usize = 16;

/// A rolling digest of an answer's tokens, in order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TextDigest(pub [u8; DIGEST_BYTES]);

impl TextDigest {
    /// The digest with one more token.
    #[must_use]
    pub fn extended(self, token: &str) -> Self {
        let mut hash = Sha256::new();
        hash.update(self.0);
        hash.update(token.as_bytes());
        Self(truncate(hash))
    }
}

/// A digest of everything that decides an answer's text.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContentDigest(pub [u8; DIGEST_BYTES]);

impl ContentDigest {
    /// The digest of some parts; each goes in with its length, so that parts can't run together.
    #[must_use]
    pub fn of_parts(parts: &[&[u8]]) -> Self {
        let mut hash = Sha256::new();
        for part in parts {
            let length = u64::try_from(part.len()).unwrap_or(u64::MAX);
            hash.update(length.to_be_bytes());
            hash.update(part);
        }
        Self(truncate(hash))
    }
}

fn truncate(hash: Sha256) -> [u8; DIGEST_BYTES] {
    let whole = hash.finalize();
    let mut half = [0; DIGEST_BYTES];
    half.copy_from_slice(&whole[..DIGEST_BYTES]);
    half
}
