//! Orders that bring engines to the state in the table.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Instant;

use domain::{FabricFleet, HostId, ReplicaPlan};
use futures::future::join_all;
use target::{EngineClient, OrderOutcome};
use wire::engine::{EngineAddress, EngineAssignment, EngineOrder, EngineState};

use super::{AssemblySettings, HostHealth};
use crate::directory::HostDirectory;
use crate::lease::LeaseGrant;

/// One order to one host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostOrder {
    /// The host that gets the order.
    pub host: HostId,
    /// Address of its engine.
    pub address: SocketAddr,
    /// What the engine must run; none empties it.
    pub assignment: Option<EngineAssignment>,
}

/// Orders for the hosts whose report differs from the table.
///
/// Only hosts that reported get orders: a silent one would only delay the round. At most
/// `loads_at_once` replicas load weights concurrently, because the weight store's bandwidth is
/// shared: many concurrent loads would all be slow, and no replica would be ready early.
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
    /// Empty hosts that run another replica because of a late order.
    misassigned: Vec<HostOrder>,
    /// Start hosts in their ranks.
    assign: Vec<HostOrder>,
    /// Whether any host loads weights, or will once it gets its order.
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
            // It is emptied first and gets its assignment after the cooldown.
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

/// Orders that empty hosts which run something without belonging to a replica.
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
        if !runs || fleet.replica_of(host).is_some() || leader_may_respond(host, health, hosts) {
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

/// Whether the leader of this host's old replica may still respond for it.
///
/// Entry nodes learn of a dissolved replica with a delay. While its leader runs, it accepts their
/// requests; if another host were emptied first, those requests would hang. The leader is therefore
/// emptied first (specification `assembly`, 8 steps), and a silent leader counts as running until
/// it is lost. A leader that runs a newer incarnation accepts no requests for the old one.
fn leader_may_respond(
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
        ranks.push(EngineAddress {
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

/// Sends the orders if the lease outlasts their timeout; returns the hosts that refused one because
/// of its old fencing token.
pub async fn send_orders<E: EngineClient>(
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
        // A lost response needs no handling: the next round asks the host what it runs.
        let outcome = engine.order(order.address, &body, timeout).await;
        let fenced = matches!(outcome, Ok(OrderOutcome::Fenced(_)));
        fenced.then(|| order.host.clone())
    });
    join_all(sends).await.into_iter().flatten().collect()
}
