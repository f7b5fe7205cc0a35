//! Which replicas are active and serving, and how many of a model may be drained.

use std::time::{Duration, Instant};

use domain::{FastMap, FastSet, ModelName, ReplicaId};
use policy::rollout::allowed_drains;

use super::rows::FabricRows;
use crate::view::TargetView;

/// Maximum age of health evidence with which a replica counts as serving; the same as for dispatch.
const EVIDENCE_LIMIT: Duration = Duration::from_secs(3);

/// Steps in which a model moves to other replicas when no hosts are free: each step may leave one
/// in this many replicas missing. With 20, a model of up to 20 replicas misses one at a time.
const ROLLOUT_STEPS: usize = 20;

/// Replicas of one model over all versions and fabric domains.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ModelCounts {
    /// Replicas that are planned and not draining, whether they serve or not.
    pub active: usize,
    /// Replicas that requests may be dispatched to.
    pub serving: usize,
}

impl ModelCounts {
    /// How many replicas may be drained now. `formable` tells whether a desired replica can be
    /// formed from free hosts.
    ///
    /// A record that names a new version makes every replica of the old one surplus. If all were
    /// drained at once, the model would serve nobody until the new weights are loaded, and requests
    /// would be refused for minutes. Old replicas therefore drain as new ones start to serve: none
    /// while new ones can be formed or are loading, otherwise a small part at a time.
    #[must_use]
    pub fn allowed_drains(&self, desired: usize, formable: bool) -> usize {
        if desired > 0 && (formable || self.active > desired) {
            return self.serving.saturating_sub(desired);
        }
        allowed_drains(desired, self.serving, ROLLOUT_STEPS)
    }
}

/// Which replicas are active and serving.
#[derive(Debug, Clone, Default)]
pub struct ServingReplicas {
    counts: FastMap<ModelName, ModelCounts>,
    /// Replicas that requests may be dispatched to; none when unknown, and all count as serving.
    serving: Option<FastSet<ReplicaId>>,
}

impl ServingReplicas {
    /// Counts the active replicas from the table, and the serving ones from this node's targets.
    ///
    /// The table's count drops in the same transaction as a drain, while the targets follow a
    /// moment later; the lower of both therefore counts.
    #[must_use]
    pub fn new(rows: &FabricRows, targets: Option<&TargetView>, now: Instant) -> Self {
        let mut counts: FastMap<ModelName, ModelCounts> = FastMap::default();
        for ((model, _), (row, _)) in &rows.replica_counts {
            let count = counts.entry(model.clone()).or_default();
            count.active += row.replicas as usize;
            count.serving = count.active;
        }
        let Some(targets) = targets else {
            return Self {
                counts,
                serving: None,
            };
        };
        let mut seen: FastMap<ModelName, usize> = FastMap::default();
        let mut serving = FastSet::default();
        for replica in &targets.replicas {
            if !replica.dispatchable(now, EVIDENCE_LIMIT) {
                continue;
            }
            *seen.entry(replica.plan.model.clone()).or_default() += 1;
            serving.insert(replica.plan.id.clone());
        }
        for (model, count) in &mut counts {
            let seen = seen.get(model).copied().unwrap_or_default();
            count.serving = count.serving.min(seen);
        }
        Self {
            counts,
            serving: Some(serving),
        }
    }

    /// Counts of one model; zero for an unknown one.
    #[must_use]
    pub fn counts(&self, model: &ModelName) -> ModelCounts {
        self.counts.get(model).copied().unwrap_or_default()
    }

    /// Whether requests may be dispatched to a replica, as far as this node knows.
    #[must_use]
    pub fn serves(&self, replica: &ReplicaId) -> bool {
        self.serving
            .as_ref()
            .is_none_or(|serving| serving.contains(replica))
    }
}
