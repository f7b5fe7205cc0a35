//! Shares of the hosts by what clients ask of each model.
//!
//! Pattern: work that shifted. Operators publish the shares that they expect, and months later one
//! model is asked for several times as much as the other. Its clients find all replicas full beside
//! replicas of the other one with room. Shares then follow the work that clients ask for, refused
//! work included, and the published ones are the start and a lower bound.

use std::time::Duration;

/// Time over which demand is averaged. A burst of a few seconds changes no shares, since hosts take
/// as long to follow.
const AVERAGING_TIME: Duration = Duration::from_secs(5);

/// Time of observation below which a rate says nothing.
const MIN_OBSERVED: Duration = Duration::from_millis(500);

/// Part of its published share that a model keeps however little it is asked for: its clients may be
/// back before a replica could be.
const MIN_PUBLISHED_PART: f64 = 1.0 / 3.0;

/// Change of a share for which hosts are moved. Less is a replica or two, and waves of the traffic.
const MIN_SHIFT: f64 = 0.06;

/// Time for which that change must be wanted.
const SHIFT_PERSISTENCE: Duration = Duration::from_secs(2);

/// Time between two changes, in which hosts follow the first and clients notice.
const SHIFT_INTERVAL: Duration = Duration::from_secs(15);

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

/// What a model needs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ModelDemand {
    /// Hosts of a replica.
    pub size: usize,
    /// Replicas that the requests of all nodes keep busy.
    pub busy_replicas: f64,
    /// Share of the hosts that operators published.
    pub published_share: f64,
}

impl ModelDemand {
    fn busy_hosts(&self) -> f64 {
        f64::from(u32::try_from(self.size).unwrap_or(u32::MAX)) * self.busy_replicas
    }
}

/// Shares of the hosts in proportion to the work, in the order of the models; `None` if nothing is
/// asked for.
#[must_use]
pub fn shares_by_work(demands: &[ModelDemand]) -> Option<Vec<f64>> {
    let work: f64 = demands.iter().map(ModelDemand::busy_hosts).sum();
    if !(work > 0.0 && work.is_finite()) {
        return None;
    }
    let shares = demands.iter().map(|demand| {
        let least = demand.published_share * MIN_PUBLISHED_PART;
        (demand.busy_hosts() / work).max(least)
    });
    Some(normalized(shares.collect()))
}

fn normalized(shares: Vec<f64>) -> Vec<f64> {
    let total: f64 = shares.iter().sum();
    shares.into_iter().map(|share| share / total).collect()
}

/// Decides when the shares in force change. Moving hosts costs time in which they serve nobody, so
/// shares follow neither a burst nor a wave of the traffic.
#[derive(Debug, Clone, Default)]
pub struct ShareDecider {
    wanted_since: Option<Duration>,
    decided_at: Option<Duration>,
}

impl ShareDecider {
    /// Whether `wanted` should replace the shares `in_force` now.
    pub fn decide(&mut self, in_force: &[f64], wanted: &[f64], now: Duration) -> bool {
        let pairs = in_force.iter().zip(wanted);
        let shift = pairs
            .map(|(left, right)| (left - right).abs())
            .fold(0.0, f64::max);
        if shift < MIN_SHIFT {
            self.wanted_since = None;
            return false;
        }
        let since = *self.wanted_since.get_or_insert(now);
        let is_lasting = now.saturating_sub(since) >= SHIFT_PERSISTENCE;
        let is_settled = self
            .decided_at
            .is_none_or(|at| now.saturating_sub(at) >= SHIFT_INTERVAL);
        if !is_lasting || !is_settled {
            return false;
        }
        self.wanted_since = None;
        self.decided_at = Some(now);
        true
    }
}
