//! Failures of the platform's store.

use std::time::Duration;

/// Why a call to the store gave no answer to work with.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// Nothing took effect: no connection, or the store said so.
    #[error("the store can't be reached: {0}")]
    Unavailable(String),
    /// Nothing took effect: the store is over its limit.
    #[error("the store is over its limit")]
    Throttled {
        /// When to come back.
        retry_after: Duration,
    },
    /// The answer is lost; a write may have taken effect or may still do so.
    #[error("the store's answer is lost: {0}")]
    ResponseLost(String),
    /// The store answered something that this program does not understand.
    #[error("the store's answer can't be used: {0}")]
    Malformed(String),
}

impl StoreError {
    /// Whether it is certain that a write did not and will not take effect.
    #[must_use]
    pub fn is_not_applied(&self) -> bool {
        matches!(self, Self::Unavailable(_) | Self::Throttled { .. })
    }
}
