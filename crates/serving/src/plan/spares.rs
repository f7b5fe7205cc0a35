//! Spare hosts: which model each holds, so that it can step in within a fraction of a second.

use domain::{ModelName, ReplicaId};

use super::state::{FabricState, HostState};
use super::step::PlanStep;
use super::tally::ReplicaTally;
use crate::hashing::stable_hash;
use crate::route::ModelConfig;

/// Beginning of the names of one-host groups that only hold a spare's weights in memory.
pub const SPARE_PREFIX: &str = "spare-";

/// Beginning of the names of the groups of one host that load a model. A host does not say which
/// model it loads, so the name does: otherwise each new host would load what the last one does.
#[must_use]
pub fn spare_prefix(model: &ModelName) -> String {
    let mark = stable_hash(&model.as_str()) & 0xffff_ffff;
    format!("{SPARE_PREFIX}{mark:08x}-")
}

pub(super) fn is_spare_name(replica: &ReplicaId) -> bool {
    replica.as_str().starts_with(SPARE_PREFIX)
}

/// Whether a host that joins nothing else is loading a model.
fn is_loading(host: &HostState, model: &ModelName) -> bool {
    let membership = host.membership.as_ref();
    let name = membership.map_or("", |membership| membership.replica.as_str());
    host.is_joining() && name.starts_with(&spare_prefix(model))
}

pub(super) fn warm_spares(
    situation: &FabricState<'_>,
    tally: &ReplicaTally<'_>,
    free: &[&HostState],
    steps: &mut Vec<PlanStep>,
) {
    let mut spares: Vec<usize> = situation
        .models
        .iter()
        .map(|model| {
            let held = free
                .iter()
                .filter(|host| host.has_weights(&model.name) || is_loading(host, &model.name));
            held.count()
        })
        .collect();
    for host in free {
        // One that has a model in memory joins at once, or soon where another one is staged.
        let is_warm = situation
            .models
            .iter()
            .any(|model| host.is_warm(&model.name));
        if host.is_joining() || is_warm {
            continue;
        }
        let owned = situation
            .models
            .iter()
            .find(|model| host.has_weights(&model.name));
        if let Some(model) = owned {
            steps.push(warm_step(host, model));
            continue;
        }
        let Some(index) = neediest(situation, tally, &spares) else {
            continue;
        };
        spares[index] += 1;
        steps.push(warm_step(host, &situation.models[index]));
    }
}

fn warm_step(host: &HostState, model: &ModelConfig) -> PlanStep {
    PlanStep::Warm {
        host: host.id.clone(),
        model: model.name.clone(),
    }
}

/// The model for the next spare: the one whose next replica here is the nearest, where the fleet
/// has little of it, counting the time that the missing hosts take to load.
///
/// Where the domain has all that it should, the one with the most hosts at risk for each spare.
fn neediest(
    situation: &FabricState<'_>,
    tally: &ReplicaTally<'_>,
    spares: &[usize],
) -> Option<usize> {
    let mut best: Option<((bool, f64), usize)> = None;
    for (index, model) in situation.models.iter().enumerate() {
        let have = tally.standing(&model.name);
        let lacks = tally.is_lacking(model) && spares[index] < model.size;
        let need = if lacks {
            let missing = to_f64(model.size - spares[index]) * model.load_time.as_secs_f64();
            // One replica more, so that a model of which nothing stands is still compared by time.
            1.0 / (missing.max(1.0) * situation.cover(model, 1).hosts_per_share())
        } else {
            // Of two in equal need the one with fewer spares goes first.
            to_f64(have * model.size) / to_f64(spares[index] + 1) - to_f64(spares[index]) * 1e-3
        };
        let rank = (lacks, need);
        if best.is_none_or(|(most, _)| rank > most) {
            best = Some((rank, index));
        }
    }
    best.map(|(_, index)| index)
}

fn to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
