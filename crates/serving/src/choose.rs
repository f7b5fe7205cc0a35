//! Which target takes a request, and when none should.

use std::time::Duration;

/// How long a reported load is believed. Targets report with each answer; a replica answers
/// several times a second under load, so an older report means that little runs there.
const REPORT_AGE: Duration = Duration::from_millis(1500);

/// Failures in a row after which a target is taken only where no other has room. One may be the
/// request's own doing; a target that fails fast has no load and would look like the best one.
const MOST_FAILURES: u32 = 2;

/// Time after its last failure in which a target is avoided. Without an end to it a replica that
/// has recovered would get nothing while others have room, and so never show that it has.
const FAILURE_MEMORY: Duration = Duration::from_secs(1);

/// Time that each request at a target adds to a first token: its part of a step, seven times a pass,
/// and of the places that will be full sooner. Small beside a prompt of 1,400 tokens, 28 ms.
const RUNNING_WAIT: Duration = Duration::from_millis(2);

/// Load of one target, as one node knows it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TargetLoad {
    /// Requests of this node there.
    pub in_flight: u32,
    /// Requests running and waiting there, as it reported.
    pub reported: u32,
    /// When it reported.
    pub reported_at: Option<Duration>,
    /// Requests sent since the report, less those that ended.
    pub sent_since_report: i32,
    /// Failures since the last success.
    pub failures: u32,
    /// When the last of them was.
    pub failed_at: Duration,
}

impl TargetLoad {
    /// Notes a request that was sent.
    pub fn record_sent(&mut self) {
        self.in_flight += 1;
        self.sent_since_report += 1;
    }

    /// Notes a request that another node sent. Its end shows in the next report only.
    pub fn record_sent_elsewhere(&mut self) {
        self.sent_since_report += 1;
    }

    /// Notes the end of a request.
    pub fn record_end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.sent_since_report -= 1;
    }

    /// Notes a failure.
    pub fn record_failure(&mut self, now: Duration) {
        self.failures += 1;
        self.failed_at = now;
    }

    /// Notes that it can't be reached now: it is taken only where no other has room.
    pub fn record_unreachable(&mut self, now: Duration) {
        self.failures = self.failures.max(MOST_FAILURES);
        self.failed_at = now;
    }

    /// Notes an answer that is no failure.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// Whether it failed in a row until just now.
    #[must_use]
    pub fn is_failing(&self, now: Duration) -> bool {
        let recent = now.saturating_sub(self.failed_at) < FAILURE_MEMORY;
        recent && self.failures >= MOST_FAILURES
    }

    /// Notes a report.
    pub fn record_report(&mut self, total: u32, now: Duration) {
        self.reported = total;
        self.reported_at = Some(now);
        self.sent_since_report = 0;
    }

    /// Requests that are probably there, of all nodes.
    #[must_use]
    pub fn estimate(&self, now: Duration, nodes: usize) -> f64 {
        let own = f64::from(self.in_flight);
        let fresh = self
            .reported_at
            .is_some_and(|at| now.saturating_sub(at) < REPORT_AGE);
        if !fresh {
            let nodes = f64::from(u32::try_from(nodes.max(1)).unwrap_or(u32::MAX));
            return own * nodes;
        }
        (f64::from(self.reported) + f64::from(self.sent_since_report)).max(own)
    }
}

/// One target that could take a request.
#[derive(Debug, Clone, Copy)]
pub struct TargetCandidate {
    /// Its load.
    pub load: TargetLoad,
    /// Requests it runs at once.
    pub slots: u32,
    /// Time until it has read the prompts that wait there, as far as this node knows; nothing for a
    /// target that reads none, of which any with room will do.
    pub prefill_wait: Option<Duration>,
    /// Requests that this node may have there: its part of the connections that the target takes
    /// from all nodes. Beyond them the target resets connections, and requests with them.
    pub in_flight_limit: u32,
}

impl TargetCandidate {
    fn has_room(&self, limits: ChoiceLimits, now: Duration) -> bool {
        let places = f64::from(self.slots.max(1)) + limits.queue_limit;
        self.load.estimate(now, limits.nodes) < places && self.load.in_flight < self.in_flight_limit
    }

    /// About how long a request waits there for its first token, beyond what it would anywhere.
    fn wait(&self, limits: ChoiceLimits, now: Duration) -> Duration {
        let Some(unread) = self.prefill_wait else {
            return Duration::ZERO;
        };
        unread + RUNNING_WAIT.mul_f64(self.load.estimate(now, limits.nodes))
    }
}

/// Limits of a choice.
#[derive(Debug, Clone, Copy)]
pub struct ChoiceLimits {
    /// Requests that may wait at a target beyond those it runs.
    pub queue_limit: f64,
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

/// The target among those with room that begins a request soonest, of equal ones the first.
/// Callers pass candidates in an order drawn for each request, so that is one by chance.
///
/// Made for several nodes that send prompts of very different lengths to a dozen replicas. What
/// delays a first token, and breaks the pauses of streams that run, is prompts that wait unread; so
/// the head with the least of them goes first. Requests alone say little: when each node went to the
/// one with the fewest, all ran to the same replica until its next report, most of all to one that
/// had just begun to serve. A head that runs more counts as busier by [`RUNNING_WAIT`] each.
///
/// Where each target has as much waiting as can begin in time, one more request would be late and
/// make those behind it late as well. It is refused at once instead, while its caller still has
/// time to come back.
///
/// # Errors
///
/// [`NoTarget`] with the reason.
pub fn choose_target(
    choices: &[TargetCandidate],
    limits: ChoiceLimits,
    now: Duration,
) -> Result<usize, NoTarget> {
    let mut best: Option<((bool, Duration), usize)> = None;
    for (index, choice) in choices.iter().enumerate() {
        if !choice.has_room(limits, now) {
            continue;
        }
        let rank = (choice.load.is_failing(now), choice.wait(limits, now));
        if best.is_none_or(|(least, _)| rank < least) {
            best = Some((rank, index));
        }
    }
    match best {
        Some((_, index)) => Ok(index),
        None if choices.is_empty() => Err(NoTarget::Absent),
        None => Err(NoTarget::Full),
    }
}
