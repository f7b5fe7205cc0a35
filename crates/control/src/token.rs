//! Tokens of writes.

use domain::WriteToken;
use platform::StoreError;

/// A token that is unique over all processes and restarts, since a write whose answer was lost is
/// recognised by it.
///
/// # Errors
///
/// [`StoreError::Malformed`] when `prefix` does not fit into an identifier.
pub fn random_token(prefix: &str) -> Result<WriteToken, StoreError> {
    let high = rand::random::<u64>();
    let low = rand::random::<u64>();
    format!("{prefix}.{high:016x}{low:016x}")
        .parse()
        .map_err(|error: domain::IdError| StoreError::Malformed(error.to_string()))
}
