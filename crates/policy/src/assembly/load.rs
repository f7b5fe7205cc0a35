//! Which replicas may load their weights now.

use super::fabric::{ReplicaView, RoundView};
use super::state::{AssemblyReplica, AssemblyStep, ReplicaStage};

/// Chooses the loads that the store's rate allows, the one that wins most for each load first.
///
/// Made for a fabric domain that comes back after a power cut: 200 hosts ask for weights at once.
/// If all fetched together, every replica would be ready only at the end; seen as an outage that
/// lasts as long as all loads together. One after the other, the first serves after one load.
pub(super) fn plan(view: &RoundView<'_>, steps: &mut Vec<AssemblyStep>) {
    let mut fetching = 0;
    let mut waiting: Vec<(&ReplicaView<'_>, usize)> = Vec::new();
    for replica in &view.replicas {
        let fetches = fetches(view, replica.replica);
        match replica.replica.stage {
            ReplicaStage::Loading => fetching += fetches,
            ReplicaStage::Formed if !replica.broken => waiting.push((replica, fetches)),
            _ => {}
        }
    }
    let value = |(replica, fetches): &(&ReplicaView<'_>, usize)| {
        let fetches = u32::try_from(*fetches).unwrap_or(u32::MAX);
        let loss = view.settings.loss_an_hour(replica.replica.hosts.len());
        loss / f64::from(fetches.max(1))
    };
    waiting.sort_by(|left, right| {
        value(right)
            .total_cmp(&value(left))
            .then_with(|| left.0.replica.id.cmp(&right.0.replica.id))
    });
    for (replica, fetches) in waiting {
        // One that is larger than the limit goes alone, or it would never go.
        let fits = fetching == 0 || fetching + fetches <= view.settings.parallel_loads;
        if !fits && fetches > 0 {
            continue;
        }
        fetching += fetches;
        steps.push(AssemblyStep::Load {
            replica: replica.replica.id.clone(),
        });
    }
}

/// Hosts of a replica that have to fetch their part of the weights.
fn fetches(view: &RoundView<'_>, replica: &AssemblyReplica) -> usize {
    let mut count = 0;
    for (rank, id) in replica.hosts.iter().enumerate() {
        let held = view.hosts.get(id).and_then(|host| host.loaded.as_ref());
        let holds = held.is_some_and(|weights| {
            weights.model == replica.model
                && weights.version == replica.version
                && weights.rank == rank
        });
        count += usize::from(!holds);
    }
    count
}
