//! Rebalancing: replicas of one model are given up for one of a model with less coverage.

use domain::{FastSet, HostId, ModelName};

use super::counts::ReplicaCounts;
use super::replica_status::ObservedReplica;
use super::spares::is_spare_name;
use super::state::{FabricState, HostState};
use super::step::PlanStep;
use crate::route::ModelConfig;

/// A serving replica that could be given up.
pub(super) struct ServingReplica<'a> {
    pub observed: ObservedReplica<'a>,
    pub model: &'a ModelConfig,
}

impl ServingReplica<'_> {
    /// Returns how many of its hosts could join a replica of `model` without loading from the
    /// store.
    fn count_eligible(&self, model: &ModelName) -> usize {
        let members = self.observed.members.values();
        members.filter(|host| host.has_weights(model)).count()
    }

    fn yield_step(&self) -> Option<PlanStep> {
        let head = self.observed.members.get(&0)?;
        Some(PlanStep::Yield {
            head: head.id.clone(),
            replica: self.observed.replica.clone(),
            epoch: self.observed.epoch,
        })
    }
}

/// Gives up replicas of one model if that frees the hosts missing for a needed replica of another.
///
/// The donor must keep at least the coverage that the recipient gets. Without rebalancing, a domain
/// whose large replica lost a host would leave nearly all hosts of that replica idle next to small
/// replicas until an empty host has loaded the model.
pub(super) fn yield_replicas(
    fabric: &FabricState<'_>,
    counts: &ReplicaCounts<'_>,
    serving: &[ServingReplica<'_>],
    steps: &mut Vec<PlanStep>,
) {
    // One recipient per plan, since what is given up for it changes what others may take.
    let mut needy = counts.by_need().into_iter();
    let Some(recipient) = needy.find(|model| counts.needs_replica(model)) else {
        return;
    };
    let missing = recipient
        .size
        .saturating_sub(count_available(fabric, serving, recipient));
    if missing == 0 {
        return;
    }
    for donor in fabric.models {
        if donor.name == recipient.name {
            continue;
        }
        let Some(released) = choose_replicas(serving, donor, recipient, missing) else {
            continue;
        };
        if fabric.coverage_without(donor, released.len()) < counts.coverage(recipient, 1) {
            continue;
        }
        steps.extend(released.into_iter().filter_map(ServingReplica::yield_step));
        return;
    }
}

/// Counts the hosts that could join a replica of a model and do not serve: idle ones, members of
/// replicas that form or close, and hosts with a pending order.
fn count_available(
    fabric: &FabricState<'_>,
    serving: &[ServingReplica<'_>],
    model: &ModelConfig,
) -> usize {
    let members = serving.iter();
    let members = members.flat_map(|replica| replica.observed.members.values());
    let serving_hosts: FastSet<&HostId> = members.map(|host| &host.id).collect();
    let hosts = fabric.hosts.iter();
    let available = hosts
        .filter(|host| can_serve(host) && !serving_hosts.contains(&host.id))
        // A joining host reports no model until its weights are in memory.
        .filter(|host| host.has_weights(&model.name) || joins_replica(host));
    available.count()
}

/// Returns whether a host is joining a replica other than a spare's one-host group.
fn joins_replica(host: &HostState) -> bool {
    let membership = host.membership.as_ref();
    let is_spare = membership.is_some_and(|membership| is_spare_name(&membership.replica));
    host.is_joining() && !is_spare
}

fn can_serve(host: &HostState) -> bool {
    host.responds() && host.is_available()
}

/// Chooses the replicas of `donor` to give up so that `missing` hosts become available, preferring
/// those with the most eligible hosts.
fn choose_replicas<'a, 'b>(
    serving: &'b [ServingReplica<'a>],
    donor: &ModelConfig,
    recipient: &ModelConfig,
    missing: usize,
) -> Option<Vec<&'b ServingReplica<'a>>> {
    let own = serving
        .iter()
        .filter(|replica| replica.model.name == donor.name)
        // It takes no requests now, and serves again once the evacuation ends.
        .filter(|replica| !replica.observed.is_evacuated());
    let mut own: Vec<&ServingReplica> = own.collect();
    own.sort_by_key(|replica| std::cmp::Reverse(replica.count_eligible(&recipient.name)));
    let mut released = Vec::new();
    let mut found = 0;
    for replica in own {
        if found >= missing {
            break;
        }
        found += replica.count_eligible(&recipient.name);
        released.push(replica);
    }
    (found >= missing).then_some(released)
}

/// Returns whether the hosts should be left to a model that needs a replica and would still have at
/// most the coverage of `model` after getting one. Replicas formed for `model` now would soon be
/// given up again.
pub(super) fn must_defer(
    fabric: &FabricState<'_>,
    counts: &ReplicaCounts<'_>,
    model: &ModelConfig,
) -> bool {
    let own = counts.coverage(model, 0);
    fabric.models.iter().any(|other| {
        other.name != model.name
            && counts.needs_replica(other)
            && own >= counts.coverage(other, 1)
            && can_form_another(fabric, counts, other)
    })
}

/// Returns whether enough hosts have the weights of a model for one more replica of it.
fn can_form_another(
    fabric: &FabricState<'_>,
    counts: &ReplicaCounts<'_>,
    model: &ModelConfig,
) -> bool {
    let hosts = fabric.hosts.iter();
    let eligible = hosts
        .filter(|host| can_serve(host) && host.has_weights(&model.name))
        .filter(|host| !counts.is_member_of(&host.id, &model.name));
    eligible.count() >= model.size
}
