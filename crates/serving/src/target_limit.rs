//! The limit that a target states on the requests of all nodes together.
//!
//! A target in need states a limit in its answers for as long as it is in need. Only the node that holds the
//! turn of the target, a lease of the store, sends to it, within that rate; so the sum of all nodes stays
//! within the limit whatever they see of each other. A target that gets nothing says nothing, so some
//! requests go there however low the limit is.

use std::time::Duration;

use domain::BootNumber;

/// Fraction of the limit that the holder of the turn sends. The rest is for what other nodes send before
/// they know of the limit.
const USED_FRACTION: f64 = 0.9;

/// Requests per second at least, by which a node learns that a very low limit has ended.
const MIN_RATE: f64 = 0.2;

/// Requests that may follow each other at once.
const MAX_TOKENS: f64 = 1.0;

/// A limit as a node knows it. Times are since the start of the process.
#[derive(Debug, Clone, Copy)]
pub struct TargetLimit {
    /// Requests per second.
    pub rate: f64,
    /// The process that stated it; another one under the same id has no limit until it states one.
    pub boot: BootNumber,
    /// When this node learned of it.
    pub learned_at: Duration,
    /// When this node last heard that it holds, from the target or another node.
    pub heard_at: Duration,
    /// When the target last stated it to this node.
    pub stated_at: Option<Duration>,
    tokens: f64,
    refilled_at: Duration,
}

impl TargetLimit {
    /// Creates a limit that this node has just learned of.
    #[must_use]
    pub fn new(rate: f64, boot: BootNumber, now: Duration) -> Self {
        Self {
            rate,
            boot,
            learned_at: now,
            heard_at: now,
            stated_at: None,
            tokens: 0.0,
            refilled_at: now,
        }
    }

    /// Takes over the rate that was stated last.
    pub fn update(&mut self, rate: f64, now: Duration) {
        self.refill(now);
        self.rate = rate;
        self.heard_at = now;
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        let rate = (self.rate * USED_FRACTION).max(MIN_RATE);
        self.tokens = (self.tokens + elapsed * rate).min(MAX_TOKENS);
        self.refilled_at = now;
    }

    /// Whether the holder of the turn may send a request now.
    #[must_use]
    pub fn admits(&self, now: Duration) -> bool {
        let mut refilled = *self;
        refilled.refill(now);
        refilled.tokens >= 1.0
    }

    /// Counts a request that is sent now.
    pub fn record_sent(&mut self, now: Duration) {
        self.refill(now);
        self.tokens -= 1.0;
    }
}
