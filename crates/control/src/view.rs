//! What a node knows: the configuration in force and the targets, as immutable snapshots.
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

/// The configuration in force at one revision.
#[derive(Debug, Clone, Default)]
pub struct ConfigView {
    /// The revision; 0 before the first record.
    pub revision: ConfigRevision,
    /// Customers by name.
    pub customers: FastMap<CustomerId, CustomerRecord>,
    /// Customers by the SHA-256 hash of a bearer key, in lower case.
    pub key_owners: FastMap<String, CustomerId>,
    /// Models by name.
    pub models: FastMap<ModelName, ModelRecord>,
    /// Plain services by name.
    pub services: FastMap<ServiceName, ServiceRecord>,
    /// Drains.
    pub drains: Vec<DrainRecord>,
    /// Keys of records whose schema version this program does not know.
    pub unknown: Vec<String>,
    /// Whether the node may serve with it.
    pub gate: ServiceGate,
}

impl ConfigView {
    /// Adds a record.
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

/// The targets that a node knows.
#[derive(Debug, Clone, Default)]
pub struct TargetView {
    /// Replicas, in the order of their ids.
    pub replicas: Vec<Arc<ReplicaView>>,
}

/// A replica with what is known of it.
#[derive(Debug, Clone)]
pub struct ReplicaView {
    /// The plan as the table has it.
    pub plan: ReplicaPlan,
    /// Address of the host that answers for all; none while it is unknown.
    pub leader: Option<SocketAddr>,
    /// Failure domain of its hosts; none while it is unknown.
    pub domain: Option<DomainId>,
    /// Newest evidence of wholeness, with the moment at which this node got it.
    pub evidence: Option<(HealthEvidence, Instant)>,
    /// Load that the leading host reported, with the moment at which this node got it.
    pub load: Option<(EngineLoad, Instant)>,
    /// Whether a record, the host list or an engine wants it to take no new work.
    pub draining: bool,
}

impl ReplicaView {
    /// Whether a request may be sent to it: the dispatch gate.
    ///
    /// A replica with a host missing takes a request and never answers it; the caller then waits
    /// until a timeout. So dispatch needs evidence that all its hosts are there, no older than
    /// `limit` on this node's own monotonic clock, and without evidence nothing is sent.
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
