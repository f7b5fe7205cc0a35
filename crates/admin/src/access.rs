//! Who may operate: whoever sends the operators' key.

use http::{HeaderMap, header};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// Hash of the operators' key.
#[derive(Debug, Clone)]
pub struct OperatorKey {
    hash: [u8; 32],
}

impl OperatorKey {
    /// Keeps the hash of a key, not the key.
    #[must_use]
    pub fn new(key: &str) -> Self {
        Self {
            hash: Sha256::digest(key.as_bytes()).into(),
        }
    }

    /// Whether a request carries the key.
    ///
    /// Hashes of fixed length are compared in constant time; comparing the keys themselves would
    /// tell by its duration how many characters of a guess are right.
    #[must_use]
    pub fn allows(&self, headers: &HeaderMap) -> bool {
        let given = headers
            .get(header::AUTHORIZATION)
            .and_then(|value| value.to_str().ok())
            .and_then(|text| text.strip_prefix("Bearer "));
        let Some(given) = given else { return false };
        let hash: [u8; 32] = Sha256::digest(given.as_bytes()).into();
        bool::from(hash.ct_eq(&self.hash))
    }
}
