//! A bounded ring of the newest events of one process.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};

use domain::{CustomerId, HostId, LeaseName, NodeId, ReplicaId, RequestId};
use serde::{Deserialize, Serialize};

use crate::clock::{HybridClock, HybridStamp};
use crate::code::EventCode;
use crate::logs::log_event;
use crate::metrics::NodeMetrics;

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
    pub fn pairs(&self) -> [(&'static str, Option<&str>); 5] {
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
    /// Position among that process's events, from 0 at its start; a gap means that the ring
    /// dropped events.
    pub sequence: u64,
    /// When.
    pub stamp: HybridStamp,
    /// Kind.
    pub code: EventCode,
    /// What it is about.
    pub subject: EventSubject,
    /// Particulars in plain words.
    pub detail: String,
}

/// Records events into the ring, the log and the metrics. Cheap to clone; clones share the ring.
#[derive(Debug, Clone)]
pub struct EventRecorder {
    inner: Arc<RecorderInner>,
}

#[derive(Debug)]
struct RecorderInner {
    node: NodeId,
    capacity: usize,
    clock: HybridClock,
    metrics: Option<NodeMetrics>,
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
        Self::build(node, capacity, None)
    }

    /// A recorder that also counts its events.
    #[must_use]
    pub fn counted(node: NodeId, capacity: usize, metrics: NodeMetrics) -> Self {
        Self::build(node, capacity, Some(metrics))
    }

    fn build(node: NodeId, capacity: usize, metrics: Option<NodeMetrics>) -> Self {
        let clock = HybridClock::default();
        let ring = Mutex::new(EventRing::default());
        Self {
            inner: Arc::new(RecorderInner {
                node,
                capacity,
                clock,
                metrics,
                ring,
            }),
        }
    }

    /// The process's clock, for stamps that travel with messages.
    #[must_use]
    pub fn clock(&self) -> &HybridClock {
        &self.inner.clock
    }

    /// The process's metrics, where it has any.
    #[must_use]
    pub fn metrics(&self) -> Option<&NodeMetrics> {
        self.inner.metrics.as_ref()
    }

    /// Records an event.
    pub fn note(&self, code: EventCode, subject: EventSubject, detail: impl Into<String>) {
        let event = self.store(code, subject, detail.into());
        log_event(&event);
        if let Some(metrics) = &self.inner.metrics {
            metrics.count_event(code);
        }
    }

    fn store(&self, code: EventCode, subject: EventSubject, detail: String) -> EventRecord {
        let mut ring = self
            .inner
            .ring
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        // The stamp is taken under the lock, so that sequence and stamp rise together.
        let stamp = self.inner.clock.next();
        let sequence = ring.next;
        let node = self.inner.node.clone();
        let event = EventRecord {
            node,
            sequence,
            stamp,
            code,
            subject,
            detail,
        };
        ring.next += 1;
        if ring.events.len() >= self.inner.capacity {
            ring.events.pop_front();
        }
        ring.events.push_back(event.clone());
        event
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
