//! The calls with which a node reads a table, and whom it asks.

use std::time::Duration;

use serving::feed::{FeedTiming, tree_depth};
use serving::hashing::unit_draw;

use crate::store::StoreTable;

/// Bound on the way of a change, from which the times of the feed are derived.
const BOUND: Duration = Duration::from_secs(3);

/// Least time after which a node that waits for a source looks again.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

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

/// Why a source can't be followed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SourceFault {
    /// It has not read the table in the store's era.
    Unread,
    /// Its last call to the store was refused, or it is of an earlier era.
    CutOff,
    /// It did not answer in time.
    Silent,
}

impl SourceFault {
    /// Time for which the source is not asked again after `failures` in a row before.
    fn avoid_time(self, failures: u32) -> Duration {
        let factor = 1 << failures.min(MAX_AVOID_DOUBLINGS);
        let most = feed_timing().max_avoid_stale();
        match self {
            Self::Unread => (Duration::from_millis(150) * factor).min(most),
            Self::CutOff => (Duration::from_millis(800) * factor).min(most),
            Self::Silent => Duration::from_secs(3) * factor,
        }
    }
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
    /// Whether the last call was refused by the store.
    pub is_cut_off: bool,
    /// Source that answered last, by its place. One that is new must show at once what it knows.
    pub linked: Option<usize>,
    /// When the store may be called again.
    retry_at: Duration,
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

    /// When to look again, if there is no source now and the store was called too lately.
    pub fn next_attempt(
        &self,
        sources: usize,
        is_patient: bool,
        now: Duration,
    ) -> Option<Duration> {
        if self.retry_at <= now && !is_patient {
            return None;
        }
        let avoided = self.avoided.iter().take(sources);
        let found_at = avoided.map(|avoided| avoided.until).min();
        let retry_at = Some(self.retry_at).filter(|_| !is_patient);
        let next = [found_at, retry_at].into_iter().flatten().min();
        Some(next.unwrap_or_default().max(now + CHECK_INTERVAL))
    }

    /// Records an answer.
    pub fn succeed(&mut self, call: &ReadCall, now: Duration) {
        self.failures = 0;
        self.is_direct = false;
        self.is_cut_off = false;
        self.retry_at = Duration::ZERO;
        if call.source.is_some() {
            self.succeeded_at = now;
            self.linked = Some(call.place);
            self.avoided[call.place] = AvoidedSource::default();
        }
    }

    /// Records that a source can't be followed.
    pub fn avoid(&mut self, call: &ReadCall, fault: SourceFault, now: Duration) {
        self.linked = None;
        let avoided = &mut self.avoided[call.place];
        avoided.until = now + fault.avoid_time(avoided.failures);
        avoided.failures += 1;
        let searched = now.saturating_sub(self.succeeded_at);
        self.is_direct = searched > feed_timing().search_time();
    }

    /// Asks sources again, which may still be reading.
    pub fn wait_for_sources(&mut self) {
        self.is_direct = false;
    }

    /// Records that the store refused a call of the node of a rank.
    pub fn refuse(&mut self, rank: usize, seed: u64, now: Duration) {
        self.failures += 1;
        self.is_cut_off = true;
        self.is_direct = false;
        let delay = feed_timing().retry_delay(self.failures, tree_depth(rank));
        let draw = unit_draw(&(seed, rank, self.failures));
        self.retry_at = now + delay.mul_f64(MIN_JITTER + JITTER_SPAN * draw);
    }
}
