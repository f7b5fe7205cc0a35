//! Which target takes a request, and when none should.

use std::time::Duration;

/// How long a reported load is believed. Targets report with each answer; a replica answers
/// several times a second under load, so an older report means that little runs there.
const REPORT_AGE: Duration = Duration::from_millis(1500);

/// Cost of leaving the failure domain, in parts of a full target. It decides between targets that
/// are about equally loaded, so bytes stay within the domain where that costs nobody time.
const FAR_COST: f64 = 0.08;

/// Cost of each failure in a row, in parts of a full target.
const FAILURE_COST: f64 = 0.35;

/// Load of one target, as one node knows it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TargetLoad {
    /// Requests of this node there.
    pub own: u32,
    /// Requests running and waiting there, as it reported.
    pub reported: u32,
    /// When it reported.
    pub reported_at: Option<Duration>,
    /// Requests sent since the report, less those that ended.
    pub since: i32,
    /// Failures since the last success.
    pub failures: u32,
}

impl TargetLoad {
    /// Notes a request that was sent.
    pub fn start(&mut self) {
        self.own += 1;
        self.since += 1;
    }

    /// Notes the end of a request.
    pub fn end(&mut self) {
        self.own = self.own.saturating_sub(1);
        self.since -= 1;
    }

    /// Notes a report.
    pub fn report(&mut self, total: u32, now: Duration) {
        self.reported = total;
        self.reported_at = Some(now);
        self.since = 0;
    }

    /// Requests that are probably there, of all nodes.
    #[must_use]
    pub fn estimate(&self, now: Duration, nodes: usize) -> f64 {
        let own = f64::from(self.own);
        let fresh = self
            .reported_at
            .is_some_and(|at| now.saturating_sub(at) < REPORT_AGE);
        if !fresh {
            let nodes = f64::from(u32::try_from(nodes.max(1)).unwrap_or(u32::MAX));
            return own * nodes;
        }
        (f64::from(self.reported) + f64::from(self.since)).max(own)
    }
}

/// One target that could take a request.
#[derive(Debug, Clone, Copy)]
pub struct TargetChoice {
    /// Its load.
    pub load: TargetLoad,
    /// Requests it runs at once.
    pub slots: u32,
    /// Whether it stands in this node's failure domain.
    pub near: bool,
    /// Requests that this node may have there: its part of the connections that the target takes
    /// from all nodes. Beyond them the target resets connections, and requests with them.
    pub own_limit: u32,
}

/// Limits of a choice.
#[derive(Debug, Clone, Copy)]
pub struct ChoiceLimits {
    /// Requests that may wait at a target beyond those it runs.
    pub queue: f64,
    /// Nodes that send to the same targets.
    pub nodes: usize,
}

/// Why no target takes a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoTarget {
    /// There is none.
    Absent,
    /// All are full.
    Full,
}

/// The target with the least load for its size; ties go to the earlier one, and callers pass
/// candidates in an order of their own, so that nodes do not all pick the same one.
///
/// Made for bursts: when each target has as much waiting as can begin in time, one more request
/// would be late and make those behind it late as well. It is refused at once instead, while its
/// caller still has time to come back.
///
/// # Errors
///
/// [`NoTarget`] with the reason.
pub fn choose_target(
    choices: &[TargetChoice],
    limits: ChoiceLimits,
    now: Duration,
) -> Result<usize, NoTarget> {
    let mut best: Option<(f64, usize)> = None;
    for (index, choice) in choices.iter().enumerate() {
        let slots = f64::from(choice.slots.max(1));
        let estimate = choice.load.estimate(now, limits.nodes);
        if estimate >= slots + limits.queue || choice.load.own >= choice.own_limit {
            continue;
        }
        let far = if choice.near { 0.0 } else { FAR_COST };
        let failing = f64::from(choice.load.failures.min(8)) * FAILURE_COST;
        let cost = estimate / slots + far + failing;
        if best.is_none_or(|(least, _)| cost < least) {
            best = Some((cost, index));
        }
    }
    match best {
        Some((_, index)) => Ok(index),
        None if choices.is_empty() => Err(NoTarget::Absent),
        None => Err(NoTarget::Full),
    }
}
