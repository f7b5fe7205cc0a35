//! Digests of request contents and of delivered text.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Length of a digest in bytes. Half of SHA-256 is enough against accidental collisions; a forger
/// would also need the signing key.
pub const DIGEST_BYTES: usize = 16;

/// Rolling digest of the tokens of a response, in order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TextDigest(pub [u8; DIGEST_BYTES]);

impl TextDigest {
    /// Returns the digest extended by one token.
    #[must_use]
    pub fn extended(self, token: &str) -> Self {
        let mut hasher = Sha256::new();
        hasher.update(self.0);
        hasher.update(token.as_bytes());
        Self(truncate(hasher))
    }
}

/// Digest of everything that determines the generated text.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContentDigest(pub [u8; DIGEST_BYTES]);

impl ContentDigest {
    /// Computes the digest of several parts. Each part is prefixed with its length, so that
    /// different splits of the same bytes have different digests.
    #[must_use]
    pub fn of_parts(parts: &[&[u8]]) -> Self {
        let mut hasher = Sha256::new();
        for part in parts {
            let length = u64::try_from(part.len()).unwrap_or(u64::MAX);
            hasher.update(length.to_be_bytes());
            hasher.update(part);
        }
        Self(truncate(hasher))
    }
}

fn truncate(hasher: Sha256) -> [u8; DIGEST_BYTES] {
    let hash = hasher.finalize();
    let mut half = [0; DIGEST_BYTES];
    half.copy_from_slice(&hash[..DIGEST_BYTES]);
    half
}
