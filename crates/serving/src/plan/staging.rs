//! A second model on each host, so that any host can step in for any replica of its fabric domain.
//!
//! With two hosts lost every few seconds and one model a host, a domain soon has three hosts of one
//! model, two of the other, and no replica of either: they wait for a load of many seconds while
//! callers are refused. A host that also holds the other model's weights joins within two seconds.

use domain::{FastMap, FastSet, HostId, ModelName};

use super::state::{FabricState, HostState};
use super::step::PlanStep;

/// Stages on each host the model that the fewest hosts of its domain could serve otherwise.
pub(super) fn stage_second(situation: &FabricState<'_>, steps: &mut Vec<PlanStep>) {
    if !situation.may_stage {
        return;
    }
    let mut holders: FastMap<&ModelName, usize> = FastMap::default();
    for model in situation.models {
        let held = situation.hosts.iter();
        let held = held.filter(|host| host.has_weights(&model.name));
        holders.insert(&model.name, held.count());
    }
    let taken: FastSet<HostId> = steps.iter().flat_map(PlanStep::hosts).cloned().collect();
    for host in situation.hosts {
        if !may_stage_on(host) || taken.contains(&host.id) {
            continue;
        }
        let lacking = situation
            .models
            .iter()
            .filter(|model| !host.has_weights(&model.name));
        let Some(model) = lacking.min_by_key(|model| holders.get(&model.name)) else {
            continue;
        };
        *holders.entry(&model.name).or_default() += 1;
        steps.push(PlanStep::Stage {
            host: host.id.clone(),
            model: model.name.clone(),
        });
    }
}

/// Whether a host has the model of its replica in memory and no second one yet. Staging any sooner
/// would be undone by the load of its first model.
fn may_stage_on(host: &HostState) -> bool {
    let Some(loaded) = &host.loaded else {
        return false;
    };
    let usable = host.is_usable();
    let has_second = host.staged.iter().any(|model| model != loaded);
    usable && host.staging.is_none() && !host.is_joining() && !has_second
}
