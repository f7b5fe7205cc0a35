//! Choosing an instance of a plain service.

use std::time::Duration;

use rand::Rng;

/// Failures in a row after which an instance is left out for a while.
const FAILURES: u32 = 2;

/// First time for which an instance is left out; doubled for each further failure.
const SHORTEST: Duration = Duration::from_secs(1);

/// Longest time for which an instance is left out.
const LONGEST: Duration = Duration::from_secs(20);

/// Weight of a new observation of an instance's time to answer.
const ANSWER_WEIGHT: f64 = 0.2;

/// What an entry knows of one instance of a plain service.
#[derive(Debug, Clone, Default)]
pub struct InstanceStats {
    in_flight: u32,
    failures: u32,
    left_out_until: Option<Duration>,
    answer: f64,
}

/// How a call to an instance ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// It answered, whatever the answer.
    Answered,
    /// It failed, or fell silent.
    Failed,
}

impl InstanceStats {
    /// A call was sent.
    pub fn record_sent(&mut self) {
        self.in_flight += 1;
    }

    /// A call ended after `elapsed`.
    pub fn record_ended(&mut self, now: Duration, elapsed: Duration, outcome: CallOutcome) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if outcome == CallOutcome::Answered {
            self.failures = 0;
            self.left_out_until = None;
            self.answer += (elapsed.as_secs_f64() - self.answer) * ANSWER_WEIGHT;
            return;
        }
        self.failures = self.failures.saturating_add(1);
        if self.failures < FAILURES {
            return;
        }
        let doublings = (self.failures - FAILURES).min(8);
        let out = (SHORTEST * 2_u32.pow(doublings)).min(LONGEST);
        self.left_out_until = Some(now + out);
    }

    fn is_open(&self, now: Duration) -> bool {
        self.left_out_until.is_none_or(|until| now >= until)
    }

    /// Expected wait: the calls before this one, at the pace of late.
    fn expected(&self) -> f64 {
        f64::from(self.in_flight + 1) * self.answer.max(0.001)
    }
}

/// Chooses an instance by its index, none when `usable` admits none.
///
/// Made for about 3 instances, one of them slow or failing. All are looked at, from a random one
/// on, so that equal ones share the calls. An instance that fails in a row is left out, because
/// fast failures would make it look idle; when all are left out the least bad is tried, because
/// an instance that is back is found only so.
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
        let closed = !instance.is_open(now);
        let expected = instance.expected();
        let better =
            best.is_none_or(|(_, other_closed, other)| (closed, expected) < (other_closed, other));
        if better {
            best = Some((index, closed, expected));
        }
    }
    best.map(|(index, _, _)| index)
}
