//! Load balancing of many nodes while replicas are nearly full.
//!
//! Pattern: more requests arrive than the replicas can run, and the loads that a node knows are some hundred
//! milliseconds old. All nodes see the same few replicas with a free slot, send there, and overfill them,
//! while a limit on each replica can't tell that the others do the same. So each node compares the room of
//! all replicas with the requests that all nodes will send before they hear of each other, admits that part
//! of its requests, and spreads them by room.

use std::time::Duration;

use crate::choose::{ChoiceLimits, NoTarget};
use crate::choose_sampled::{SampledCandidate, choose_sampled, typical_load};

/// Time for which nodes do not hear of each other's requests: a report of a target takes this long.
pub const BLIND_TIME: Duration = Duration::from_millis(200);

/// Multiple of the expected requests that must find room for replicas to be chosen as without overload.
const AMPLE_ROOM: f64 = 2.0;

/// Multiple of the room that is admitted. What is admitted beyond the room waits a little longer, and may be in
/// time since loads are old; a rejected request has no second chance to be.
const OVERBOOKING: f64 = 2.0;

/// Time over which the rate of arrivals is averaged. A node of a large deployment sees a few requests a
/// second; over a shorter time, chance makes it reject what there is room for.
const RATE_TIME: Duration = Duration::from_secs(4);

/// Rate of arrivals, averaged with exponentially decreasing weights.
#[derive(Debug, Clone, Copy, Default)]
pub struct ArrivalRate {
    weight: f64,
    updated_at: Duration,
}

impl ArrivalRate {
    /// Counts an arrival.
    pub fn record(&mut self, now: Duration) {
        self.weight = self.decayed(now) + 1.0;
        self.updated_at = now;
    }

    /// Arrivals per second.
    #[must_use]
    pub fn per_second(&self, now: Duration) -> f64 {
        self.decayed(now) / RATE_TIME.as_secs_f64()
    }

    fn decayed(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        self.weight * (-age / RATE_TIME.as_secs_f64()).exp()
    }
}

/// What happens at the replicas of a model within [`BLIND_TIME`].
#[derive(Debug, Clone, Copy)]
pub struct BlindTraffic {
    /// Requests that all nodes receive.
    pub arrivals: f64,
    /// Requests that end at a full replica. Zero for requests that must not take slots from others.
    pub ends: f64,
}

/// Draws the candidate to which the request should go; returns its index. `draw` is a number from 0 to 1,
/// uniformly distributed over the requests.
///
/// # Errors
///
/// Returns [`NoTarget`] if there are no candidates, or if the request is one of those for which all
/// replicas together have no room.
pub fn choose_by_room(
    candidates: &[SampledCandidate],
    limits: ChoiceLimits,
    traffic: BlindTraffic,
    now: Duration,
    draw: f64,
) -> Result<usize, NoTarget> {
    let expected = (typical_load(candidates, now), traffic.ends);
    let rooms: Vec<f64> = candidates
        .iter()
        .map(|candidate| candidate.room(limits, expected, now))
        .collect();
    let total: f64 = rooms.iter().sum();
    if candidates.is_empty() || total >= AMPLE_ROOM * traffic.arrivals {
        return choose_sampled(candidates, limits, now, draw);
    }
    let mut left = draw * total.max(traffic.arrivals / OVERBOOKING);
    for (index, room) in rooms.into_iter().enumerate() {
        if room <= 0.0 {
            continue;
        }
        left -= room;
        if left <= 0.0 {
            return Ok(index);
        }
    }
    Err(NoTarget::Full)
}
