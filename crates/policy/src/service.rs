//! Selection of an instance of a plain service.

use std::time::Duration;

use rand::Rng;

/// Number of consecutive failures after which an instance is ejected.
const EJECTION_THRESHOLD: u32 = 2;

/// Duration of the first ejection; doubled for each further failure.
const BASE_EJECTION_TIME: Duration = Duration::from_secs(1);

/// Maximum duration of an ejection.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(20);

/// Weight of a new observation in the moving average of an instance's latency.
const LATENCY_WEIGHT: f64 = 0.2;

/// Observed load, failures and latency of one instance of a plain service.
#[derive(Debug, Clone, Default)]
pub struct InstanceStats {
    in_flight: u32,
    failures: u32,
    ejected_until: Option<Duration>,
    latency: f64,
}

/// Result of a call to an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// The instance sent a response whose status the caller does not count as a failure.
    Responded,
    /// The call failed or timed out; consecutive failures eject the instance.
    Failed,
}

impl InstanceStats {
    /// Records that a call was sent; [`Self::record_ended`] or [`Self::record_unsent`] must follow.
    pub fn record_sent(&mut self) {
        self.in_flight += 1;
    }

    /// Records that a call ended after `elapsed`. A response ends an ejection; its time updates the
    /// average latency.
    pub fn record_ended(&mut self, now: Duration, elapsed: Duration, outcome: CallOutcome) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if outcome == CallOutcome::Responded {
            self.failures = 0;
            self.ejected_until = None;
            self.latency += (elapsed.as_secs_f64() - self.latency) * LATENCY_WEIGHT;
            return;
        }
        self.failures = self.failures.saturating_add(1);
        if self.failures < EJECTION_THRESHOLD {
            return;
        }
        let doublings = (self.failures - EJECTION_THRESHOLD).min(8);
        let ejection_time = (BASE_EJECTION_TIME * 2_u32.pow(doublings)).min(MAX_EJECTION_TIME);
        self.ejected_until = Some(now + ejection_time);
    }

    /// Records that a call was given up before anything was sent, which says nothing about the
    /// instance.
    pub fn record_unsent(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    fn is_available(&self, now: Duration) -> bool {
        self.ejected_until.is_none_or(|until| now >= until)
    }

    /// Estimated latency in seconds of one more call: calls in flight, including this one, times
    /// the average latency.
    fn expected_latency(&self) -> f64 {
        f64::from(self.in_flight + 1) * self.latency.max(0.001)
    }
}

/// Returns the index of the instance to call, or `None` if `usable` accepts none.
///
/// Designed for about 3 instances, one of them slow or failing. All instances are compared,
/// starting from a random one so that equal instances share the calls. An instance with consecutive
/// failures is ejected, because fast failures would make it look idle. If all are ejected, the one
/// with the lowest expected latency is tried, because only a call detects that an instance has
/// recovered.
pub fn choose_instance<R: Rng>(
    instances: &[InstanceStats],
    now: Duration,
    usable: impl Fn(usize) -> bool,
    rng: &mut R,
) -> Option<usize> {
    if instances.is_empty() {
        return None;
    }
    let start = rng.random_range(0..instances.len());
    let mut best: Option<(usize, bool, f64)> = None;
    for step in 0..instances.len() {
        let index = (start + step) % instances.len();
        if !usable(index) {
            continue;
        }
        let instance = &instances[index];
        let ejected = !instance.is_available(now);
        let expected = instance.expected_latency();
        let better = best
            .is_none_or(|(_, other_ejected, other)| (ejected, expected) < (other_ejected, other));
        if better {
            best = Some((index, ejected, expected));
        }
    }
    best.map(|(index, _, _)| index)
}
