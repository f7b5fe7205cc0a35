//! Giving up replicas of one model for one of another that has less for its share.

use domain::{FastSet, HostId, ModelName};

use super::fate::KnownReplica;
use super::spares::is_spare_name;
use super::state::{FabricState, HostLifecycle, HostState};
use super::step::PlanStep;
use super::tally::ReplicaTally;
use crate::route::ModelConfig;

/// A replica that serves and could be given up.
pub(super) struct ServingReplica<'a> {
    pub known: KnownReplica<'a>,
    pub model: &'a ModelConfig,
}

impl ServingReplica<'_> {
    /// How many of its hosts could join a replica of a model without a load.
    fn fitting(&self, model: &ModelName) -> usize {
        let members = self.known.members.values();
        members.filter(|host| host.has_weights(model)).count()
    }

    fn yield_step(&self) -> Option<PlanStep> {
        let head = self.known.members.get(&0)?;
        Some(PlanStep::Yield {
            head: head.id.clone(),
            replica: self.known.replica.clone(),
            epoch: self.known.epoch,
        })
    }
}

/// Gives up replicas where a model that the domain lacks would get the hosts that it misses, and the
/// model that gives has at least as much for its share afterwards.
///
/// Without it a domain whose large replica lost a host has nearly all hosts of a replica idle beside
/// small replicas, until an empty host has loaded.
pub(super) fn yield_replicas(
    situation: &FabricState<'_>,
    tally: &ReplicaTally<'_>,
    serving: &[ServingReplica<'_>],
    steps: &mut Vec<PlanStep>,
) {
    // One lack a plan: what is given up for it changes what the others may take.
    let mut lacking = tally.by_lack().into_iter();
    let Some(recipient) = lacking.find(|model| tally.is_lacking(model)) else {
        return;
    };
    let missing = recipient
        .size
        .saturating_sub(coming(situation, serving, recipient));
    if missing == 0 {
        return;
    }
    for donor in situation.models {
        if donor.name == recipient.name {
            continue;
        }
        let Some(given) = pick_donors(serving, donor, recipient, missing) else {
            continue;
        };
        if situation.cover_without(donor, given.len()) < tally.cover(recipient, 1) {
            continue;
        }
        steps.extend(given.into_iter().filter_map(ServingReplica::yield_step));
        return;
    }
}

/// Hosts that could join a replica of a model and don't serve: idle ones, and those that form or end a
/// replica or have an order.
fn coming(
    situation: &FabricState<'_>,
    serving: &[ServingReplica<'_>],
    model: &ModelConfig,
) -> usize {
    let members = serving.iter();
    let members = members.flat_map(|replica| replica.known.members.values());
    let busy: FastSet<&HostId> = members.map(|host| &host.id).collect();
    let hosts = situation.hosts.iter();
    let coming = hosts
        .filter(|host| may_serve(host) && !busy.contains(&host.id))
        // A host that joins names no model until its weights are in memory.
        .filter(|host| host.has_weights(&model.name) || joins_replica(host));
    coming.count()
}

fn joins_replica(host: &HostState) -> bool {
    let membership = host.membership.as_ref();
    let is_spare = membership.is_some_and(|membership| is_spare_name(&membership.replica));
    host.is_joining() && !is_spare
}

fn may_serve(host: &HostState) -> bool {
    host.answers() && host.lifecycle == HostLifecycle::Active
}

/// Replicas of `donor` whose hosts are enough for what is missing, as few as can be.
fn pick_donors<'a, 'b>(
    serving: &'b [ServingReplica<'a>],
    donor: &ModelConfig,
    recipient: &ModelConfig,
    missing: usize,
) -> Option<Vec<&'b ServingReplica<'a>>> {
    let own = serving
        .iter()
        .filter(|replica| replica.model.name == donor.name);
    let mut own: Vec<&ServingReplica> = own.collect();
    own.sort_by_key(|replica| std::cmp::Reverse(replica.fitting(&recipient.name)));
    let mut given = Vec::new();
    let mut found = 0;
    for replica in own {
        if found >= missing {
            break;
        }
        found += replica.fitting(&recipient.name);
        given.push(replica);
    }
    (found >= missing).then_some(given)
}

/// Whether hosts of the domain are wanted by a model that has less than `model`, even with a replica
/// more: what they formed now would be given up again.
pub(super) fn must_wait(
    situation: &FabricState<'_>,
    tally: &ReplicaTally<'_>,
    model: &ModelConfig,
) -> bool {
    let own = tally.cover(model, 0);
    situation.models.iter().any(|other| {
        other.name != model.name
            && tally.is_lacking(other)
            && own >= tally.cover(other, 1)
            && is_possible(situation, tally, other)
    })
}

/// Whether the hosts that have a model's weights are enough for one replica more of it.
fn is_possible(situation: &FabricState<'_>, tally: &ReplicaTally<'_>, model: &ModelConfig) -> bool {
    let hosts = situation.hosts.iter();
    let fitting = hosts
        .filter(|host| may_serve(host) && host.has_weights(&model.name))
        .filter(|host| !tally.holds(&host.id, &model.name));
    fitting.count() >= model.size
}
