//! Staging of a second model on each host, so that any host can join any replica of its fabric
//! domain.
//!
//! With two hosts lost every few seconds and one model per host, a domain soon has three hosts of
//! one model, two of the other and no replica of either. Their clients are refused for the many
//! seconds that a load takes. A host that also has the weights of the other model joins within two
//! seconds.

use domain::{FastMap, FastSet, HostId, ModelName};

use super::state::{FabricState, HostState};
use super::step::PlanStep;

/// Adds a step for each host that should stage a second model: the one that the fewest hosts of the
/// domain have.
pub(super) fn stage_second_models(fabric: &FabricState<'_>, steps: &mut Vec<PlanStep>) {
    if !fabric.may_stage {
        return;
    }
    let mut holders: FastMap<&ModelName, usize> = FastMap::default();
    for model in fabric.models {
        let holding = fabric.hosts.iter();
        let holding = holding.filter(|host| host.has_weights(&model.name));
        holders.insert(&model.name, holding.count());
    }
    let in_steps: FastSet<HostId> = steps.iter().flat_map(PlanStep::hosts).cloned().collect();
    for host in fabric.hosts {
        if !may_stage_on(host) || in_steps.contains(&host.id) {
            continue;
        }
        let missing = fabric
            .models
            .iter()
            .filter(|model| !host.has_weights(&model.name));
        let Some(model) = missing.min_by_key(|model| holders.get(&model.name)) else {
            continue;
        };
        *holders.entry(&model.name).or_default() += 1;
        steps.push(PlanStep::Stage {
            host: host.id.clone(),
            model: model.name.clone(),
        });
    }
}

/// Returns whether a host has a model in memory and no second one staged. If it staged a model
/// before, the load of its first model would remove it again.
fn may_stage_on(host: &HostState) -> bool {
    let Some(loaded) = &host.loaded else {
        return false;
    };
    let usable = host.is_usable();
    let has_second = host.staged.iter().any(|model| model != loaded);
    usable && host.staging.is_none() && !host.is_joining() && !has_second
}
