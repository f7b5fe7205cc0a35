//! Following the replicas and their hosts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use domain::{FastMap, HostId, ReplicaPlan, WholenessEvidence};
use futures::future::join_all;
use platform::{HostEntry, HostListPort, StoreError, TableStore, keys};
use target::EnginePort;
use tokio::sync::watch;
use wire::engine::EngineState;

use crate::view::{ReplicaView, TargetView};

/// Longest wait for a host's report.
const PROBE_TIMEOUT: Duration = Duration::from_millis(800);

/// Probes every replica's hosts and publishes what they report; runs until it is dropped.
pub async fn follow_fleet<T: TableStore, L: HostListPort, E: EnginePort>(
    table: T,
    list: L,
    engine: E,
    views: watch::Sender<Arc<TargetView>>,
    period: Duration,
) {
    let mut hosts: FastMap<HostId, HostEntry> = FastMap::default();
    let mut plans: Vec<ReplicaPlan> = Vec::new();
    loop {
        if let Ok(listing) = list.list().await {
            hosts = listing
                .hosts
                .into_iter()
                .map(|host| (host.host.clone(), host))
                .collect();
        }
        if let Ok(read) = read_plans(&table).await {
            plans = read;
        }
        let probes = plans
            .iter()
            .map(|plan| probe_replica(&engine, plan, &hosts));
        let replicas = join_all(probes).await.into_iter().map(Arc::new).collect();
        views.send_replace(Arc::new(TargetView { replicas }));
        tokio::time::sleep(period).await;
    }
}

/// Reads every replica's plan.
///
/// # Errors
///
/// [`StoreError`].
pub async fn read_plans<T: TableStore>(table: &T) -> Result<Vec<ReplicaPlan>, StoreError> {
    let mut plans = Vec::new();
    for row in table.scan(keys::REPLICAS).await? {
        let Ok(plan) = serde_json::from_value(row.value) else {
            continue;
        };
        plans.push(plan);
    }
    Ok(plans)
}

async fn probe_replica<E: EnginePort>(
    engine: &E,
    plan: &ReplicaPlan,
    hosts: &FastMap<HostId, HostEntry>,
) -> ReplicaView {
    let started = Instant::now();
    let probes = plan.hosts.iter().map(|host| {
        let address = hosts.get(host).map(|entry| entry.address);
        probe_host(engine, address)
    });
    let states = join_all(probes).await;
    let leading = plan.leader().and_then(|host| hosts.get(host));
    let mut evidence = WholenessEvidence {
        replica: plan.id.clone(),
        incarnation: plan.incarnation,
        hosts: Vec::new(),
        leaving: false,
        age: started.elapsed(),
    };
    for (host, state) in plan.hosts.iter().zip(&states) {
        let Some(state) = state else { continue };
        let Some(assignment) = &state.assignment else {
            continue;
        };
        let current = assignment.replica == plan.id
            && assignment.incarnation == plan.incarnation
            && state.ready
            && state.host == *host;
        if !current {
            continue;
        }
        evidence.hosts.push(host.clone());
        evidence.leaving |= state.leaving;
    }
    let listed_leaving = plan
        .hosts
        .iter()
        .any(|host| hosts.get(host).is_some_and(|entry| entry.leaving));
    let load = states
        .first()
        .and_then(|state| state.as_ref().map(|state| state.load));
    ReplicaView {
        plan: plan.clone(),
        leader: leading.map(|entry| entry.address),
        domain: leading.map(|entry| entry.domain.clone()),
        evidence: Some((evidence, Instant::now())),
        load: load.map(|load| (load, Instant::now())),
        draining: listed_leaving,
    }
}

async fn probe_host<E: EnginePort>(engine: &E, address: Option<SocketAddr>) -> Option<EngineState> {
    engine.state(address?, PROBE_TIMEOUT).await.ok()
}
