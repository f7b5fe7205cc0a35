//! Whether what another node passes on is recent enough to rely on.

use std::time::Duration;

use super::timing::FeedTiming;

/// What a source says of its copies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FeedSample {
    /// Time since the store confirmed the oldest of them.
    pub age: Duration,
    /// Whether the source's last attempt to reach the store, or its own source, failed.
    pub is_cut_off: bool,
    /// How long the copies have lacked changes that the receiver knows.
    pub behind_for: Duration,
}

impl FeedSample {
    /// Whether the node at this depth may rely on the source.
    #[must_use]
    pub fn is_usable(self, timing: FeedTiming, depth: u32) -> bool {
        !self.is_cut_off
            && self.behind_for <= timing.max_behind()
            && self.age <= timing.max_source_age(depth)
    }
}
