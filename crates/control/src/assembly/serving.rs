//! Which replicas stand and serve, and how many of a model may be drained.

use std::time::{Duration, Instant};

use domain::{FastMap, FastSet, ModelName, ReplicaId};
use policy::rollout;

use super::rows::FabricRows;
use crate::view::TargetView;

/// Oldest evidence with which a replica counts as serving; as old as entries trust.
const EVIDENCE_LIMIT: Duration = Duration::from_secs(3);

/// Steps in which a model goes over to other replicas where no free hosts are left: in each at most
/// one part in so many is missing. At 20 a model of up to 20 replicas misses one at a time.
const ROLLOUT_STEPS: usize = 20;

/// Replicas of one model over all its versions and all fabric domains.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ModelCounts {
    /// Those that stand and do not drain, whether they serve or not.
    pub active: usize,
    /// Those that may be dispatched to.
    pub serving: usize,
}

impl ModelCounts {
    /// How many replicas may be drained now. `formable` tells whether a wanted replica can be
    /// formed from free hosts.
    ///
    /// A record that names a new version makes every replica of the old one a surplus. Drained all
    /// at once, the model would serve nobody until the new weights are loaded, and its callers be
    /// refused for minutes. So old ones go as new ones come to serve: none while new ones can be
    /// formed or load, else a small part at a time.
    #[must_use]
    pub fn allowed_drains(&self, desired: usize, formable: bool) -> usize {
        if desired > 0 && (formable || self.active > desired) {
            return self.serving.saturating_sub(desired);
        }
        rollout::allowed_drains(desired, self.serving, ROLLOUT_STEPS)
    }
}

/// Which replicas stand and serve.
#[derive(Debug, Clone, Default)]
pub struct ServingReplicas {
    counts: FastMap<ModelName, ModelCounts>,
    /// Those that may be dispatched to; none when it is not known, and all count as serving.
    serving: Option<FastSet<ReplicaId>>,
}

impl ServingReplicas {
    /// Counts those that stand from the table, and those that serve from this node's targets.
    ///
    /// The table's count falls with the drain itself, in the same transaction, while the targets
    /// show it a moment later; so the lower of both counts.
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

    /// Counts of one model.
    #[must_use]
    pub fn counts(&self, model: &ModelName) -> ModelCounts {
        self.counts.get(model).copied().unwrap_or_default()
    }

    /// Whether a replica may be dispatched to, as far as this node knows.
    #[must_use]
    pub fn serves(&self, replica: &ReplicaId) -> bool {
        self.serving
            .as_ref()
            .is_none_or(|serving| serving.contains(replica))
    }
}
