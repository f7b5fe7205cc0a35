//! The calls with which a node reads a table, and whom it asks.

use std::time::Duration;

use serving::feed::{FeedTiming, tree_depth};
use serving::hashing::unit_draw;

use crate::store::StoreTable;

/// Bound on the way of a change, from which the times of the feed are derived.
const BOUND: Duration = Duration::from_secs(3);

/// Time for which a source that has read nothing is not asked again.
pub const AVOID_TIME: Duration = Duration::from_millis(150);

/// Time for which a source that did not answer is not asked again.
const AVOID_SILENT_TIME: Duration = Duration::from_secs(3);

/// Number of failures up to which a source is avoided twice as long after each.
const MAX_AVOID_DOUBLINGS: u32 = 3;

/// Most sources of a node: its ancestors and the deputies of the root.
const MAX_SOURCES: usize = 8;

/// Factors on the delays after failed calls, from the least on.
const MIN_JITTER: f64 = 0.75;
const JITTER_SPAN: f64 = 0.5;

/// Times of the feed.
pub fn feed_timing() -> FeedTiming {
    FeedTiming::new(BOUND)
}

/// A call of a node for a table. One with an old number was given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadCall {
    pub node: usize,
    pub table: StoreTable,
    pub number: u64,
    /// Node that is asked; none for the store.
    pub source: Option<usize>,
    /// Place of that node among the sources of the caller.
    pub place: usize,
}

/// How a node reads one table.
#[derive(Debug, Clone, Copy, Default)]
pub struct ReadLoop {
    pub number: u64,
    failures: u32,
    /// When a source last answered.
    succeeded_at: Duration,
    /// Whether the store is asked next, since no source has answered for too long.
    is_direct: bool,
    avoided: [AvoidedSource; MAX_SOURCES],
}

/// Until when a source is not asked again.
#[derive(Debug, Clone, Copy, Default)]
struct AvoidedSource {
    until: Duration,
    failures: u32,
}

impl ReadLoop {
    /// Place of the source to ask among `sources`; none if the store is to be asked.
    pub fn choose(&self, sources: usize, now: Duration) -> Option<usize> {
        let is_possible = |place: &usize| self.avoided[*place].until <= now;
        let mut places = 0..sources.min(MAX_SOURCES);
        places.find(is_possible).filter(|_| !self.is_direct)
    }

    /// Records an answer.
    pub fn succeed(&mut self, call: &ReadCall, now: Duration) {
        self.failures = 0;
        self.is_direct = false;
        if call.source.is_some() {
            self.succeeded_at = now;
            self.avoided[call.place] = AvoidedSource::default();
        }
    }

    /// Records that a source did not answer, or knows nothing of the store's era.
    pub fn avoid(&mut self, call: &ReadCall, is_silent: bool, now: Duration) {
        let avoided = &mut self.avoided[call.place];
        let factor = 1 << avoided.failures.min(MAX_AVOID_DOUBLINGS);
        let time = if is_silent {
            AVOID_SILENT_TIME * factor
        } else {
            (AVOID_TIME * factor).min(feed_timing().max_avoid_stale())
        };
        avoided.until = now + time;
        avoided.failures += 1;
        let searched = now.saturating_sub(self.succeeded_at);
        self.is_direct = searched > feed_timing().search_time();
    }

    /// Asks sources again, which may still be reading.
    pub fn wait_for_sources(&mut self) {
        self.is_direct = false;
    }

    /// Records that the store refused a call; returns the delay before the next one of the node of a rank.
    pub fn refuse(&mut self, rank: usize, seed: u64) -> Duration {
        self.failures += 1;
        let delay = feed_timing().retry_delay(self.failures, tree_depth(rank));
        let draw = unit_draw(&(seed, rank, self.failures));
        delay.mul_f64(MIN_JITTER + JITTER_SPAN * draw)
    }
}
