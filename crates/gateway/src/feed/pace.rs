//! Leaves processor time to requests while many rows change.

use std::time::Duration;

/// Pause per time spent on changes.
const PAUSE_FACTOR: u32 = 2;

/// Pause after changes that took this long to apply. A row that changes again meanwhile is applied
/// once, so a node that is too slow for all changes falls behind by the pause and no more.
pub fn pause_after(took: Duration, most: Duration) -> Duration {
    took.saturating_mul(PAUSE_FACTOR).min(most)
}
