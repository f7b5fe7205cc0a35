//! One event, and what it is about.

use domain::{CustomerId, HostId, LeaseName, NodeId, ReplicaId, RequestId};
use serde::{Deserialize, Serialize};

use crate::clock::HybridTimestamp;
use crate::code::EventCode;

/// What an event is about.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventSubject {
    /// The request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<RequestId>,
    /// The customer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub customer: Option<CustomerId>,
    /// The replica.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub replica: Option<ReplicaId>,
    /// The host.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub host: Option<HostId>,
    /// The lease.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lease: Option<LeaseName>,
}

impl EventSubject {
    /// An event about a request.
    #[must_use]
    pub fn request(request: &RequestId) -> Self {
        Self {
            request: Some(request.clone()),
            ..Self::default()
        }
    }

    /// An event about a replica.
    #[must_use]
    pub fn replica(replica: &ReplicaId) -> Self {
        Self {
            replica: Some(replica.clone()),
            ..Self::default()
        }
    }

    /// An event about a host.
    #[must_use]
    pub fn host(host: &HostId) -> Self {
        Self {
            host: Some(host.clone()),
            ..Self::default()
        }
    }

    /// An event about a lease.
    #[must_use]
    pub fn lease(lease: &LeaseName) -> Self {
        Self {
            lease: Some(lease.clone()),
            ..Self::default()
        }
    }

    /// Every part with its name.
    #[must_use]
    pub fn fields(&self) -> [(&'static str, Option<&str>); 5] {
        [
            ("request", self.request.as_ref().map(RequestId::as_str)),
            ("customer", self.customer.as_ref().map(CustomerId::as_str)),
            ("replica", self.replica.as_ref().map(ReplicaId::as_str)),
            ("host", self.host.as_ref().map(HostId::as_str)),
            ("lease", self.lease.as_ref().map(LeaseName::as_str)),
        ]
    }

    /// The same event, also about a customer.
    #[must_use]
    pub fn with_customer(mut self, customer: &CustomerId) -> Self {
        self.customer = Some(customer.clone());
        self
    }

    /// The same event, also about a replica.
    #[must_use]
    pub fn with_replica(mut self, replica: &ReplicaId) -> Self {
        self.replica = Some(replica.clone());
        self
    }

    /// The same event, also about a host.
    #[must_use]
    pub fn with_host(mut self, host: &HostId) -> Self {
        self.host = Some(host.clone());
        self
    }
}

/// One event.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventRecord {
    /// Process that recorded it.
    pub node: NodeId,
    /// Position among that process's events, from 0 at its start; a gap means that the ring
    /// dropped events.
    pub sequence: u64,
    /// When.
    #[serde(rename = "stamp")]
    pub timestamp: HybridTimestamp,
    /// Kind.
    pub code: EventCode,
    /// What it is about.
    pub subject: EventSubject,
    /// Particulars in plain words.
    pub detail: String,
}
