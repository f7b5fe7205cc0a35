//! Selection of the hosts that form new replicas.

use domain::HostId;

use super::counts::ReplicaCounts;
use super::rebalance::must_defer;
use super::state::{FabricState, HostState};
use super::step::PlanStep;
use crate::route::ModelConfig;

/// Removes from `free` the hosts that closing replicas need to replace their departing members, and
/// returns them.
///
/// A replica closes within seconds. If its spares joined another replica meanwhile, its remaining
/// hosts would be too few for a successor: with one departed host, a model lost all four, and its
/// clients were refused.
pub(super) fn reserve_for_successors<'a>(
    closing: &[(&ModelConfig, usize)],
    free: &mut Vec<&'a HostState>,
) -> Vec<&'a HostState> {
    let mut reserved: Vec<&HostState> = Vec::new();
    for (model, missing) in closing {
        let mut eligible: Vec<&HostState> = free
            .iter()
            .copied()
            .filter(|host| host.has_weights(&model.name) && !host.is_joining())
            .collect();
        // If there are too few for a successor, they may serve in another replica.
        if eligible.len() < *missing {
            continue;
        }
        eligible.sort_by_key(|host| !host.is_warm(&model.name));
        eligible.truncate(*missing);
        free.retain(|host| !eligible.iter().any(|taken| taken.id == host.id));
        reserved.extend(eligible);
    }
    reserved
}

/// Forms new replicas from free hosts, by descending need of their models, and removes those hosts
/// from `free`.
pub(super) fn form_replicas<'a>(
    fabric: &FabricState<'a>,
    counts: &mut ReplicaCounts<'a>,
    free: &mut Vec<&HostState>,
    steps: &mut Vec<PlanStep>,
) {
    while let Some((model, members)) = next_replica(fabric, counts, free) {
        steps.push(PlanStep::Form {
            model: model.name.clone(),
            members,
        });
        counts.add_formed(model);
    }
}

fn next_replica<'a>(
    fabric: &FabricState<'a>,
    counts: &ReplicaCounts<'a>,
    free: &mut Vec<&HostState>,
) -> Option<(&'a ModelConfig, Vec<HostId>)> {
    for model in counts.by_need() {
        let Some(spares) = required_spares(fabric, counts, model) else {
            continue;
        };
        let may_load = fabric.may_load_members && counts.needs_replica(model);
        if let Some(members) = take_members(free, model, spares, may_load) {
            return Some((model, members));
        }
    }
    None
}

/// Returns how many hosts must stay free if one more replica of a model is formed, or `None` if it
/// should not be formed.
///
/// If the desired replicas exist, one host stays free as a spare, so that the next loss is repaired
/// within a second. If another model needs a replica but lacks hosts for it, the remaining hosts
/// would serve no requests, so they may all serve this model, unless its coverage in the fleet is
/// already higher. Otherwise small replicas would use up one by one the hosts that a large replica
/// needs together, and a host needs many seconds to load its former model again.
fn required_spares(
    fabric: &FabricState<'_>,
    counts: &ReplicaCounts<'_>,
    model: &ModelConfig,
) -> Option<usize> {
    if must_defer(fabric, counts, model) {
        return None;
    }
    if counts.needs_replica(model) {
        return Some(0);
    }
    let own = counts.coverage(model, 0);
    let mut spares = 1;
    for other in fabric.models {
        if !counts.needs_replica(other) {
            continue;
        }
        if own > counts.coverage(other, 0) {
            return None;
        }
        spares = 0;
    }
    Some(spares)
}

/// Removes the members of a new replica from `free` and returns them, or returns `None` if fewer
/// than `spares` eligible hosts would be left. Hosts that can serve soonest are preferred.
fn take_members(
    free: &mut Vec<&HostState>,
    model: &ModelConfig,
    spares: usize,
    may_load: bool,
) -> Option<Vec<HostId>> {
    let is_eligible = |host: &&HostState| {
        if host.has_weights(&model.name) {
            return !host.is_joining();
        }
        may_load && !host.has_any_weights() && !host.is_joining()
    };
    let eligible = free
        .iter()
        .copied()
        .filter(|host| is_eligible(host))
        .count();
    if model.size == 0 || eligible < model.size + spares {
        return None;
    }
    let mut chosen: Vec<&HostState> = free
        .iter()
        .copied()
        .filter(|host| is_eligible(host))
        .collect();
    chosen.sort_by(|left, right| {
        let load_cost =
            |host: &HostState| (!host.is_warm(&model.name), !host.has_weights(&model.name));
        load_cost(left)
            .cmp(&load_cost(right))
            .then(left.id.cmp(&right.id))
    });
    chosen.truncate(model.size);
    free.retain(|host| !chosen.iter().any(|taken| taken.id == host.id));
    Some(chosen.into_iter().map(|host| host.id.clone()).collect())
}
