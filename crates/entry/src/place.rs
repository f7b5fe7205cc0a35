//! Choosing the replica for an attempt.

use std::sync::Arc;
use std::time::{Duration, Instant};

use control::{ReplicaView, TargetView};
use domain::{FastSet, ModelName, ReplicaId, VersionName};

/// Chooses a whole replica with the least reported load, none when there is none.
#[must_use]
pub fn choose_replica(
    view: &TargetView,
    model: &ModelName,
    version: Option<&VersionName>,
    tried: &FastSet<ReplicaId>,
    now: Instant,
    evidence_limit: Duration,
) -> Option<Arc<ReplicaView>> {
    let mut best: Option<(&Arc<ReplicaView>, u32)> = None;
    for replica in &view.replicas {
        let fits = replica.plan.model == *model
            && version.is_none_or(|version| replica.plan.version == *version)
            && !tried.contains(&replica.plan.id)
            && replica.dispatchable(now, evidence_limit);
        if !fits {
            continue;
        }
        let load = replica
            .load
            .map_or(0, |(load, _)| load.running + load.waiting);
        if best.is_none_or(|(_, least)| load < least) {
            best = Some((replica, load));
        }
    }
    best.map(|(replica, _)| Arc::clone(replica))
}
