//! Load balancing of many nodes, each of which sends a small part of the requests.
//!
//! Pattern: hundreds of nodes with a few requests a second each, and a hundred replicas. Loads that
//! a node knows are some hundred milliseconds old, and the others see the same ones: if each chose
//! the least loaded replica, or the least loaded of a few, they would all choose the same until its
//! next report, and it would be full before. Each draws a replica with a chance that grows with its
//! free places instead, so that a replica that looks free gets no more than a few times its share.
//!
//! Replicas of the node's own failure domain are preferred, and those to which it has an idle
//! connection, since opening one takes a replica's time. Requests leave a domain whose own replicas
//! are fuller than the others, or lost.

use std::time::Duration;

use crate::choose::{ChoiceLimits, NoTarget, TargetLoad};

/// Exponent of the free places in the chance of a replica. With a higher one, replicas that look free
/// fill up before their next report.
const FREE_EXPONENT: f64 = 1.5;

/// Factor on the chance of a replica in another failure domain while the own ones are no fuller:
/// there are several times as many, traffic to them costs, and their load is known later.
const FAR_FACTOR: f64 = 0.02;

/// Requests by which the replicas of the own failure domain must be fuller in the mean for all
/// replicas to have the same chance.
const FULL_SPILL: f64 = 4.0;

/// Factor on the chance of a replica to which the node has an idle connection.
const CONNECTION_FACTOR: f64 = 4.0;

/// Factor on the chance of a replica that fails.
const FAILING_FACTOR: f64 = 1e-6;

/// Time without a report after which a replica may have died.
const MAX_SILENCE: Duration = Duration::from_millis(500);

/// Free places that a replica is taken to have at least as long as it is not known to be full.
const MIN_FREE: f64 = 0.5;

/// A replica that could take a request.
#[derive(Debug, Clone, Copy)]
pub struct SampledCandidate {
    /// Load of the head, as this node knows it.
    pub load: TargetLoad,
    /// Requests that the replica runs at once.
    pub slots: u32,
    /// Requests that this node may have at the head.
    pub in_flight_limit: u32,
    /// Whether the head is in the failure domain of the node.
    pub is_near: bool,
    /// Whether the node has an idle connection to the head.
    pub has_connection: bool,
    /// Factor on the chance of a cold replica, to which only few nodes send; 1 for a warm one.
    pub cold_factor: f64,
}

impl SampledCandidate {
    /// Estimated requests of all nodes at the replica. One of which nothing was heard for a while
    /// counts as having `typical` at least: it may have died rather than be free, and would draw all
    /// requests.
    fn requests(&self, typical: f64, now: Duration) -> f64 {
        let Some(estimate) = self.load.declining_estimate(now) else {
            return typical.max(f64::from(self.load.in_flight));
        };
        let is_recent = self
            .load
            .report_age(now)
            .is_some_and(|age| age < MAX_SILENCE);
        if is_recent {
            estimate
        } else {
            estimate.max(typical)
        }
    }

    /// Requests that the replica can take until the next report, if `ends` end at a full one; none at one that
    /// fails. `typical` is the load of one of which nothing was heard for a while.
    pub(crate) fn room(
        &self,
        limits: ChoiceLimits,
        (typical, ends): (f64, f64),
        now: Duration,
    ) -> f64 {
        if self.load.in_flight >= self.in_flight_limit || self.load.is_failing(now) {
            return 0.0;
        }
        let slots = f64::from(self.slots.max(1));
        let requests = self.requests(typical, now);
        let busy = (requests / slots).min(1.0);
        (slots + limits.queue_limit - requests + busy * ends).max(0.0)
    }

    /// Relative chance of this replica; 0 if it is full.
    fn chance(&self, loads: TypicalLoads, limits: ChoiceLimits, now: Duration) -> f64 {
        let requests = self.requests(loads.all, now);
        let capacity = f64::from(self.slots.max(1)) + limits.queue_limit;
        if requests >= capacity || self.load.in_flight >= self.in_flight_limit {
            return 0.0;
        }
        let free = (f64::from(self.slots) - requests).max(MIN_FREE);
        let far = if self.is_near {
            1.0
        } else {
            loads.far_factor()
        };
        let connected = if self.has_connection {
            CONNECTION_FACTOR
        } else {
            1.0
        };
        let failing = if self.load.is_failing(now) {
            FAILING_FACTOR
        } else {
            1.0
        };
        free.powf(FREE_EXPONENT) * far * connected * failing * self.cold_factor
    }
}

/// Mean loads of the replicas of which something is known.
#[derive(Debug, Clone, Copy)]
struct TypicalLoads {
    /// Of all replicas, as long as that leaves a replica a place.
    all: f64,
    /// Difference between the replicas of the node's failure domain and all others.
    near_excess: f64,
}

impl TypicalLoads {
    fn of(candidates: &[SampledCandidate], now: Duration) -> Self {
        let slots = candidates.iter().map(|candidate| candidate.slots).max();
        let most = (f64::from(slots.unwrap_or(0)) - MIN_FREE).max(0.0);
        let mean = |is_counted: fn(&SampledCandidate) -> bool| {
            let counted = candidates.iter().filter(|candidate| is_counted(candidate));
            mean_load(counted, now)
        };
        let near = mean(|candidate| candidate.is_near);
        let far = mean(|candidate| !candidate.is_near);
        Self {
            all: mean(|_| true).unwrap_or(0.0).min(most),
            near_excess: near.zip(far).map_or(0.0, |(near, far)| near - far),
        }
    }

    /// Factor on the chance of a replica in another failure domain.
    fn far_factor(self) -> f64 {
        let preference = (1.0 - self.near_excess / FULL_SPILL).clamp(0.0, 1.0);
        FAR_FACTOR.powf(preference)
    }
}

fn mean_load<'a>(
    candidates: impl Iterator<Item = &'a SampledCandidate>,
    now: Duration,
) -> Option<f64> {
    let known = candidates
        .filter(|candidate| candidate.load.fresh_estimate(now).is_some())
        .filter_map(|candidate| candidate.load.declining_estimate(now));
    let (count, sum) = known.fold((0.0, 0.0), |(count, sum), load| (count + 1.0, sum + load));
    (count > 0.0).then(|| sum / count)
}

/// Mean load of the replicas of which something is known, as long as that leaves a replica a place.
pub(crate) fn typical_load(candidates: &[SampledCandidate], now: Duration) -> f64 {
    TypicalLoads::of(candidates, now).all
}

/// Draws the candidate to which the request should go; returns its index. `draw` is a number from 0
/// to 1, uniformly distributed over the requests.
///
/// # Errors
///
/// Returns [`NoTarget`] if there are no candidates or all are full.
pub fn choose_sampled(
    candidates: &[SampledCandidate],
    limits: ChoiceLimits,
    now: Duration,
    draw: f64,
) -> Result<usize, NoTarget> {
    if candidates.is_empty() {
        return Err(NoTarget::Absent);
    }
    let loads = TypicalLoads::of(candidates, now);
    let chances: Vec<f64> = candidates
        .iter()
        .map(|candidate| candidate.chance(loads, limits, now))
        .collect();
    let mut left = draw * chances.iter().sum::<f64>();
    let mut chosen = None;
    for (index, chance) in chances.into_iter().enumerate() {
        if chance <= 0.0 {
            continue;
        }
        chosen = Some(index);
        left -= chance;
        if left <= 0.0 {
            break;
        }
    }
    chosen.ok_or(NoTarget::Full)
}
