//! Authentication of operators with a shared bearer key.

use http::{HeaderMap, header};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// The operators' key, stored as its SHA-256 hash.
#[derive(Debug, Clone)]
pub struct OperatorKey {
    hash: [u8; 32],
}

impl OperatorKey {
    /// Hashes a key; the key itself is not kept.
    #[must_use]
    pub fn new(key: &str) -> Self {
        Self {
            hash: Sha256::digest(key.as_bytes()).into(),
        }
    }

    /// Returns whether a request carries the key as its bearer token.
    ///
    /// The hashes have a fixed length and are compared in constant time. The time of a plain
    /// comparison would reveal how many characters of a guess are right.
    #[must_use]
    pub fn authenticates(&self, headers: &HeaderMap) -> bool {
        let given = headers
            .get(header::AUTHORIZATION)
            .and_then(|value| value.to_str().ok())
            .and_then(|text| text.strip_prefix("Bearer "));
        let Some(given) = given else { return false };
        let hash: [u8; 32] = Sha256::digest(given.as_bytes()).into();
        bool::from(hash.ct_eq(&self.hash))
    }
}
