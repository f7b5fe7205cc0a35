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
    finished_at: Option<Duration>,
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
    /// Lets time pass; `blocked` tells whether requests wait for want of capacity from now on.
    ///
    /// Only time spent blocked counts: a queue that is empty half of the time drains no slower
    /// for it, and a rate taken over idle time would refuse the first burst after a quiet hour.
    pub fn pass(&mut self, now: Duration, blocked: bool) {
        if let Some(since) = self.blocked_since {
            self.blocked.pass(now.saturating_sub(since));
        }
        self.blocked_since = blocked.then_some(now);
    }

    /// Work left the queue while others waited for capacity.
    pub fn note_dispatched(&mut self, cost: f64) {
        if self.blocked_since.is_some() {
            self.blocked.work += cost;
        }
    }

    /// A target finished work; used until the queue has been blocked for a while.
    pub fn note_finished(&mut self, now: Duration, cost: f64) {
        let since = self.finished_at.unwrap_or(now);
        self.finished.pass(now.saturating_sub(since));
        self.finished.work += cost;
        self.finished_at = Some(now);
    }

    /// Units of cost a second; none before anything was observed.
    pub fn rate(&self) -> Option<f64> {
        self.blocked.rate().or_else(|| self.finished.rate())
    }
}
