//! Immutable snapshots of what a node knows: the configuration in force and the targets.
//!
//! The request path only borrows the newest snapshot; it never waits for the store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use domain::record::{CustomerRecord, DrainRecord, ModelRecord, ServiceRecord};
use domain::{
    ConfigRevision, CustomerId, DomainId, FastMap, HealthEvidence, ModelName, RecordSpec,
    ReplicaPlan, ServiceName,
};
use wire::engine::EngineLoad;

use crate::gate::ServiceGate;

/// The configuration in force, at one revision.
#[derive(Debug, Clone, Default)]
pub struct ConfigView {
    /// The revision; 0 before the first record.
    pub revision: ConfigRevision,
    /// Customers by name.
    pub customers: FastMap<CustomerId, CustomerRecord>,
    /// Owners of the API keys, by the lower-case SHA-256 hash of the key.
    pub key_owners: FastMap<String, CustomerId>,
    /// Models by name.
    pub models: FastMap<ModelName, ModelRecord>,
    /// Plain services by name.
    pub services: FastMap<ServiceName, ServiceRecord>,
    /// Operators' drains of hosts and failure domains.
    pub drains: Vec<DrainRecord>,
    /// Table keys of the records that were left out because this program can't interpret them.
    pub unknown: Vec<String>,
    /// Whether the node may serve requests with this configuration.
    pub gate: ServiceGate,
}

impl ConfigView {
    /// Adds a record to the maps of its kind.
    pub fn insert(&mut self, record: RecordSpec) {
        match record {
            RecordSpec::Customer(customer) => {
                for hash in &customer.key_hashes {
                    self.key_owners
                        .insert(hash.to_lowercase(), customer.name.clone());
                }
                self.customers.insert(customer.name.clone(), customer);
            }
            RecordSpec::Model(model) => {
                self.models.insert(model.name.clone(), model);
            }
            RecordSpec::Service(service) => {
                self.services.insert(service.name.clone(), service);
            }
            RecordSpec::Drain(drain) => self.drains.push(drain),
        }
    }
}

/// The targets known to a node.
#[derive(Debug, Clone, Default)]
pub struct TargetView {
    /// Replicas, ordered by id.
    pub replicas: Vec<Arc<ReplicaView>>,
}

/// A replica plan with its current state as known to this node.
#[derive(Debug, Clone)]
pub struct ReplicaView {
    /// The plan as stored in the table.
    pub plan: ReplicaPlan,
    /// Address of the leading host, which receives the replica's requests; none while it is
    /// unknown.
    pub leader: Option<SocketAddr>,
    /// Failure domain of the leading host; none while it is unknown.
    pub domain: Option<DomainId>,
    /// Newest health evidence, with the time at which this node received it.
    pub evidence: Option<(HealthEvidence, Instant)>,
    /// Load reported by the leading host, with the time at which this node received it.
    pub load: Option<(EngineLoad, Instant)>,
    /// Whether a record or the host list drains one of its hosts.
    pub draining: bool,
}

impl ReplicaView {
    /// Whether a request may be sent to the replica now.
    ///
    /// A replica with a missing host accepts a request and never responds to it, so the client
    /// would wait until a timeout. Dispatch therefore requires evidence that all hosts are healthy,
    /// no older than `limit` on this node's own monotonic clock; without evidence nothing is sent.
    #[must_use]
    pub fn dispatchable(&self, now: Instant, limit: Duration) -> bool {
        if self.draining || self.plan.draining || self.leader.is_none() {
            return false;
        }
        let Some((evidence, received)) = &self.evidence else {
            return false;
        };
        let elapsed = now.saturating_duration_since(*received);
        let aged = HealthEvidence {
            age: evidence.age + elapsed,
            ..evidence.clone()
        };
        aged.allows_dispatch(&self.plan, limit)
    }
}
