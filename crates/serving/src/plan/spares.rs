//! Spare hosts: which model each holds, so that it can step in within a fraction of a second.

use domain::{FastMap, ModelName, ReplicaId};

use super::situation::{FabricSituation, HostSituation};
use super::step::PlanStep;
use crate::route::ModelShape;

/// Beginning of the names of one-host groups that only hold a spare's weights in memory.
pub const SPARE_PREFIX: &str = "spare-";

pub(super) fn is_spare_name(replica: &ReplicaId) -> bool {
    replica.as_str().starts_with(SPARE_PREFIX)
}

pub(super) fn warm_spares(
    situation: &FabricSituation<'_>,
    standing: &FastMap<&ModelName, usize>,
    free: &[&HostSituation],
    steps: &mut Vec<PlanStep>,
) {
    let mut spares: Vec<usize> = situation
        .models
        .iter()
        .map(|model| {
            let held = free.iter().filter(|host| host.has_weights(&model.name));
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
        let Some(index) = neediest(situation, standing, &spares) else {
            continue;
        };
        spares[index] += 1;
        steps.push(warm_step(host, &situation.models[index]));
    }
}

fn warm_step(host: &HostSituation, model: &ModelShape) -> PlanStep {
    PlanStep::Warm {
        host: host.id.clone(),
        model: model.name.clone(),
    }
}

/// The model for the next spare: first one whose missing replica it helps to form, then the one
/// with the most hosts at risk for each spare.
fn neediest(
    situation: &FabricSituation<'_>,
    standing: &FastMap<&ModelName, usize>,
    spares: &[usize],
) -> Option<usize> {
    let mut best: Option<(f64, usize)> = None;
    for (index, model) in situation.models.iter().enumerate() {
        let have = standing.get(&model.name).copied().unwrap_or(0);
        let wanted = situation.wanted.get(&model.name).copied().unwrap_or(0);
        let lacking = wanted.saturating_sub(have) * model.size;
        let lacking = lacking.saturating_sub(spares[index]);
        let at_risk = have * model.size;
        let count = |count: usize| f64::from(u32::try_from(count).unwrap_or(u32::MAX));
        let need = if lacking > 0 {
            1000.0 - count(lacking)
        } else {
            // Of two in equal need the one with fewer spares goes first.
            count(at_risk) / count(spares[index] + 1) - count(spares[index]) * 1e-3
        };
        if best.is_none_or(|(most, _)| need > most) {
            best = Some((need, index));
        }
    }
    best.map(|(_, index)| index)
}
