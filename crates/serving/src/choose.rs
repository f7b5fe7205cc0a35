//! Load balancing: which target takes a request, and when none should.

use std::time::Duration;

/// Age up to which a reported load is used. Targets report with each response, and a replica under
/// load sends several responses a second, so an older report means that little runs there.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1500);

/// Time within which the requests of a report have ended, where no further report comes.
const REPORT_DECLINE: Duration = Duration::from_secs(3);

/// Consecutive failures from which on a target is used only if no other has capacity. A single
/// failure may be caused by the request; a target that fails fast has no load and would otherwise
/// look like the best choice.
const FAILURE_THRESHOLD: u32 = 2;

/// Time after its last failure for which a target is avoided. Without a limit, a recovered replica
/// would get no requests while others have capacity, and could never show that it has recovered.
const FAILURE_WINDOW: Duration = Duration::from_secs(1);

/// Fraction of a target's connections used for requests in flight; the rest is left for idle ones.
const ACTIVE_CONNECTION_FRACTION: f64 = 0.75;

/// Requests that a node may always have at a target.
const MIN_IN_FLIGHT: f64 = 2.0;

/// Delay that each request at a target adds to a first token: its part of a decode step, of which
/// there are seven per pass, and of the slots that will be full sooner. It is small next to the
/// prefill of a prompt of 1,400 tokens, which takes 28 ms.
const WAIT_PER_REQUEST: Duration = Duration::from_millis(2);

/// What a node may use of a target's connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionShare {
    /// An equal part.
    Equal,
    /// What the other nodes leave free as well. For a while most clients may be connected to one node, which
    /// would otherwise refuse what targets could run. Used only then: an equal part also spreads what many
    /// nodes send to the same target before they hear of each other.
    Free,
}

/// Connections that a target accepts, and what a node may use of them.
#[derive(Debug, Clone, Copy)]
pub struct TargetConnections {
    /// Connections that the target accepts from all nodes.
    pub max: u32,
    /// Number of nodes.
    pub nodes: usize,
    /// What this node may use.
    pub share: ConnectionShare,
}

/// Load of one target, as one node knows it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TargetLoad {
    /// Requests of this node that are at the target.
    pub in_flight: u32,
    /// Running and queued requests of all nodes in the target's last report.
    pub reported: u32,
    /// Time of the last report; `None` before the first.
    pub reported_at: Option<Duration>,
    /// Requests sent since the last report, minus those of this node that have ended; may be
    /// negative.
    pub sent_since_report: i32,
    /// Consecutive failures since the last success.
    pub failures: u32,
    /// Time of the last failure; meaningful only if `failures` is above 0.
    pub failed_at: Duration,
}

impl TargetLoad {
    /// Counts a request that this node sent; [`Self::record_end`] must follow.
    pub fn record_sent(&mut self) {
        self.in_flight += 1;
        self.sent_since_report += 1;
    }

    /// Counts a request that another node sent. Its end shows only in the next report.
    pub fn record_sent_elsewhere(&mut self) {
        self.sent_since_report += 1;
    }

    /// Counts the end of a request that this node sent, whether it succeeded or not.
    pub fn record_end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.sent_since_report -= 1;
    }

    /// Counts a failure. At `FAILURE_THRESHOLD` consecutive ones the target is avoided for
    /// `FAILURE_WINDOW`.
    pub fn record_failure(&mut self, now: Duration) {
        self.failures += 1;
        self.failed_at = now;
    }

    /// Marks the target as unreachable, so that it is used only if no other has capacity.
    pub fn record_unreachable(&mut self, now: Duration) {
        self.failures = self.failures.max(FAILURE_THRESHOLD);
        self.failed_at = now;
    }

    /// Resets the consecutive failures after a response that is not a failure.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// Returns whether the target is avoided because it failed `FAILURE_THRESHOLD` times in a row,
    /// the last time within `FAILURE_WINDOW`.
    #[must_use]
    pub fn is_failing(&self, now: Duration) -> bool {
        let recent = now.saturating_sub(self.failed_at) < FAILURE_WINDOW;
        recent && self.failures >= FAILURE_THRESHOLD
    }

    /// Takes over the number of requests that the target reported. It is assumed to include all
    /// requests sent so far.
    pub fn record_report(&mut self, total: u32, now: Duration) {
        self.reported = total;
        self.reported_at = Some(now);
        self.sent_since_report = 0;
    }

    /// Estimates how many requests of all nodes are at the target.
    ///
    /// Without a recent report it assumes that all nodes send as many as this one.
    #[must_use]
    pub fn estimate(&self, now: Duration, nodes: usize) -> f64 {
        self.fresh_estimate(now).unwrap_or_else(|| {
            let nodes = f64::from(u32::try_from(nodes.max(1)).unwrap_or(u32::MAX));
            f64::from(self.in_flight) * nodes
        })
    }

    /// Estimates how many requests of all nodes are at the target if this node hears of all reports:
    /// while none comes, nobody sends there, and what was reported ends. `None` without a report.
    #[must_use]
    pub fn declining_estimate(&self, now: Duration) -> Option<f64> {
        let age = self.report_age(now)?.as_secs_f64();
        let left = (1.0 - age / REPORT_DECLINE.as_secs_f64()).clamp(0.0, 1.0);
        let reported = f64::from(self.reported) * left;
        let own = f64::from(self.in_flight);
        Some((reported + f64::from(self.sent_since_report)).max(own))
    }

    /// Returns how many requests this node may have at the target, each on a connection of its own.
    #[must_use]
    pub fn in_flight_limit(&self, connections: TargetConnections, now: Duration) -> u32 {
        let nodes = u32::try_from(connections.nodes.max(1)).unwrap_or(u32::MAX);
        let active = f64::from(connections.max) * ACTIVE_CONNECTION_FRACTION;
        let part = (active / f64::from(nodes)).max(MIN_IN_FLIGHT);
        let own = f64::from(self.in_flight);
        let free = match connections.share {
            ConnectionShare::Equal => None,
            ConnectionShare::Free => self.fresh_estimate(now).map(|all| active - (all - own)),
        };
        // In range: at most a u32 multiplied by a factor below 1, or `MIN_IN_FLIGHT`.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let limit = free.unwrap_or(part).max(part) as u32;
        limit
    }

    /// Time since the last report; `None` before the first.
    #[must_use]
    pub fn report_age(&self, now: Duration) -> Option<Duration> {
        self.reported_at.map(|at| now.saturating_sub(at))
    }

    /// Estimates how many requests of all nodes are at the target; `None` without a recent report.
    #[must_use]
    pub fn fresh_estimate(&self, now: Duration) -> Option<f64> {
        if self.report_age(now)? >= MAX_REPORT_AGE {
            return None;
        }
        let own = f64::from(self.in_flight);
        Some((f64::from(self.reported) + f64::from(self.sent_since_report)).max(own))
    }
}

