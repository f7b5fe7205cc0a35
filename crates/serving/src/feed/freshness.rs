//! Whether what another node passes on is recent enough to rely on.

use std::time::Duration;

/// Age of a copy up to which the children of the root rely on it. The root confirms its copy each
/// second while nothing changes.
const ROOT_SOURCE_AGE: Duration = Duration::from_millis(1700);

/// Additional age per further level of the tree, the time after which a node asks its source again.
const AGE_PER_LEVEL: Duration = Duration::from_millis(600);

/// Time for which a source may know less than a node that has just read the store itself. Changes
/// take some hundred milliseconds through the tree.
const MAX_BEHIND: Duration = Duration::from_millis(1200);

/// Maximum age of the data of a source for the node at this depth of the tree. It grows with the
/// depth, so that the nodes nearest to the store are the first to stop relying on a source.
#[must_use]
pub fn max_source_age(depth: u32) -> Duration {
    ROOT_SOURCE_AGE + AGE_PER_LEVEL.saturating_mul(depth.saturating_sub(1))
}

/// What a source says of its copy of the registry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FeedSample {
    /// Time since the store confirmed the copy.
    pub age: Duration,
    /// Whether the source's last attempt to reach the store, or its own source, failed.
    pub is_cut_off: bool,
    /// How long the copy has lacked changes that the receiver knows.
    pub behind_for: Duration,
}

impl FeedSample {
    /// Whether the node at this depth may rely on the source.
    #[must_use]
    pub fn is_usable(self, depth: u32) -> bool {
        !self.is_cut_off && self.behind_for <= MAX_BEHIND && self.age <= max_source_age(depth)
    }
}
