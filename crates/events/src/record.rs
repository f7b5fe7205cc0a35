//! Event records and their subjects.

use domain::{CustomerId, HostId, LeaseName, NodeId, ReplicaId, RequestId};
use serde::{Deserialize, Serialize};

use crate::clock::HybridTimestamp;
use crate::code::EventCode;

/// Entities that an event relates to; any combination may be set.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventSubject {
    /// Request that the event concerns.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<RequestId>,
    /// Customer whose request it is.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub customer: Option<CustomerId>,
    /// Replica that the event concerns.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub replica: Option<ReplicaId>,
    /// Host that the event concerns.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub host: Option<HostId>,
    /// Lease that the event concerns.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lease: Option<LeaseName>,
}

impl EventSubject {
    /// Creates a subject with only the request set.
    #[must_use]
    pub fn request(request: &RequestId) -> Self {
        Self {
            request: Some(request.clone()),
            ..Self::default()
        }
    }

    /// Creates a subject with only the replica set.
    #[must_use]
    pub fn replica(replica: &ReplicaId) -> Self {
        Self {
            replica: Some(replica.clone()),
            ..Self::default()
        }
    }

    /// Creates a subject with only the host set.
    #[must_use]
    pub fn host(host: &HostId) -> Self {
        Self {
            host: Some(host.clone()),
            ..Self::default()
        }
    }

    /// Creates a subject with only the lease set.
    #[must_use]
    pub fn lease(lease: &LeaseName) -> Self {
        Self {
            lease: Some(lease.clone()),
            ..Self::default()
        }
    }

    /// Returns all fields by name, including those that are not set.
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

    /// Sets the customer and keeps the other fields.
    #[must_use]
    pub fn with_customer(mut self, customer: &CustomerId) -> Self {
        self.customer = Some(customer.clone());
        self
    }

    /// Sets the replica and keeps the other fields.
    #[must_use]
    pub fn with_replica(mut self, replica: &ReplicaId) -> Self {
        self.replica = Some(replica.clone());
        self
    }

    /// Sets the host and keeps the other fields.
    #[must_use]
    pub fn with_host(mut self, host: &HostId) -> Self {
        self.host = Some(host.clone());
        self
    }
}

/// An event as kept in the ring buffer and returned by the admin API.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventRecord {
    /// Node whose process recorded the event.
    pub node: NodeId,
    /// Sequence number among the events of the process, starting at 0. A gap means that the ring
    /// buffer dropped events.
    pub sequence: u64,
    /// Time of the event, on the hybrid logical clock of the process.
    #[serde(rename = "stamp")]
    pub timestamp: HybridTimestamp,
    /// Kind of the event, which determines its severity.
    pub code: EventCode,
    /// Entities that the event relates to.
    pub subject: EventSubject,
    /// Description for operators, which may be empty.
    pub detail: String,
}
