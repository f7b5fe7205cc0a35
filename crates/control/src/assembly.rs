//! Assembling replicas from free hosts, as one conditional transaction each.

use std::collections::BTreeMap;
use std::time::Duration;

use domain::host::SlotAssignment;
use domain::replica::ReplicaRole;
use domain::{
    FabricId, FastMap, HostId, HostSlot, IncarnationNumber, LeaseEpoch, ReplicaId, ReplicaPlan,
    RowVersion, WriteToken,
};
use platform::{
    CommitOutcome, HostEntry, HostListPort, RowExpectation, StoreError, TableStore, WriteBatch,
    keys, settled_commit,
};
use target::EnginePort;
use wire::engine::{EngineAssignment, EngineOrder, EngineState, RankAddress};

use crate::fleet::read_plans;
use crate::view::ConfigView;

/// Longest wait for an engine's answer to an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends of one transaction before its outcome is left to the next round.
const COMMIT_TRIES: u32 = 3;

/// One round: forms missing replicas and brings every engine to its plan.
///
/// # Errors
///
/// [`StoreError`] when the table or the host list gives no answer.
pub async fn assemble_round<T: TableStore, L: HostListPort, E: EnginePort>(
    table: &T,
    list: &L,
    engine: &E,
    config: &ConfigView,
    epoch: LeaseEpoch,
    token_seed: &str,
) -> Result<(), StoreError> {
    let hosts: BTreeMap<HostId, HostEntry> = list
        .list()
        .await?
        .hosts
        .into_iter()
        .map(|host| (host.host.clone(), host))
        .collect();
    let mut slots = read_slots(table).await?;
    let mut plans = read_plans(table).await?;
    let states = probe_states(engine, &hosts).await;
    for model in config.models.values() {
        for version in &model.versions {
            let have = plans
                .iter()
                .filter(|plan| plan.model == model.name && plan.version == version.version)
                .count();
            for _ in have..version.replicas as usize {
                let size = model.hosts_per_replica as usize;
                let Some((fabric, members)) = free_hosts(&hosts, &slots, &states, size) else {
                    continue;
                };
                let number = plans.len();
                let Ok(id) = format!("{}.{token_seed}.{number}", model.name).parse::<ReplicaId>()
                else {
                    continue;
                };
                let plan = ReplicaPlan {
                    id,
                    incarnation: IncarnationNumber(1),
                    epoch,
                    fabric,
                    hosts: members,
                    model: model.name.clone(),
                    version: version.version.clone(),
                    adapters: model.adapters.clone(),
                    role: ReplicaRole::Both,
                    draining: false,
                };
                let formed = form_replica(table, &plan, &slots, &states).await?;
                if !formed {
                    continue;
                }
                for host in &plan.hosts {
                    slots.remove(host);
                }
                plans.push(plan);
                slots = read_slots(table).await?;
            }
        }
    }
    for plan in &plans {
        order_hosts(engine, plan, &hosts, &states).await;
    }
    Ok(())
}

type SlotRows = FastMap<HostId, (HostSlot, RowVersion)>;
type HostStates = FastMap<HostId, EngineState>;

async fn read_slots<T: TableStore>(table: &T) -> Result<SlotRows, StoreError> {
    let mut slots = SlotRows::default();
    for row in table.scan(keys::HOSTS).await? {
        let name = row.key.trim_start_matches(keys::HOSTS);
        let (Ok(host), Ok(slot)) = (name.parse(), serde_json::from_value(row.value)) else {
            continue;
        };
        slots.insert(host, (slot, row.version));
    }
    Ok(slots)
}

async fn probe_states<E: EnginePort>(
    engine: &E,
    hosts: &BTreeMap<HostId, HostEntry>,
) -> HostStates {
    let probes = hosts
        .values()
        .map(|host| engine.state(host.address, ORDER_TIMEOUT));
    let mut states = HostStates::default();
    for state in futures::future::join_all(probes)
        .await
        .into_iter()
        .flatten()
    {
        states.insert(state.host.clone(), state);
    }
    states
}

fn free_hosts(
    hosts: &BTreeMap<HostId, HostEntry>,
    slots: &SlotRows,
    states: &HostStates,
    size: usize,
) -> Option<(FabricId, Vec<HostId>)> {
    let mut fabrics: BTreeMap<FabricId, Vec<HostId>> = BTreeMap::new();
    for (host, entry) in hosts {
        let assigned = slots
            .get(host)
            .is_some_and(|(slot, _)| slot.assignment.is_some());
        let present = states
            .get(host)
            .is_some_and(|state| state.assignment.is_none());
        if assigned || !present || entry.leaving {
            continue;
        }
        fabrics
            .entry(entry.fabric.clone())
            .or_default()
            .push(host.clone());
    }
    for (fabric, mut free) in fabrics {
        if free.len() < size {
            continue;
        }
        free.truncate(size);
        return Some((fabric, free));
    }
    None
}

async fn form_replica<T: TableStore>(
    table: &T,
    plan: &ReplicaPlan,
    slots: &SlotRows,
    states: &HostStates,
) -> Result<bool, StoreError> {
    let malformed = |error: serde_json::Error| StoreError::Malformed(error.to_string());
    let token: WriteToken = format!("form.{}", plan.id)
        .parse()
        .map_err(|error: domain::IdError| StoreError::Malformed(error.to_string()))?;
    let value = serde_json::to_value(plan).map_err(malformed)?;
    let mut batch =
        WriteBatch::new(token).put(keys::replica_key(&plan.id), RowExpectation::Absent, value);
    for host in &plan.hosts {
        let (slot, expect) = match slots.get(host) {
            Some((slot, version)) => (slot.clone(), RowExpectation::Version(*version)),
            None => (HostSlot::default(), RowExpectation::Absent),
        };
        let boot = states.get(host).map(|state| state.boot).unwrap_or_default();
        let assignment = SlotAssignment {
            replica: plan.id.clone(),
            incarnation: plan.incarnation,
            boot,
        };
        let Ok(slot) = slot.assign(assignment, plan.epoch) else {
            return Ok(false);
        };
        let value = serde_json::to_value(&slot).map_err(malformed)?;
        batch = batch.put(keys::host_key(host), expect, value);
    }
    let outcome = settled_commit(table, &batch, COMMIT_TRIES).await?;
    Ok(matches!(outcome, CommitOutcome::Committed(_)))
}

async fn order_hosts<E: EnginePort>(
    engine: &E,
    plan: &ReplicaPlan,
    hosts: &BTreeMap<HostId, HostEntry>,
    states: &HostStates,
) {
    let mut ranks = Vec::new();
    for host in &plan.hosts {
        let Some(entry) = hosts.get(host) else { return };
        ranks.push(RankAddress {
            host: host.clone(),
            address: entry.address,
        });
    }
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
        let current = states
            .get(&member.host)
            .and_then(|state| state.assignment.as_ref());
        if current == Some(&assignment) {
            continue;
        }
        let order = EngineOrder {
            epoch: plan.epoch,
            assignment: Some(assignment),
        };
        let _ = engine.order(member.address, &order, ORDER_TIMEOUT).await;
    }
}
