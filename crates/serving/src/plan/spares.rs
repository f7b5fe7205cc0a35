//! Spare hosts: which model each has in memory, so that it can replace a member within a fraction
//! of a second.

use domain::{ModelName, ReplicaId};

use super::counts::ReplicaCounts;
use super::state::{FabricState, HostState};
use super::step::PlanStep;
use crate::hashing::stable_hash;
use crate::route::ModelConfig;

/// Name prefix of the one-host groups that spares form to load a model into memory.
pub const SPARE_PREFIX: &str = "spare-";

/// Returns the name prefix of the spare groups that load a model.
///
/// A host does not report which model it is loading, so the name of its group tells. Otherwise each
/// new host would load the same model as the one before.
#[must_use]
pub fn spare_prefix(model: &ModelName) -> String {
    let hash = stable_hash(&model.as_str()) & 0xffff_ffff;
    format!("{SPARE_PREFIX}{hash:08x}-")
}

pub(super) fn is_spare_name(replica: &ReplicaId) -> bool {
    replica.as_str().starts_with(SPARE_PREFIX)
}

/// Returns whether a host is loading a model as a spare.
fn is_loading(host: &HostState, model: &ModelName) -> bool {
    let membership = host.membership.as_ref();
    let name = membership.map_or("", |membership| membership.replica.as_str());
    host.is_joining() && name.starts_with(&spare_prefix(model))
}

/// Adds a step for each free host that should load a model into memory.
pub(super) fn warm_spares(
    fabric: &FabricState<'_>,
    counts: &ReplicaCounts<'_>,
    free: &[&HostState],
    steps: &mut Vec<PlanStep>,
) {
    let mut spares: Vec<usize> = fabric
        .models
        .iter()
        .map(|model| {
            let holders = free
                .iter()
                .filter(|host| host.has_weights(&model.name) || is_loading(host, &model.name));
            holders.count()
        })
        .collect();
    for host in free {
        // A host with a model in memory can join a replica of it at once, and soon one of a model
        // that it has staged.
        let is_warm = fabric.models.iter().any(|model| host.is_warm(&model.name));
        if host.is_joining() || is_warm {
            continue;
        }
        let staged = fabric
            .models
            .iter()
            .find(|model| host.has_weights(&model.name));
        if let Some(model) = staged {
            steps.push(warm_step(host, model));
            continue;
        }
        let Some(index) = neediest_model(fabric, counts, &spares) else {
            continue;
        };
        spares[index] += 1;
        steps.push(warm_step(host, &fabric.models[index]));
    }
}

fn warm_step(host: &HostState, model: &ModelConfig) -> PlanStep {
    PlanStep::Warm {
        host: host.id.clone(),
        model: model.name.clone(),
    }
}

/// Returns the index of the model that the next spare should load.
///
/// Models that need a replica in the domain come first. Among them the model wins whose missing
/// hosts load soonest, weighted towards low coverage in the fleet. If the domain has all desired
/// replicas, the model with the most serving hosts per spare wins.
fn neediest_model(
    fabric: &FabricState<'_>,
    counts: &ReplicaCounts<'_>,
    spares: &[usize],
) -> Option<usize> {
    let mut best: Option<((bool, f64), usize)> = None;
    for (index, model) in fabric.models.iter().enumerate() {
        let current = counts.current(&model.name);
        let needs_replica = counts.needs_replica(model) && spares[index] < model.size;
        let need = if needs_replica {
            let missing = to_f64(model.size - spares[index]) * model.load_time.as_secs_f64();
            // Coverage with one more replica, so that models without any are compared by time.
            1.0 / (missing.max(1.0) * fabric.coverage(model, 1).hosts_per_share())
        } else {
            // Of two models in equal need the one with fewer spares comes first.
            to_f64(current * model.size) / to_f64(spares[index] + 1) - to_f64(spares[index]) * 1e-3
        };
        let rank = (needs_replica, need);
        if best.is_none_or(|(most, _)| rank > most) {
            best = Some((rank, index));
        }
    }
    best.map(|(_, index)| index)
}

fn to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
