//! Errors of the platform's store.

use std::time::Duration;

/// Why a call to the store failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// Not applied: there is no connection, or the store reported that it is unavailable.
    #[error("the store is unavailable: {0}")]
    Unavailable(String),
    /// Not applied: the rate limit of the store or of this node is exceeded.
    #[error("the store's rate limit is exceeded")]
    Throttled {
        /// Time to wait before the next try.
        retry_after: Duration,
    },
    /// The response was lost; a write may have been applied or may still be.
    #[error("the store's response was lost: {0}")]
    ResponseLost(String),
    /// The store's response has an unexpected status or can't be decoded.
    #[error("the store's response is malformed: {0}")]
    Malformed(String),
}

impl StoreError {
    /// Returns whether a write certainly was not applied and will not be.
    #[must_use]
    pub fn is_not_applied(&self) -> bool {
        matches!(self, Self::Unavailable(_) | Self::Throttled { .. })
    }
}
