//! Who calls: the customer of a bearer key.

use std::fmt::Write;

use control::ConfigView;
use domain::record::CustomerRecord;
use http::{HeaderMap, header};
use sha2::{Digest, Sha256};
use wire::caller::ErrorCode;

use crate::failure::CallerFailure;

/// SHA-256 as 64 hexadecimal digits in lower case.
#[must_use]
pub fn hex_hash(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(64);
    for byte in Sha256::digest(bytes) {
        let _ = write!(text, "{byte:02x}");
    }
    text
}

/// Finds the customer of a request's bearer key.
///
/// Only hashes are compared, so that neither the table nor the time of the comparison tells a key.
///
/// # Errors
///
/// [`ErrorCode::InvalidKey`].
pub fn find_customer<'view>(
    view: &'view ConfigView,
    headers: &HeaderMap,
) -> Result<&'view CustomerRecord, CallerFailure> {
    let key = headers
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.strip_prefix("Bearer "))
        .ok_or_else(|| {
            let message = "no key: send 'Authorization: Bearer <key>'";
            CallerFailure::not_run(ErrorCode::InvalidKey, message).at("header Authorization")
        })?;
    let hash = hex_hash(key.as_bytes());
    view.key_owners
        .get(&hash)
        .and_then(|name| view.customers.get(name))
        .ok_or_else(|| {
            CallerFailure::not_run(ErrorCode::InvalidKey, "the key belongs to no customer")
                .at("header Authorization")
        })
}
