//! Authentication of clients by API key.

use std::fmt::Write;

use control::ConfigView;
use domain::record::CustomerRecord;
use http::{HeaderMap, header};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;
use wire::client_api::ErrorCode;

use crate::error::RequestError;

const KEY_PARAM: &str = "header Authorization";

/// Returns the SHA-256 hash as 64 lower-case hexadecimal digits.
#[must_use]
pub fn sha256_hex(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(64);
    for byte in Sha256::digest(bytes) {
        let _ = write!(text, "{byte:02x}");
    }
    text
}

/// Returns the customer that the request's bearer key belongs to.
///
/// Only hashes of keys are stored and compared. The map lookup uses the hash of the received key,
/// which a client can't steer towards a stored hash. The hashes of the customer that was found are
/// then compared in constant time, so that response times reveal nothing about stored hashes.
///
/// # Errors
///
/// [`ErrorCode::InvalidKey`] if the key is missing or unknown.
pub fn authenticate<'view>(
    view: &'view ConfigView,
    headers: &HeaderMap,
) -> Result<&'view CustomerRecord, RequestError> {
    let key = bearer_key(headers)?;
    let hash = sha256_hex(key);
    let unknown = || {
        RequestError::not_run(ErrorCode::InvalidKey, "the API key is unknown").with_param(KEY_PARAM)
    };
    let customer = view
        .key_owners
        .get(&hash)
        .and_then(|name| view.customers.get(name))
        .ok_or_else(unknown)?;
    if matches_stored_hash(customer, &hash) {
        return Ok(customer);
    }
    Err(unknown())
}

fn bearer_key(headers: &HeaderMap) -> Result<&[u8], RequestError> {
    let missing = |message: &str| {
        Err(RequestError::not_run(ErrorCode::InvalidKey, message).with_param(KEY_PARAM))
    };
    let Some(value) = headers.get(header::AUTHORIZATION) else {
        return missing("missing API key: send 'Authorization: Bearer <key>'");
    };
    let Some((scheme, key)) = value.as_bytes().split_at_checked(7) else {
        return missing("not a bearer key: send 'Authorization: Bearer <key>'");
    };
    if !scheme.eq_ignore_ascii_case(b"bearer ") {
        return missing("not a bearer key: send 'Authorization: Bearer <key>'");
    }
    Ok(key.trim_ascii())
}

fn matches_stored_hash(customer: &CustomerRecord, hash: &str) -> bool {
    let mut matches = false;
    for known in &customer.key_hashes {
        let known = known.to_ascii_lowercase();
        matches |= bool::from(known.as_bytes().ct_eq(hash.as_bytes()));
    }
    matches
}
