//! Fault injection at the stand-ins of a system, and reading their state.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use domain::ReplicaId;
use http::Method;
use serde::de::DeserializeOwned;
use web::client::{JsonResponse, json_request};
use web::read_body;
use wire::engine::EngineState;
use wire::service::LookupBody;

use super::{TestStack, WAIT_TIMEOUT};
use crate::faults::{FAULTS_PATH, FaultPlan, FaultReport};

/// Maximum size of a node's metrics text.
const MAX_METRICS_BYTES: usize = 4 << 20;

impl TestStack {
    async fn get<A: DeserializeOwned>(&self, address: SocketAddr, path: &str) -> A {
        let response: JsonResponse<A> = self
            .client
            .json(Method::GET, address, path, None::<&()>, WAIT_TIMEOUT)
            .await
            .unwrap_or_else(|error| panic!("GET {path}: {error}"));
        response.value
    }

    /// Returns a node's metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Returns an error if the admin listener does not respond.
    pub async fn metrics(&self, admin: SocketAddr) -> eyre::Result<String> {
        let request = json_request(Method::GET, admin, "/metrics", None::<&()>)?;
        let response = self.client.send(admin, request, WAIT_TIMEOUT).await?;
        let body = read_body(response.into_body(), MAX_METRICS_BYTES).await?;
        Ok(String::from_utf8(body.to_vec())?)
    }

    /// Replaces the fault plan of the stand-in at an address; the default plan removes all faults.
    pub async fn set_faults(&self, address: SocketAddr, plan: &FaultPlan) {
        let response: JsonResponse<FaultReport> = self
            .client
            .json(Method::POST, address, FAULTS_PATH, Some(plan), WAIT_TIMEOUT)
            .await
            .unwrap_or_else(|error| panic!("can't set faults: {error}"));
        assert!(response.status.is_success(), "the fault plan was rejected");
    }

    /// Returns the fault plan and the request counts of the stand-in at an address.
    pub async fn fault_report(&self, address: SocketAddr) -> FaultReport {
        self.get(address, FAULTS_PATH).await
    }

    /// Replaces the fault plan of the table.
    pub async fn set_table_faults(&self, plan: &FaultPlan) {
        self.set_faults(self.table.address, plan).await;
    }

    /// Replaces the fault plan of the object store.
    pub async fn set_objects_faults(&self, plan: &FaultPlan) {
        self.set_faults(self.objects.address, plan).await;
    }

    /// Replaces the fault plan of the host list.
    pub async fn set_hostlist_faults(&self, plan: &FaultPlan) {
        self.set_faults(self.hostlist.address, plan).await;
    }

    /// Replaces the fault plan of every instance of the service.
    pub async fn set_service_faults(&self, plan: &FaultPlan) {
        for service in &self.services {
            self.set_faults(service.address, plan).await;
        }
    }

    /// Replaces the fault plan of one engine.
    pub async fn set_engine_faults(&self, engine: usize, plan: &FaultPlan) {
        self.set_faults(self.engines[engine].address, plan).await;
    }

    /// Returns the number of executions by idempotency key, over all instances and customers.
    pub async fn executions(&self) -> BTreeMap<String, u64> {
        let entries: Vec<LookupBody> = self.get(self.services[0].address, "/executions").await;
        let mut executions = BTreeMap::new();
        for entry in entries {
            *executions.entry(entry.key).or_default() += entry.executions;
        }
        executions
    }

    /// Returns the state that an engine reports.
    pub async fn engine_state(&self, engine: usize) -> EngineState {
        self.get(self.engines[engine].address, "/state").await
    }

    /// Returns the indices of each replica's engines by rank, as the engines report them. Engines
    /// that do not respond are left out.
    pub async fn replica_engines(&self) -> BTreeMap<ReplicaId, Vec<usize>> {
        let mut ranks: BTreeMap<ReplicaId, Vec<(u32, usize)>> = BTreeMap::new();
        for (index, engine) in self.engines.iter().enumerate() {
            let response: Result<JsonResponse<EngineState>, _> = self
                .client
                .json(
                    Method::GET,
                    engine.address,
                    "/state",
                    None::<&()>,
                    super::PROBE_TIMEOUT,
                )
                .await;
            let Ok(JsonResponse { value, .. }) = response else {
                continue;
            };
            let Some(assignment) = value.assignment else {
                continue;
            };
            ranks
                .entry(assignment.replica)
                .or_default()
                .push((assignment.rank, index));
        }
        let mut replicas = BTreeMap::new();
        for (replica, mut members) in ranks {
            members.sort_unstable();
            let engines = members.into_iter().map(|(_, index)| index).collect();
            replicas.insert(replica, engines);
        }
        replicas
    }
}
