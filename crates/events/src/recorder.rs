//! A bounded ring of the newest events of one process.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::SystemTime;

use domain::{CustomerId, HostId, LeaseName, NodeId, ReplicaId, RequestId};
use serde::{Deserialize, Serialize};

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

    /// The same event, also about a customer.
    #[must_use]
    pub fn and_customer(mut self, customer: &CustomerId) -> Self {
        self.customer = Some(customer.clone());
        self
    }

    /// The same event, also about a replica.
    #[must_use]
    pub fn and_replica(mut self, replica: &ReplicaId) -> Self {
        self.replica = Some(replica.clone());
        self
    }

    /// The same event, also about a host.
    #[must_use]
    pub fn and_host(mut self, host: &HostId) -> Self {
        self.host = Some(host.clone());
        self
    }
}

/// One event.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventRecord {
    /// Process that recorded it.
    pub node: NodeId,
    /// Position in that process's ring, from 0 at its start.
    pub sequence: u64,
    /// Milliseconds since 1970 on that process's clock; only for people.
    pub time_ms: u64,
    /// Kind.
    pub code: EventCode,
    /// What it is about.
    pub subject: EventSubject,
    /// Particulars in plain words.
    pub detail: String,
}

/// Records events into the ring and the log. Cheap to clone; clones share the ring.
#[derive(Debug, Clone)]
pub struct EventRecorder {
    inner: Arc<RecorderInner>,
}

#[derive(Debug)]
struct RecorderInner {
    node: NodeId,
    capacity: usize,
    ring: Mutex<EventRing>,
}

#[derive(Debug, Default)]
struct EventRing {
    next: u64,
    events: VecDeque<EventRecord>,
}

impl EventRecorder {
    /// A recorder that keeps the newest `capacity` events.
    #[must_use]
    pub fn new(node: NodeId, capacity: usize) -> Self {
        let ring = Mutex::new(EventRing::default());
        Self {
            inner: Arc::new(RecorderInner {
                node,
                capacity,
                ring,
            }),
        }
    }

    /// Records an event.
    pub fn note(&self, code: EventCode, subject: EventSubject, detail: impl Into<String>) {
        let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let time_ms = since_epoch.map_or(0, |time| u64::try_from(time.as_millis()).unwrap_or(0));
        let mut ring = self
            .inner
            .ring
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let sequence = ring.next;
        ring.next += 1;
        if ring.events.len() == self.inner.capacity {
            ring.events.pop_front();
        }
        ring.events.push_back(EventRecord {
            node: self.inner.node.clone(),
            sequence,
            time_ms,
            code,
            subject,
            detail: detail.into(),
        });
    }

    /// The events in the ring, oldest first.
    #[must_use]
    pub fn recent(&self) -> Vec<EventRecord> {
        let ring = self
            .inner
            .ring
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        ring.events.iter().cloned().collect()
    }
}
