//! Times within which a node asks for changes, derived from the bound on the way of a change.
//!
//! Whatever a node waits for may fail: a poll goes silent, its response is lost, a source is suspended.
//! The times are fractions of the bound, so that two such waits in a row, and what lies between them,
//! still end within it.

use std::time::Duration;

/// Times of one lane of the feed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FeedTiming {
    bound: Duration,
}

impl FeedTiming {
    /// Times for changes that must be known everywhere within `bound` of their confirmation.
    #[must_use]
    pub fn new(bound: Duration) -> Self {
        Self { bound }
    }

    /// Wait of a long poll of a node that no other follows. It also limits how old a proof becomes
    /// while nothing changes.
    #[must_use]
    pub fn poll_wait(self) -> Duration {
        self.bound / 2
    }
}
