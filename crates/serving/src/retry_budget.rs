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

/// Fraction of the limit that is used. The rest covers requests that other nodes counted as theirs
/// and windows that begin between two buckets.
const USED_FRACTION: f64 = 0.7;

/// Number of buckets per window. More buckets follow a sliding window more closely.
const BUCKETS: u32 = 20;

/// Retry budget of one service on one node.
///
/// Without a limit, the failure of a replica or a service would send every request to all that is
/// left, which then fails too. Each node may use what its own requests earn and an equal part of
/// the extra retries, so the nodes together stay within the limit without exchanging messages.
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

    /// Drops the buckets that have left the window and returns the current one.
    fn bucket(&mut self, now: Duration) -> &mut BudgetBucket {
        let length = (self.limits.window / BUCKETS).as_millis().max(1);
        let number = u64::try_from(now.as_millis() / length).unwrap_or(u64::MAX);
        while let Some(first) = self.buckets.front() {
            if first.number + u64::from(BUCKETS) >= number {
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

    /// Counts a request that a client sent, which earns `ratio` retries. Retries are counted by
    /// [`Self::take`].
    pub fn record_request(&mut self, now: Duration) {
        self.bucket(now).requests += 1;
    }

    /// Returns how many retries this node may make now if `nodes` nodes share the limit; negative
    /// if it has exceeded its part.
    pub fn remaining(&mut self, now: Duration, nodes: usize) -> f64 {
        self.bucket(now);
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let nodes = f64::from(u32::try_from(nodes.max(1)).unwrap_or(u32::MAX));
        let allowed = self.limits.ratio * f64::from(requests) + self.limits.extra / nodes;
        allowed * USED_FRACTION - f64::from(retries)
    }

    /// Takes one retry from the budget and returns whether it was allowed, if `nodes` nodes share
    /// the limit.
    pub fn take(&mut self, now: Duration, nodes: usize) -> bool {
        if self.remaining(now, nodes) < 1.0 {
            return false;
        }
        self.bucket(now).retries += 1;
        true
    }
}
