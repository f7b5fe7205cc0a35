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

/// Fraction of the ratio that a request earns. With [`CREDIT_TIME_FRACTION`], retries in a window are those
/// earned in 1.4 windows at most, so that a steady stream of requests never justifies more than the ratio,
/// however it moves between nodes and however often they start.
const EARNED_FRACTION: f64 = 0.7;

/// Part of the window for which what a request earned can be used.
const CREDIT_TIME_FRACTION: f64 = 0.4;

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
    source: RetrySource,
    bucket: u64,
}

/// What a retry was taken from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RetrySource {
    Earned,
    Leased,
}

/// Retry budget of one service on one node.
///
/// Without a limit, the failure of a replica or a service would send every request to all that is
/// left, which then fails too. A node may retry what its own requests have just earned, and what it has
/// leased of the extra retries. Neither depends on how many other nodes it knows, so all nodes together
/// stay within the limit whatever they see of each other, without messages on the request path.
#[derive(Debug)]
pub struct RetryBudget {
    limits: RetryLimits,
    buckets: VecDeque<BudgetBucket>,
}

#[derive(Debug, Clone, Copy)]
struct BudgetBucket {
    /// Position on the time axis, in bucket lengths since the start of the process.
    number: u64,
    /// Retries earned in it.
    earned: f64,
    /// Those of them that were not made.
    unused: f64,
    /// Retries made in it from the leases.
    leased_used: u32,
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
            if first.number + buckets_in(RETRY_WINDOW_FACTOR) >= number {
                break;
            }
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|last| last.number < number) {
            self.buckets.push_back(BudgetBucket {
                number,
                earned: 0.0,
                unused: 0.0,
                leased_used: 0,
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }

    /// Counts a request that a client sent, which earns a part of a retry.
    pub fn record_request(&mut self, now: Duration) {
        let earned = self.limits.ratio * EARNED_FRACTION;
        let bucket = self.bucket(now);
        bucket.earned += earned;
        bucket.unused += earned;
    }

    /// Buckets in which what was earned can still be used. The oldest one is not among them: a part of it
    /// may be too old.
    fn credit_buckets(&mut self, now: Duration) -> impl Iterator<Item = &mut BudgetBucket> {
        let number = self.bucket_number(now);
        let buckets = self.buckets.iter_mut();
        buckets.filter(move |bucket| bucket.number + buckets_in(CREDIT_TIME_FRACTION) > number)
    }

    fn leased_used(&self) -> u32 {
        self.buckets.iter().map(|bucket| bucket.leased_used).sum()
    }

    /// Returns how many retries for `purpose` this node may make now if it has leased `leased` per
    /// window; negative if it has lost leases since.
    pub fn remaining(&mut self, now: Duration, leased: u32, purpose: RetryPurpose) -> f64 {
        self.bucket(now);
        let (earned, unused) = self
            .credit_buckets(now)
            .fold((0.0, 0.0), |(earned, unused), bucket| {
                (earned + bucket.earned, unused + bucket.unused)
            });
        let leased = f64::from(leased);
        let reserved = match purpose {
            RetryPurpose::Start => (earned + leased) * RESERVED_FRACTION,
            RetryPurpose::Resume => 0.0,
        };
        unused + leased - f64::from(self.leased_used()) - reserved
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
        if self.take_earned(now) {
            let bucket = self.bucket(now).number;
            return Some(RetryTicket {
                source: RetrySource::Earned,
                bucket,
            });
        }
        if self.leased_used() >= leased {
            return None;
        }
        let bucket = self.bucket(now);
        bucket.leased_used += 1;
        Some(RetryTicket {
            source: RetrySource::Leased,
            bucket: bucket.number,
        })
    }

    /// Uses one retry of what was earned, the oldest first, if there is a whole one.
    fn take_earned(&mut self, now: Duration) -> bool {
        let unused: f64 = self.credit_buckets(now).map(|bucket| bucket.unused).sum();
        if unused < 1.0 {
            return false;
        }
        let mut left = 1.0;
        for bucket in self.credit_buckets(now) {
            let used = bucket.unused.min(left);
            bucket.unused -= used;
            left -= used;
        }
        true
    }

    /// Returns a retry of which nothing was sent. One that has left the window counts no longer anyway.
    // Taken by value, so that none is returned twice.
    #[allow(clippy::needless_pass_by_value)]
    pub fn give_back(&mut self, ticket: RetryTicket) {
        let mut buckets = self.buckets.iter_mut();
        let Some(bucket) = buckets.find(|bucket| bucket.number == ticket.bucket) else {
            return;
        };
        match ticket.source {
            RetrySource::Earned => bucket.unused += 1.0,
            RetrySource::Leased => bucket.leased_used = bucket.leased_used.saturating_sub(1),
        }
    }
}

/// Number of buckets in a part or a multiple of the window.
fn buckets_in(windows: f64) -> u64 {
    // In range: a small constant.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let buckets = (f64::from(BUCKETS) * windows).ceil() as u64;
    buckets
}
