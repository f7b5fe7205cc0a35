//! A bounded ring of the newest events of one process.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};

use domain::NodeId;

use crate::clock::HybridClock;
use crate::code::EventCode;
use crate::logs::log_event;
use crate::metrics::NodeMetrics;
use crate::record::{EventRecord, EventSubject};

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
    pub fn with_metrics(node: NodeId, capacity: usize, metrics: NodeMetrics) -> Self {
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
    pub fn record(&self, code: EventCode, subject: EventSubject, detail: impl Into<String>) {
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
        let timestamp = self.inner.clock.next();
        let sequence = ring.next;
        let node = self.inner.node.clone();
        let event = EventRecord {
            node,
            sequence,
            timestamp,
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
