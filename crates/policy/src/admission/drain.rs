//! How fast the queue drains.

use std::time::Duration;

/// Time over which older observations fade.
///
/// Made for hosts that come and go within seconds: a longer memory would promise the rate of
/// replicas that are gone, a shorter one would follow the noise of single long answers.
const MEMORY: Duration = Duration::from_secs(5);

/// Shortest observed time that a rate is worked out from.
const LEAST_OBSERVED: f64 = 0.25;

/// Rate at which work leaves, in units of cost a second.
#[derive(Debug, Clone, Default)]
pub(super) struct DrainRate {
    blocked: DecayedRate,
    finished: DecayedRate,
    blocked_since: Option<Duration>,
    full_since: Option<Duration>,
}

/// Work and time, both fading.
#[derive(Debug, Clone, Default)]
struct DecayedRate {
    work: f64,
    time: f64,
}

impl DecayedRate {
    fn pass(&mut self, elapsed: Duration) {
        let seconds = elapsed.as_secs_f64();
        let kept = (-seconds / MEMORY.as_secs_f64()).exp();
        self.work *= kept;
        self.time = self.time * kept + seconds;
    }

    fn rate(&self) -> Option<f64> {
        let known = self.time >= LEAST_OBSERVED && self.work > 0.0;
        known.then(|| self.work / self.time)
    }
}

impl DrainRate {
    /// Lets time pass; `full` tells whether no more may be sent from now on, and `blocked` whether
    /// requests wait for that reason.
    ///
    /// Only such time counts: a queue that is empty half of the time drains no slower for it, and
    /// a rate taken over idle time would refuse the first burst after a quiet hour.
    pub fn pass(&mut self, now: Duration, full: bool, blocked: bool) {
        if let Some(since) = self.blocked_since {
            self.blocked.pass(now.saturating_sub(since));
        }
        if let Some(since) = self.full_since {
            self.finished.pass(now.saturating_sub(since));
        }
        self.blocked_since = blocked.then_some(now);
        self.full_since = full.then_some(now);
    }

    /// Work left the queue while others waited for capacity.
    pub fn record_dispatched(&mut self, cost: f64) {
        if self.blocked_since.is_some() {
            self.blocked.work += cost;
        }
    }

    /// A target finished work; used until the queue has been blocked for a while.
    ///
    /// Work that is finished while more could have been sent tells only how much was asked for. A
    /// few short requests in a quiet minute would make a burst of long ones look hopeless, and it
    /// would be refused beside idle targets.
    pub fn record_finished(&mut self, cost: f64) {
        if self.full_since.is_some() {
            self.finished.work += cost;
        }
    }

    /// Units of cost a second; none before anything was observed.
    pub fn rate(&self) -> Option<f64> {
        self.blocked.rate().or_else(|| self.finished.rate())
    }
}
