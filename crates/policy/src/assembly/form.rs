//! Forming replicas that are missing, and extra ones from hosts that are left.

use domain::{FabricId, FastMap, HostId};

use super::fabric::{ReplicaView, RoundView};
use super::state::{AssemblyStep, DissolveReason, WantedReplicas};

/// Forms what is missing, then what is allowed beyond that.
///
/// The largest replicas come first: where sizes of 4 and 16 share a fabric domain, one small
/// replica in the wrong place leaves 12 hosts that can't form a large one.
pub(super) fn plan(view: &mut RoundView<'_>, steps: &mut Vec<AssemblyStep>) {
    let mut wanted: Vec<&WantedReplicas> = view.wanted.iter().collect();
    wanted.sort_by_key(|wanted| std::cmp::Reverse(wanted.hosts_per_replica));
    for wanted in &wanted {
        form_missing(view, wanted, steps);
    }
    for wanted in &wanted {
        form_extra(view, wanted, steps);
    }
}

fn is_of(view: &ReplicaView<'_>, wanted: &WantedReplicas) -> bool {
    view.replica.model == wanted.model && view.replica.version == wanted.version
}

fn form_missing(view: &mut RoundView<'_>, wanted: &WantedReplicas, steps: &mut Vec<AssemblyStep>) {
    let whole = view
        .replicas
        .iter()
        .filter(|replica| is_of(replica, wanted) && !is_stuck(view, replica));
    let missing = (wanted.replicas as usize).saturating_sub(whole.count());
    let present = view
        .replicas
        .iter()
        .filter(|replica| is_of(replica, wanted))
        .count();
    for made in 0..missing {
        let Some(fabric) = best_fabric(view, wanted) else {
            drain_extras(view, wanted, steps);
            return;
        };
        // The new one stands in for a broken one whose lost hosts nobody can replace; the broken
        // one's other hosts become spares, or else they would idle until the last one is back.
        let allowed = wanted.most() as usize;
        if present + made >= allowed
            && let Some(stuck) = take_stuck(view, wanted)
        {
            steps.push(stuck);
        }
        form(view, wanted, &fabric, steps);
    }
}

/// Extra replicas give their hosts to one that is missing: in the fabric domain where the fewest
/// have to, and none while hosts enough are on their way there.
fn drain_extras(view: &mut RoundView<'_>, wanted: &WantedReplicas, steps: &mut Vec<AssemblyStep>) {
    let size = wanted.hosts_per_replica as usize;
    let mut best: Option<(usize, FabricId)> = None;
    for (fabric, state) in &view.fabrics {
        let coming = view.retired_hosts(fabric);
        if state.free.len() + coming >= size {
            return;
        }
        let missing = size - state.free.len() - coming;
        let extras = view.extras(fabric, Some(&wanted.model));
        let mut hosts = 0;
        let mut drains = 0;
        for extra in &extras {
            if hosts >= missing {
                break;
            }
            hosts += extra.replica.hosts.len();
            drains += 1;
        }
        let fewer = best.as_ref().is_none_or(|(least, _)| drains < *least);
        if hosts >= missing && fewer {
            best = Some((drains, (*fabric).clone()));
        }
    }
    let Some((drains, fabric)) = best else {
        return;
    };
    for extra in view
        .extras(&fabric, Some(&wanted.model))
        .into_iter()
        .take(drains)
    {
        steps.push(view.drain_extra(extra));
    }
}

fn form_extra(view: &mut RoundView<'_>, wanted: &WantedReplicas, steps: &mut Vec<AssemblyStep>) {
    let formed = steps.iter().filter(|step| {
        matches!(step, AssemblyStep::Form { model, version, .. }
            if *model == wanted.model && *version == wanted.version)
    });
    let present = view
        .replicas
        .iter()
        .filter(|replica| is_of(replica, wanted))
        .count()
        + formed.count();
    let room = (wanted.most() as usize).saturating_sub(present);
    for _ in 0..room {
        let Some(fabric) = best_extra_fabric(view, wanted) else {
            return;
        };
        form(view, wanted, &fabric, steps);
    }
}

