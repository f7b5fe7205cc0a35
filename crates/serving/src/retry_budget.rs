//! How often requests may be sent a second time.

use std::collections::VecDeque;
use std::time::Duration;

/// Limits of repeats over a sliding window, for all nodes together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimits {
    /// Length of the window.
    pub window: Duration,
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed besides, summed over all nodes.
    pub extra: f64,
}

/// Part of the limit that is used. The rest covers requests that other nodes saw as theirs and
/// windows that begin between two slices.
const USED_PART: f64 = 0.7;

/// Slices of a window; the more, the closer the count follows a sliding window.
const SLICES: u32 = 20;

/// Repeats of one service on one node.
///
/// Made for the moment at which a replica or a service fails: without a limit each request would
/// be sent to all that is left, which then fails as well. A node spends what its own requests
/// earn and its even part of what is allowed besides, so the sum holds without a message.
#[derive(Debug)]
pub struct RetryBudget {
    limits: RetryLimits,
    slices: VecDeque<BudgetSlice>,
}

#[derive(Debug, Clone, Copy)]
struct BudgetSlice {
    number: u64,
    requests: u32,
    repeats: u32,
}

impl RetryBudget {
    /// An empty window.
    #[must_use]
    pub fn new(limits: RetryLimits) -> Self {
        Self {
            limits,
            slices: VecDeque::new(),
        }
    }

    fn slice(&mut self, now: Duration) -> &mut BudgetSlice {
        let length = (self.limits.window / SLICES).as_millis().max(1);
        let number = u64::try_from(now.as_millis() / length).unwrap_or(u64::MAX);
        while let Some(first) = self.slices.front() {
            if first.number + u64::from(SLICES) >= number {
                break;
            }
            self.slices.pop_front();
        }
        if self.slices.back().is_none_or(|last| last.number < number) {
            self.slices.push_back(BudgetSlice {
                number,
                requests: 0,
                repeats: 0,
            });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }

    /// Counts a caller's request.
    pub fn record_request(&mut self, now: Duration) {
        self.slice(now).requests += 1;
    }

    /// Repeats that this node may make now, if `nodes` nodes share the limit.
    pub fn remaining(&mut self, now: Duration, nodes: usize) -> f64 {
        self.slice(now);
        let requests: u32 = self.slices.iter().map(|slice| slice.requests).sum();
        let repeats: u32 = self.slices.iter().map(|slice| slice.repeats).sum();
        let nodes = f64::from(u32::try_from(nodes.max(1)).unwrap_or(u32::MAX));
        let allowed = self.limits.ratio * f64::from(requests) + self.limits.extra / nodes;
        allowed * USED_PART - f64::from(repeats)
    }

    /// Takes one repeat, if `nodes` nodes that all do so stay within the limit.
    pub fn take(&mut self, now: Duration, nodes: usize) -> bool {
        if self.remaining(now, nodes) < 1.0 {
            return false;
        }
        self.slice(now).repeats += 1;
        true
    }
}
