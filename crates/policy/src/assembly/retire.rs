//! Replicas that are not wanted, and hosts that leave.

use domain::FastMap;

use super::fabric::{ReplicaView, RoundView};
use super::rollout::DrainRoom;
use super::state::{AssemblyStep, DissolveReason, DrainReason, ReplicaStage};

/// Drains and dissolves what should not be there; the rest stays in the view.
///
/// A replica in service is drained first, because to dissolve it cuts off every request on it.
pub(super) fn plan(view: &mut RoundView<'_>, steps: &mut Vec<AssemblyStep>) {
    let mut order: Vec<usize> = (0..view.replicas.len()).collect();
    // Those that serve are counted first, so that of too many the broken ones go.
    order.sort_by_key(|index| rank_for_keeping(&view.replicas[*index]));
    let mut kept: FastMap<usize, u32> = FastMap::default();
    let mut leave = Vec::new();
    for index in order {
        let replica = &view.replicas[index];
        let wanted = view.wanted.iter().position(|wanted| {
            wanted.model == replica.replica.model
                && wanted.version == replica.replica.version
                && wanted.hosts_per_replica as usize == replica.replica.hosts.len()
        });
        if let Some(place) = wanted {
            let limit = view.wanted[place].most();
            let count = kept.entry(place).or_default();
            // One that was drained for a host that leaves, or has left, is repaired; any other
            // drained one was meant to go.
            let hosts_go = replica.leaving || replica.broken;
            let was_meant_to_go = replica.is_leaving_service() && !hosts_go;
            if *count < limit && !was_meant_to_go {
                *count += 1;
                continue;
            }
        }
        leave.push(index);
    }
    let mut room = DrainRoom::new(view, &leave);
    let mut held = Vec::new();
    for index in &leave {
        let replica = &view.replicas[*index];
        let Some(step) = leaving_step(replica) else {
            continue;
        };
        let drains = matches!(step, AssemblyStep::Drain { .. });
        if drains && !room.take(&replica.replica.model) {
            held.push(*index);
            continue;
        }
        steps.push(step);
    }
    leave.retain(|index| !held.contains(index));
    leave.sort_unstable();
    for index in leave.into_iter().rev() {
        let retired = view.replicas.remove(index);
        view.retired.push(retired);
    }
    for replica in &view.replicas {
        let in_service = !replica.is_leaving_service() && replica.is_busy();
        if !replica.leaving || !in_service {
            continue;
        }
        steps.push(AssemblyStep::Drain {
            replica: replica.replica.id.clone(),
            reason: DrainReason::HostLeaving,
        });
    }
}

fn rank_for_keeping(view: &ReplicaView<'_>) -> u8 {
    match view.replica.stage {
        _ if view.broken => 3,
        ReplicaStage::Ready => 0,
        ReplicaStage::Loading | ReplicaStage::Formed => 1,
        ReplicaStage::Draining | ReplicaStage::Drained => 2,
    }
}

fn leaving_step(view: &ReplicaView<'_>) -> Option<AssemblyStep> {
    let replica = view.replica.id.clone();
    if !view.is_busy() {
        let reason = if view.replica.stage == ReplicaStage::Drained {
            DissolveReason::Drained
        } else {
            DissolveReason::Unwanted
        };
        return Some(AssemblyStep::Dissolve { replica, reason });
    }
    if view.replica.stage == ReplicaStage::Draining {
        return None;
    }
    Some(AssemblyStep::Drain {
        replica,
        reason: DrainReason::Unwanted,
    })
}