/// Whether a replica's lost hosts can't be replaced within its fabric domain, now or as soon as
/// the replicas that are being drained there have given their hosts back.
fn is_stuck(view: &RoundView<'_>, replica: &ReplicaView<'_>) -> bool {
    let free = view
        .fabrics
        .get(&replica.replica.fabric)
        .map_or(0, |fabric| fabric.free.len());
    let free = free + view.retired_hosts(&replica.replica.fabric);
    replica.broken && replica.lost.len() > free && !replica.lost.is_empty()
}

fn take_stuck(view: &mut RoundView<'_>, wanted: &WantedReplicas) -> Option<AssemblyStep> {
    let position = view
        .replicas
        .iter()
        .position(|replica| is_of(replica, wanted) && is_stuck(view, replica))?;
    let stuck = view.replicas.remove(position);
    Some(AssemblyStep::Dissolve {
        replica: stuck.replica.id.clone(),
        reason: DissolveReason::Regrouped,
    })
}

/// The fabric domain with the most hosts that are worth more in an extra replica than as spares.
fn best_extra_fabric(view: &RoundView<'_>, wanted: &WantedReplicas) -> Option<FabricId> {
    let size = wanted.hosts_per_replica as usize;
    let mut best: Option<(usize, &FabricId)> = None;
    for (fabric, state) in &view.fabrics {
        let free = state.free.len();
        if free < size || best.is_some_and(|(most, _)| free <= most) {
            continue;
        }
        let needing = view.needing(fabric);
        if view.settings.keeps_idle(needing, free, size) {
            continue;
        }
        best = Some((free, fabric));
    }
    best.map(|(_, fabric)| fabric.clone())
}

/// The fabric domain in which a replica costs least.
///
/// It should leave no useless remainder for the largest size, keep a spare for the next loss, and
/// not put all replicas of a model into one failure domain, whose loss would end its service.
fn best_fabric(view: &RoundView<'_>, wanted: &WantedReplicas) -> Option<FabricId> {
    let size = wanted.hosts_per_replica as usize;
    let largest = view
        .wanted
        .iter()
        .map(|wanted| wanted.hosts_per_replica as usize)
        .max()?;
    let in_domain = replicas_by_domain(view, wanted);
    let mut best: Option<(FabricCost, &FabricId)> = None;
    for (fabric, state) in &view.fabrics {
        let free = state.free.len();
        if free < size || size == 0 {
            continue;
        }
        let broken_large = free / largest - (free - size) / largest;
        let broken_large = if size == largest { 0 } else { broken_large };
        let cost = FabricCost {
            broken_large,
            in_domain: state
                .domain
                .and_then(|domain| in_domain.get(domain))
                .copied()
                .unwrap_or(0),
            without_spare: free == size,
            left: free - size,
        };
        if best.as_ref().is_none_or(|(least, _)| cost < *least) {
            best = Some((cost, fabric));
        }
    }
    best.map(|(_, fabric)| fabric.clone())
}

/// Cost of a fabric domain; the first difference decides.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct FabricCost {
    broken_large: usize,
    without_spare: bool,
    in_domain: usize,
    left: usize,
}

fn replicas_by_domain<'a>(
    view: &RoundView<'a>,
    wanted: &WantedReplicas,
) -> FastMap<&'a domain::DomainId, usize> {
    let mut counts = FastMap::default();
    for replica in &view.replicas {
        if !is_of(replica, wanted) {
            continue;
        }
        let domain = view
            .fabrics
            .get(&replica.replica.fabric)
            .and_then(|fabric| fabric.domain);
        if let Some(domain) = domain {
            *counts.entry(domain).or_default() += 1;
        }
    }
    counts
}

fn form(
    view: &mut RoundView<'_>,
    wanted: &WantedReplicas,
    fabric: &FabricId,
    steps: &mut Vec<AssemblyStep>,
) {
    let mut hosts: Vec<HostId> = Vec::new();
    for rank in 0..wanted.hosts_per_replica as usize {
        let host = view.take_host(fabric, &wanted.model, &wanted.version, rank);
        let Some(host) = host else { return };
        hosts.push(host.id.clone());
    }
    steps.push(AssemblyStep::Form {
        model: wanted.model.clone(),
        version: wanted.version.clone(),
        fabric: fabric.clone(),
        hosts,
    });
}
