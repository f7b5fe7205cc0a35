//! How much work clients ask of a model.

use std::time::Duration;

/// Time over which demand is averaged. A burst of a few seconds changes no shares, since hosts take
/// as long to follow.
const AVERAGING_TIME: Duration = Duration::from_secs(5);

/// Time of observation below which a rate says nothing.
const MIN_OBSERVED: Duration = Duration::from_millis(500);

/// Replica time that clients ask of a model per second, averaged with more weight on recent seconds.
#[derive(Debug, Clone, Copy, Default)]
pub struct DemandMeter {
    /// Replica seconds, decayed.
    work: f64,
    /// Seconds of observation, decayed in the same way.
    observed: f64,
    updated_at: Option<Duration>,
}

impl DemandMeter {
    /// Records a request that takes `work` of a replica's time, whatever becomes of it.
    pub fn record(&mut self, work: Duration, now: Duration) {
        self.advance(now);
        self.work += work.as_secs_f64();
    }

    /// Number of replicas that the recorded requests keep busy; `None` if observed too briefly.
    #[must_use]
    pub fn busy_replicas(mut self, now: Duration) -> Option<f64> {
        self.advance(now);
        (self.observed >= MIN_OBSERVED.as_secs_f64()).then(|| self.work / self.observed)
    }

    fn advance(&mut self, now: Duration) {
        let before = self.updated_at.replace(now).unwrap_or(now);
        let elapsed = now.saturating_sub(before).as_secs_f64();
        let averaging = AVERAGING_TIME.as_secs_f64();
        let kept = (-elapsed / averaging).exp();
        self.work *= kept;
        self.observed = self.observed * kept + averaging * (1.0 - kept);
    }
}
