//! Making broken replicas whole again.

use domain::{FabricId, FastMap, HostId, ReplicaId};

use super::fabric::{ReplicaView, RoundView};
use super::state::{AssemblyStep, DissolveReason};

/// Replaces lost hosts by free ones; where these don't suffice, regroups what losses left over.
///
/// Made for the ordinary day of 18 lost hosts, and for several losses in one fabric domain. With
/// fixed groups each loss takes a whole replica out until its own host is back: one host lost in
/// each of two 16-host replicas strands 30 others. Regrouped, one replica is whole again and 15
/// hosts wait as spares for the next loss.
pub(super) fn plan(view: &mut RoundView<'_>, steps: &mut Vec<AssemblyStep>) {
    let mut short: FastMap<FabricId, Vec<usize>> = FastMap::default();
    for index in repair_order(view) {
        let fabric = view.replicas[index].replica.fabric.clone();
        let free = view.fabrics.get(&fabric).map_or(0, |view| view.free.len());
        let missing = view.replicas[index].lost.len();
        if missing <= free {
            replace_hosts(view, index, steps);
            continue;
        }
        short.entry(fabric).or_default().push(index);
    }
    let mut fabrics: Vec<_> = short.into_iter().collect();
    fabrics.sort();
    for (fabric, indices) in fabrics {
        regroup(view, &fabric, &indices, steps);
    }
    let retired: Vec<ReplicaId> = view
        .retired
        .iter()
        .map(|view| view.replica.id.clone())
        .collect();
    view.replicas
        .retain(|view| !retired.contains(&view.replica.id));
}

/// Broken replicas, the one with the most to win for each weight load first.
///
/// A lost host costs the same whether one or five are missing, so the replica that needs the
/// fewest loads is the cheapest to get back; larger ones go first when stranded hosts weigh much.
fn repair_order(view: &RoundView<'_>) -> Vec<usize> {
    let mut broken: Vec<usize> = Vec::new();
    for (index, replica) in view.replicas.iter().enumerate() {
        if replica.lost.is_empty() {
            continue;
        }
        // One with a leaving host still serves until it is drained.
        if replica.is_busy() {
            continue;
        }
        broken.push(index);
    }
    let value = |replica: &ReplicaView<'_>| {
        let missing = u32::try_from(replica.lost.len()).unwrap_or(u32::MAX);
        view.settings.loss_an_hour(replica.replica.hosts.len()) / f64::from(missing.max(1))
    };
    broken.sort_by(|left, right| {
        let (left, right) = (&view.replicas[*left], &view.replicas[*right]);
        value(right)
            .total_cmp(&value(left))
            .then_with(|| left.replica.id.cmp(&right.replica.id))
    });
    broken
}

fn replace_hosts(view: &mut RoundView<'_>, index: usize, steps: &mut Vec<AssemblyStep>) {
    let replica = view.replicas[index].replica;
    let lost: Vec<HostId> = view.replicas[index].lost.iter().copied().cloned().collect();
    for (rank, host) in replica.hosts.iter().enumerate() {
        if !lost.contains(host) {
            continue;
        }
        let spare = view.take_host(&replica.fabric, &replica.model, &replica.version, rank);
        let Some(spare) = spare else { return };
        steps.push(AssemblyStep::Replace {
            replica: replica.id.clone(),
            lost: host.clone(),
            spare: spare.id.clone(),
        });
    }
}

/// Gives one replica's hosts to others in the same fabric domain, if that makes one whole.
///
/// The donor is a broken replica if there are two, else an extra one. While a whole fabric domain
/// is dark nothing is taken apart: no donor there has a host to give, and when it comes back its
/// replicas are complete as they were.
fn regroup(
    view: &mut RoundView<'_>,
    fabric: &FabricId,
    short: &[usize],
    steps: &mut Vec<AssemblyStep>,
) {
    let free = view.fabrics.get(fabric).map_or(0, |view| view.free.len());
    let Some((first, others)) = short.split_first() else {
        return;
    };
    let need = view.replicas[*first].lost.len().saturating_sub(free);
    let donor = others
        .iter()
        .rev()
        .find(|index| view.replicas[**index].survivors() >= need);
    if let Some(donor) = donor {
        let donor = view.replicas[*donor].clone();
        let replica = donor.replica.id.clone();
        view.retired.push(donor);
        steps.push(AssemblyStep::Dissolve {
            replica,
            reason: DissolveReason::Regrouped,
        });
        return;
    }
    let replica = view.replicas[*first].replica;
    if view.is_spared(&replica.model, &replica.version) {
        return;
    }
    if view.retired_hosts(fabric) >= need {
        return;
    }
    let extras = view.extras(fabric, None);
    if let Some(extra) = extras.into_iter().find(|extra| extra.survivors() >= need) {
        steps.push(view.drain_extra(extra));
    }
}
