//! Times within which a node asks for changes, derived from the bound on the way of a change.
//!
//! Whatever a node waits for may fail: a poll goes silent, its response is lost, a source is suspended.
//! The times are fractions of the bound, so that two such waits in a row, and what lies between them,
//! still end within it.

use std::time::Duration;

/// Delay added with each consecutive failed call to the store, up to the maximum delay.
const RETRY_STEP: Duration = Duration::from_millis(60);

/// Maximum factor by which the delays of nodes differ, so that they don't all call at once.
pub const MAX_JITTER: f64 = 1.25;

/// Maximum delay after failed calls to the store, and so the time to notice that it is back, of a node
/// that can follow no other.
const MAX_RETRY: Duration = Duration::from_millis(400);

/// Additional maximum delay per level of the tree: the upper levels notice the end of an outage and
/// pass it on, and the calls of all others would only be refused.
const RETRY_PER_LEVEL: Duration = Duration::from_millis(1100);

/// Longest bound from which the times are derived; longer waits would save hardly any calls.
const MAX_BOUND: Duration = Duration::from_secs(3);

/// Times of one lane of the feed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FeedTiming {
    bound: Duration,
}

impl FeedTiming {
    /// Times for changes that must be known everywhere within `bound` of their confirmation.
    #[must_use]
    pub fn new(bound: Duration) -> Self {
        Self {
            bound: bound.min(MAX_BOUND),
        }
    }

    /// Wait of a long poll of a node that no other follows. It also limits how old a proof becomes
    /// while nothing changes.
    #[must_use]
    pub fn poll_wait(self) -> Duration {
        self.bound / 2
    }

    /// Wait of a long poll of a node that others follow: they must learn of its silence as well.
    #[must_use]
    pub fn root_poll_wait(self) -> Duration {
        self.bound / 3
    }

    /// Time that a call to the store may take in addition to its wait.
    #[must_use]
    pub fn poll_slack(self) -> Duration {
        self.bound * 3 / 20
    }

    /// Timeout for each page of a read of the whole table.
    #[must_use]
    pub fn read_timeout(self) -> Duration {
        self.bound / 3
    }

    /// Maximum delay after a call that returned changes, with which one call returns several.
    #[must_use]
    pub fn max_batch_delay(self) -> Duration {
        self.bound / 6
    }

    /// Delay before the next call after `failures` in a row, of a node at this depth of the tree.
    ///
    /// The first two follow closely at any depth: a single call may have been lost. Nodes below the
    /// root then leave the calls to it.
    #[must_use]
    pub fn retry_delay(self, failures: u32, depth: u32) -> Duration {
        let steps = if depth == 0 {
            failures
        } else {
            failures.saturating_mul(failures)
        };
        RETRY_STEP
            .saturating_mul(steps)
            .min(self.max_retry_delay(depth))
    }

    /// Maximum delay after failed calls, without jitter.
    #[must_use]
    pub fn max_retry_delay(self, depth: u32) -> Duration {
        let most = MAX_RETRY + RETRY_PER_LEVEL.saturating_mul(depth);
        most.min(self.bound / 3)
    }

    /// Time that a source waits for changes before it responds.
    #[must_use]
    pub fn follow_wait(self) -> Duration {
        self.bound / 6
    }

    /// Time in addition after which a response must have begun, and that may pass between two parts of
    /// it; also the time for opening a link.
    #[must_use]
    pub fn follow_slack(self) -> Duration {
        self.bound / 10
    }

    /// Time that a whole response of a source may take, however it progresses.
    #[must_use]
    pub fn transfer_timeout(self) -> Duration {
        self.bound / 2
    }

    /// Time without a successful response after which a node reads the store itself while it looks for
    /// another source. A source whose data is too old says so at once, so others can be asked first;
    /// one that does not respond has used up this time.
    #[must_use]
    pub fn search_time(self) -> Duration {
        self.bound / 8
    }

    /// Longest time for which a source is not asked again after its data was too old, however often:
    /// it may be the first to know that the store is back.
    #[must_use]
    pub fn max_avoid_stale(self) -> Duration {
        self.bound / 2
    }

    /// Maximum age of the data of a source for the node at this depth of the tree. It grows with the
    /// depth, so that the nodes nearest to the store are the first to stop relying on a source. What is
    /// left of the bound is for finding another one.
    #[must_use]
    pub fn max_source_age(self, depth: u32) -> Duration {
        let levels = depth.saturating_sub(1);
        self.bound * 11 / 20 + self.bound.saturating_mul(levels) / 20
    }

    /// Time for which a source may know less than a node that has just read the store itself. Changes
    /// take some hundred milliseconds through the tree.
    #[must_use]
    pub fn max_behind(self) -> Duration {
        self.bound * 2 / 5
    }

    /// Maximum pause that leaves processor time to requests while many rows change.
    #[must_use]
    pub fn max_pause(self) -> Duration {
        self.bound / 5
    }
}
