//! Which hosts join which new replicas.

use domain::HostId;

use super::exchange::must_wait;
use super::state::{FabricState, HostState};
use super::step::PlanStep;
use super::tally::ReplicaTally;
use crate::route::ModelConfig;

/// Takes out of `free` the hosts that replicas which end will need beside those of their own that
/// stay.
///
/// A replica ends within seconds. Were its spare given to another one meanwhile, the hosts that stay
/// would be too few for a successor: with one host that left, a model then lost four, and its
/// callers were refused.
pub(super) fn keep_for_successors<'a>(
    ending: &[(&ModelConfig, usize)],
    free: &mut Vec<&'a HostState>,
) -> Vec<&'a HostState> {
    let mut kept: Vec<&HostState> = Vec::new();
    for (model, missing) in ending {
        let mut fitting: Vec<&HostState> = free
            .iter()
            .copied()
            .filter(|host| host.has_weights(&model.name) && !host.is_joining())
            .collect();
        // Too few for a successor, they may serve in another replica.
        if fitting.len() < *missing {
            continue;
        }
        fitting.sort_by_key(|host| !host.is_warm(&model.name));
        fitting.truncate(*missing);
        free.retain(|host| !fitting.iter().any(|taken| taken.id == host.id));
        kept.extend(fitting);
    }
    kept
}

pub(super) fn form_replicas<'a>(
    situation: &FabricState<'a>,
    tally: &mut ReplicaTally<'a>,
    free: &mut Vec<&HostState>,
    steps: &mut Vec<PlanStep>,
) {
    while let Some((model, members)) = next_replica(situation, tally, free) {
        steps.push(PlanStep::Form {
            model: model.name.clone(),
            members,
        });
        tally.form(model);
    }
}

fn next_replica<'a>(
    situation: &FabricState<'a>,
    tally: &ReplicaTally<'a>,
    free: &mut Vec<&HostState>,
) -> Option<(&'a ModelConfig, Vec<HostId>)> {
    for model in tally.by_lack() {
        let Some(reserve) = spares_kept(situation, tally, model) else {
            continue;
        };
        let may_load = situation.may_load_members && tally.is_lacking(model);
        if let Some(members) = take_members(free, model, reserve, may_load) {
            return Some((model, members));
        }
    }
    None
}

/// Hosts that stay free when one more replica of a model is formed; nothing if it should not be.
///
/// Beyond what is wanted one host stays a spare, so that the next loss costs a second. Where a wanted
/// replica of another model lacks hosts, those that are left would serve nobody: they serve this
/// one, unless the fleet has more of it already. A host that has changed its model takes a load of
/// many seconds to change back, so small replicas would else use up one by one what a large one
/// needs at once.
fn spares_kept(
    situation: &FabricState<'_>,
    tally: &ReplicaTally<'_>,
    model: &ModelConfig,
) -> Option<usize> {
    if must_wait(situation, tally, model) {
        return None;
    }
    if tally.is_lacking(model) {
        return Some(0);
    }
    let own = tally.cover(model, 0);
    let mut reserve = 1;
    for other in situation.models {
        if !tally.is_lacking(other) {
            continue;
        }
        if own > tally.cover(other, 0) {
            return None;
        }
        reserve = 0;
    }
    Some(reserve)
}

fn take_members(
    free: &mut Vec<&HostState>,
    model: &ModelConfig,
    reserve: usize,
    may_load: bool,
) -> Option<Vec<HostId>> {
    let fits = |host: &&HostState| {
        if host.has_weights(&model.name) {
            return !host.is_joining();
        }
        may_load && !host.has_any_weights() && !host.is_joining()
    };
    let fitting = free.iter().copied().filter(|host| fits(host)).count();
    if model.size == 0 || fitting < model.size + reserve {
        return None;
    }
    let mut chosen: Vec<&HostState> = free.iter().copied().filter(|host| fits(host)).collect();
    chosen.sort_by(|left, right| {
        let cold = |host: &HostState| (!host.is_warm(&model.name), !host.has_weights(&model.name));
        cold(left).cmp(&cold(right)).then(left.id.cmp(&right.id))
    });
    chosen.truncate(model.size);
    free.retain(|host| !chosen.iter().any(|taken| taken.id == host.id));
    Some(chosen.into_iter().map(|host| host.id.clone()).collect())
}
