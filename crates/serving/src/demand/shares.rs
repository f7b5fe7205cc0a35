//! Shares of the hosts in proportion to the work.

/// Part of its published share that a model keeps however little it is asked for: its clients may be
/// back before a replica could be.
const MIN_PUBLISHED_PART: f64 = 1.0 / 3.0;

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
