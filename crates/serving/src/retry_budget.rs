//! Limits on how many requests are retried.

use std::collections::VecDeque;
use std::time::Duration;

/// Retry limits over a sliding window, shared by all nodes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimits {
    /// Length of the sliding window in which requests and retries are counted.
    pub window: Duration,
    /// Retries allowed per request in the window.
    pub ratio: f64,
    /// Retries allowed in the window on top of the ratio, for all nodes together.
    pub extra: f64,
}

/// Fraction of the ratio that a request earns. Each request justifies retries for one window, and a
/// window of the limit may see those of requests in it and in the one before: if clients move from one
/// node to another in between, both nodes retry. The limit counts only one of the two windows.
const EARNED_FRACTION: f64 = 0.5;

/// Fraction of the extra retries that is leased to nodes. The rest covers retries that reach their
/// targets late, in a later window than the one in which they were sent.
const LEASED_FRACTION: f64 = 0.9;

/// Retries per window that a slot of the extra retries stands for, at each service. Fewer would be more
/// rows than nodes need; more would leave nodes of a large deployment without a slot.
pub const RETRIES_PER_SLOT: u32 = 2;

/// Multiple of the window for which what was sent under an ended lease counts: the window itself, and
/// half of it for retries that arrive late.
const SETTLE_FACTOR: f64 = 1.5;

/// Multiple of the window over which a node counts its own retries, since two may reach their targets
/// closer to each other than they were sent.
const RETRY_WINDOW_FACTOR: f64 = 1.1;

impl RetryLimits {
    /// Number of slots into which the extra retries are divided.
    #[must_use]
    pub fn slot_count(&self) -> usize {
        let slots = self.extra * LEASED_FRACTION / f64::from(RETRIES_PER_SLOT);
        // In range: settings are not negative, and the clamp bounds the rows of the store.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let slots = slots.clamp(0.0, MAX_SLOTS) as usize;
        slots
    }

    /// Time after which nothing counts any more that was sent under a lease of a slot.
    #[must_use]
    pub fn settle_time(&self) -> Duration {
        self.window.mul_f64(SETTLE_FACTOR)
    }
}

/// Maximum number of slots, which bounds the rows that a node reads when it starts.
const MAX_SLOTS: f64 = 500.0;

/// Number of buckets per window. More buckets follow a sliding window more closely.
const BUCKETS: u32 = 20;

/// Fraction of the budget that only streams in progress may use. When targets reject much of what they
/// are sent, the retries of new requests would take all of it, and streams whose target is lost would end
/// half delivered. A rejected request can be sent again by its client instead.
const RESERVED_FRACTION: f64 = 0.1;

/// What a retry is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryPurpose {
    /// A request of which the client has nothing yet.
    Start,
    /// A stream of which the client has a part.
    Resume,
}

/// A retry that was taken, by which it can be returned.
#[derive(Debug)]
#[must_use]
pub struct RetryTicket {
    bucket: u64,
}

/// Retry budget of one service on one node.
///
/// Without a limit, the failure of a replica or a service would send every request to all that is
/// left, which then fails too. A node may retry what its own requests earn, and what it has leased of
/// the extra retries. Neither depends on how many other nodes it knows, so all nodes together stay
/// within the limit whatever they see of each other, without messages on the request path.
#[derive(Debug)]
pub struct RetryBudget {
    limits: RetryLimits,
    buckets: VecDeque<BudgetBucket>,
}

#[derive(Debug, Clone, Copy)]
struct BudgetBucket {
    /// Position on the time axis, in bucket lengths since the start of the process.
    number: u64,
    requests: u32,
    retries: u32,
}

impl RetryBudget {
    /// Creates a budget with an empty window.
    #[must_use]
    pub fn new(limits: RetryLimits) -> Self {
        Self {
            limits,
            buckets: VecDeque::new(),
        }
    }

    fn bucket_number(&self, now: Duration) -> u64 {
        let length = (self.limits.window / BUCKETS).as_millis().max(1);
        u64::try_from(now.as_millis() / length).unwrap_or(u64::MAX)
    }

    /// Drops the buckets that count no longer and returns the current one.
    fn bucket(&mut self, now: Duration) -> &mut BudgetBucket {
        let number = self.bucket_number(now);
        while let Some(first) = self.buckets.front() {
            if first.number + retry_buckets() >= number {
                break;
            }
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|last| last.number < number) {
            self.buckets.push_back(BudgetBucket {
                number,
                requests: 0,
                retries: 0,
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }

    /// Counts a request that a client sent, which earns retries. Retries are counted by
    /// [`Self::take`].
    pub fn record_request(&mut self, now: Duration) {
        self.bucket(now).requests += 1;
    }

    /// Returns how many retries for `purpose` this node may make now if it has leased `leased` per
    /// window; negative if it has lost leases since.
    pub fn remaining(&mut self, now: Duration, leased: u32, purpose: RetryPurpose) -> f64 {
        self.bucket(now);
        let number = self.bucket_number(now);
        // Requests of the oldest bucket may have left the window already.
        let recent = self
            .buckets
            .iter()
            .filter(|bucket| bucket.number + u64::from(BUCKETS) > number);
        let requests: u32 = recent.map(|bucket| bucket.requests).sum();
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let earned = self.limits.ratio * EARNED_FRACTION * f64::from(requests);
        let allowed = earned + f64::from(leased);
        let reserved = match purpose {
            RetryPurpose::Start => allowed * RESERVED_FRACTION,
            RetryPurpose::Resume => 0.0,
        };
        allowed - reserved - f64::from(retries)
    }

    /// Takes one retry from the budget, if this node has leased `leased` per window; `None` if it may
    /// make none.
    pub fn take(
        &mut self,
        now: Duration,
        leased: u32,
        purpose: RetryPurpose,
    ) -> Option<RetryTicket> {
        if self.remaining(now, leased, purpose) < 1.0 {
            return None;
        }
        let bucket = self.bucket(now);
        bucket.retries += 1;
        Some(RetryTicket {
            bucket: bucket.number,
        })
    }

    /// Returns a retry of which nothing was sent. One that has left the window counts no longer anyway.
    // Taken by value, so that none is returned twice.
    #[allow(clippy::needless_pass_by_value)]
    pub fn give_back(&mut self, ticket: RetryTicket) {
        let mut buckets = self.buckets.iter_mut();
        if let Some(bucket) = buckets.find(|bucket| bucket.number == ticket.bucket) {
            bucket.retries = bucket.retries.saturating_sub(1);
        }
    }
}

/// Number of buckets in which retries count.
fn retry_buckets() -> u64 {
    // In range: a small constant.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let buckets = (f64::from(BUCKETS) * RETRY_WINDOW_FACTOR).ceil() as u64;
    buckets
}
