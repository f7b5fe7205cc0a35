//! The orders that bring engines to what the table says.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Instant;

use domain::{FabricFleet, HostId, ReplicaPlan};
use futures::future::join_all;
use target::{EnginePort, OrderOutcome};
use wire::engine::{EngineAssignment, EngineOrder, EngineState, RankAddress};

use super::{AssemblySettings, HostHealth};
use crate::directory::HostDirectory;
use crate::lease::LeaseGrant;

/// One order to one host; none as assignment empties it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostOrder {
    /// The host.
    pub host: HostId,
    /// Its engine's address.
    pub address: SocketAddr,
    /// What it shall run.
    pub assignment: Option<EngineAssignment>,
}

/// Orders for the hosts that reported something else than the table says.
///
/// Only hosts that reported are ordered: a silent one would only hold up the round. At most
/// `loads_at_once` replicas load weights at the same time, because the weight store's rate is
/// shared: many loads at once would all be slow, and none would serve early.
#[must_use]
pub fn required_orders(
    fleet: &FabricFleet,
    hosts: &BTreeMap<HostId, HostHealth>,
    directory: &HostDirectory,
    loads_at_once: usize,
) -> Vec<HostOrder> {
    let mut orders = clear_orders(fleet, hosts, directory);
    let mut loading = 0;
    for plan in &fleet.plans {
        let Some(assignments) = plan_assignments(plan, directory) else {
            continue;
        };
        let ReplicaOrders {
            misassigned,
            assign,
            loading_weights,
        } = replica_orders(plan, assignments, hosts);
        orders.extend(misassigned);
        if !loading_weights || loading >= loads_at_once {
            continue;
        }
        loading += 1;
        orders.extend(assign);
    }
    orders
}

/// Orders for the hosts of one replica.
#[derive(Debug, Default)]
struct ReplicaOrders {
    /// They empty hosts that a late order took elsewhere.
    misassigned: Vec<HostOrder>,
    /// They make hosts run their ranks.
    assign: Vec<HostOrder>,
    /// Whether any host loads weights, or will once it is ordered.
    loading_weights: bool,
}

fn replica_orders(
    plan: &ReplicaPlan,
    assignments: Vec<RankAssignment>,
    hosts: &BTreeMap<HostId, HostHealth>,
) -> ReplicaOrders {
    let mut orders = ReplicaOrders::default();
    for (host, address, assignment) in assignments {
        let Some(health) = hosts.get(&host) else {
            continue;
        };
        let Some(state) = &health.state else {
            continue;
        };
        if state.assignment.as_ref() == Some(&assignment) {
            orders.loading_weights |= !state.ready;
            continue;
        }
        if runs_other_replica(state, plan) {
            // It is emptied and rests before it comes back.
            let assignment = None;
            orders.misassigned.push(HostOrder {
                host,
                address,
                assignment,
            });
            continue;
        }
        if health
            .previous_replica
            .as_ref()
            .is_some_and(|replica| *replica != plan.id)
        {
            continue;
        }
        let assignment = Some(assignment);
        orders.assign.push(HostOrder {
            host,
            address,
            assignment,
        });
    }
    orders.loading_weights |= !orders.assign.is_empty();
    orders
}

/// Empties hosts that run something though no replica names them.
fn clear_orders(
    fleet: &FabricFleet,
    hosts: &BTreeMap<HostId, HostHealth>,
    directory: &HostDirectory,
) -> Vec<HostOrder> {
    let mut orders = Vec::new();
    for (host, health) in hosts {
        let runs = health
            .state
            .as_ref()
            .is_some_and(|state| state.assignment.is_some());
        if !runs || fleet.replica_of(host).is_some() || leader_may_answer(host, health, hosts) {
            continue;
        }
        let Some(entry) = directory.hosts.get(host) else {
            continue;
        };
        orders.push(HostOrder {
            host: host.clone(),
            address: entry.address,
            assignment: None,
        });
    }
    orders
}

fn runs_other_replica(state: &EngineState, plan: &ReplicaPlan) -> bool {
    state
        .assignment
        .as_ref()
        .is_some_and(|assignment| assignment.replica != plan.id)
}

/// Whether the host that leads this host's old replica may still answer for it.
///
/// Entries learn of a dissolved replica after a moment. As long as its leader runs, it takes their
/// requests; were another host emptied first, those requests would hang on it. So the leader goes
/// first (specification `assembly`, 8 steps), and a silent one counts as running until it is lost.
/// A leader that went on in a newer incarnation takes none of the old one's requests.
fn leader_may_answer(
    host: &HostId,
    health: &HostHealth,
    hosts: &BTreeMap<HostId, HostHealth>,
) -> bool {
    let assignment = health
        .state
        .as_ref()
        .and_then(|state| state.assignment.as_ref());
    let Some(assignment) = assignment else {
        return false;
    };
    let Some(leader) = assignment
        .hosts
        .first()
        .filter(|leader| leader.host != *host)
    else {
        return false;
    };
    let Some(leading) = hosts.get(&leader.host) else {
        return false;
    };
    match &leading.state {
        Some(state) => state.assignment.as_ref().is_some_and(|running| {
            running.replica == assignment.replica && running.incarnation == assignment.incarnation
        }),
        None => !leading.lost,
    }
}

type RankAssignment = (HostId, SocketAddr, EngineAssignment);

fn plan_assignments(plan: &ReplicaPlan, directory: &HostDirectory) -> Option<Vec<RankAssignment>> {
    let mut ranks = Vec::with_capacity(plan.hosts.len());
    for host in &plan.hosts {
        let entry = directory.hosts.get(host)?;
        ranks.push(RankAddress {
            host: host.clone(),
            address: entry.address,
        });
    }
    let mut assignments = Vec::with_capacity(ranks.len());
    for (rank, member) in (0_u32..).zip(&ranks) {
        let assignment = EngineAssignment {
            replica: plan.id.clone(),
            incarnation: plan.incarnation,
            epoch: plan.epoch,
            hosts: ranks.clone(),
            rank,
            model: plan.model.clone(),
            version: plan.version.clone(),
            adapters: plan.adapters.clone(),
            role: plan.role,
        };
        assignments.push((member.host.clone(), member.address, assignment));
    }
    Some(assignments)
}

/// Sends orders while the lease lasts longer than they may take; returns the hosts that refused
/// one for its old fencing number.
pub async fn send_orders<E: EnginePort>(
    engine: &E,
    grant: &LeaseGrant,
    orders: &[HostOrder],
    settings: AssemblySettings,
) -> Vec<HostId> {
    let timeout = settings.order_timeout();
    if grant.remaining(Instant::now()) <= timeout {
        return Vec::new();
    }
    let sends = orders.iter().map(|order| async move {
        let body = EngineOrder {
            epoch: grant.epoch,
            assignment: order.assignment.clone(),
        };
        // A lost answer needs no care: the next round asks the host what it runs.
        let outcome = engine.order(order.address, &body, timeout).await;
        let fenced = matches!(outcome, Ok(OrderOutcome::Fenced(_)));
        fenced.then(|| order.host.clone())
    });
    join_all(sends).await.into_iter().flatten().collect()
}