/// A target that could take a request.
#[derive(Debug, Clone, Copy)]
pub struct TargetCandidate {
    /// Load of the target, as this node knows it.
    pub load: TargetLoad,
    /// Requests that the target runs at once.
    pub slots: u32,
    /// Estimated time until the prompts queued at the target are prefilled. `None` for targets
    /// without prompts, of which the first with capacity is used.
    pub prefill_wait: Option<Duration>,
    /// Requests that this node may have at the target: its part of the connections that the target
    /// accepts from all nodes. Beyond its limit the target resets connections, which loses
    /// requests.
    pub in_flight_limit: u32,
}

impl TargetCandidate {
    fn has_capacity(&self, limits: ChoiceLimits, now: Duration) -> bool {
        let capacity = f64::from(self.slots.max(1)) + limits.queue_limit;
        self.load.estimate(now, limits.nodes) < capacity
            && self.load.in_flight < self.in_flight_limit
    }

    /// Estimates the delay of a first token that is specific to this target.
    fn expected_wait(&self, limits: ChoiceLimits, now: Duration) -> Duration {
        let Some(prefill_wait) = self.prefill_wait else {
            return Duration::ZERO;
        };
        prefill_wait + WAIT_PER_REQUEST.mul_f64(self.load.estimate(now, limits.nodes))
    }
}

/// Limits of a choice that are the same for all candidates.
#[derive(Debug, Clone, Copy)]
pub struct ChoiceLimits {
    /// Requests that may wait at a target on top of those that it runs.
    pub queue_limit: f64,
    /// Number of nodes that send to the same targets.
    pub nodes: usize,
}

/// Why no target takes a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoTarget {
    /// There are no candidates.
    Absent,
    /// No candidate has capacity.
    Full,
}

/// Returns the index of the candidate with capacity that should begin the request soonest.
///
/// The first of equal candidates wins. Callers pass them in an order drawn per request, which makes
/// the choice among equals random.
///
/// Several nodes send prompts of very different lengths to a dozen replicas. First tokens are late,
/// and running streams pause, mainly because of prompts that wait for prefill; so the head with the
/// shortest prefill wait is chosen. The number of requests alone says little: when each node chose
/// the head with the fewest, all of them chose the same replica until its next report, especially
/// one that had just begun to serve. Each request at a head adds `WAIT_PER_REQUEST`.
///
/// If as many requests wait at each target as can begin in time, one more would be late and delay
/// those behind it. It is refused at once, while its client still has time to retry.
///
/// # Errors
///
/// Returns [`NoTarget`] if there are no candidates or all are full.
pub fn choose_target(
    candidates: &[TargetCandidate],
    limits: ChoiceLimits,
    now: Duration,
) -> Result<usize, NoTarget> {
    let mut best: Option<((bool, Duration), usize)> = None;
    for (index, candidate) in candidates.iter().enumerate() {
        if !candidate.has_capacity(limits, now) {
            continue;
        }
        let rank = (
            candidate.load.is_failing(now),
            candidate.expected_wait(limits, now),
        );
        if best.is_none_or(|(least, _)| rank < least) {
            best = Some((rank, index));
        }
    }
    match best {
        Some((_, index)) => Ok(index),
        None if candidates.is_empty() => Err(NoTarget::Absent),
        None => Err(NoTarget::Full),
    }
}
