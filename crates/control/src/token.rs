//! Write tokens.

use domain::WriteToken;
use platform::StoreError;

/// Returns a token that is unique across all processes and restarts; a write whose response was
/// lost is recognised by its token.
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
