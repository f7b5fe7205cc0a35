//! Estimate of the rate at which the queue drains.

use std::time::Duration;

/// Time constant of the exponential decay of observations.
///
/// Chosen for hosts that join and leave within seconds: a longer time would predict the rate of
/// replicas that are gone, a shorter one would follow the noise of single long responses.
const DECAY_TIME: Duration = Duration::from_secs(5);

/// Minimum observed time for a rate estimate, in seconds.
const MIN_OBSERVED_SECONDS: f64 = 0.25;

/// Rate at which queued work is processed, in units of cost per second.
#[derive(Debug, Clone, Default)]
pub(super) struct DrainRate {
    dispatched: DecayedRate,
    finished: DecayedRate,
    blocked_since: Option<Duration>,
    full_since: Option<Duration>,
}

/// Amount of work and observed time, both decayed exponentially.
#[derive(Debug, Clone, Default)]
struct DecayedRate {
    work: f64,
    seconds: f64,
}

impl DecayedRate {
    fn advance(&mut self, elapsed: Duration) {
        let seconds = elapsed.as_secs_f64();
        let kept = (-seconds / DECAY_TIME.as_secs_f64()).exp();
        self.work *= kept;
        self.seconds = self.seconds * kept + seconds;
    }

    fn rate(&self) -> Option<f64> {
        let observed = self.seconds >= MIN_OBSERVED_SECONDS && self.work > 0.0;
        observed.then(|| self.work / self.seconds)
    }
}

impl DrainRate {
    /// Advances the clock. `full` tells whether no more may be sent from now on, and `blocked`
    /// whether requests wait for that reason.
    ///
    /// Only such time is counted: a queue that is empty half of the time does not drain more
    /// slowly, and a rate taken over idle time would cause the first burst after a quiet hour to be
    /// refused.
    pub fn advance(&mut self, now: Duration, full: bool, blocked: bool) {
        if let Some(since) = self.blocked_since {
            self.dispatched.advance(now.saturating_sub(since));
        }
        if let Some(since) = self.full_since {
            self.finished.advance(now.saturating_sub(since));
        }
        self.blocked_since = blocked.then_some(now);
        self.full_since = full.then_some(now);
    }

    /// Records work that left the queue; counted only while the queue is blocked.
    pub fn record_dispatched(&mut self, cost: f64) {
        if self.blocked_since.is_some() {
            self.dispatched.work += cost;
        }
    }

    /// Records work that a target finished; counted only while no more may be sent, and used until
    /// the queue itself has been blocked for long enough.
    ///
    /// Work finished while more could have been sent only reflects the demand. Otherwise a few
    /// short requests in a quiet minute would make the wait of a burst of long ones look too long,
    /// and they would be refused while targets are idle.
    pub fn record_finished(&mut self, cost: f64) {
        if self.full_since.is_some() {
            self.finished.work += cost;
        }
    }

    /// Returns the units of cost per second, or `None` before there are enough observations.
    pub fn rate(&self) -> Option<f64> {
        self.dispatched.rate().or_else(|| self.finished.rate())
    }
}
