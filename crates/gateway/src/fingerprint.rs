//! Fingerprints of requests.

use domain::CustomerId;
use serving::RequestFingerprint;
use sha2::{Digest, Sha256};

use crate::admitted::AdmittedRequest;

impl AdmittedRequest {
    /// Fingerprint of customer, path and body, by which the same request is recognized when it is
    /// sent again.
    #[must_use]
    pub fn fingerprint(&self) -> RequestFingerprint {
        let customer = self.customer.as_ref().map_or("", CustomerId::as_str);
        let path = self.uri.path_and_query().map_or("", |path| path.as_str());
        let mut hash = Sha256::new();
        for part in [customer.as_bytes(), path.as_bytes(), &self.body] {
            hash.update(u64::try_from(part.len()).unwrap_or(u64::MAX).to_be_bytes());
            hash.update(part);
        }
        let mut prefix = [0; 16];
        prefix.copy_from_slice(&hash.finalize()[..16]);
        RequestFingerprint(u128::from_be_bytes(prefix))
    }
}
