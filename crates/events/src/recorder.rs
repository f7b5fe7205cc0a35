//! Event recorder with a bounded ring buffer of the most recent events of one process.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};

use domain::NodeId;

use crate::clock::HybridClock;
use crate::code::EventCode;
use crate::logs::log_event;
use crate::metrics::NodeMetrics;
use crate::record::{EventRecord, EventSubject};

/// Records events in a ring buffer, the log and the metrics. Cheap to clone; clones share the buffer.
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
    buffer: Mutex<RingBuffer>,
}

#[derive(Debug, Default)]
struct RingBuffer {
    next_sequence: u64,
    events: VecDeque<EventRecord>,
}

impl EventRecorder {
    /// Creates a recorder that keeps the most recent `capacity` events.
    #[must_use]
    pub fn new(node: NodeId, capacity: usize) -> Self {
        Self::build(node, capacity, None)
    }

    /// Creates a recorder that also counts its events in `metrics`.
    #[must_use]
    pub fn with_metrics(node: NodeId, capacity: usize, metrics: NodeMetrics) -> Self {
        Self::build(node, capacity, Some(metrics))
    }

    fn build(node: NodeId, capacity: usize, metrics: Option<NodeMetrics>) -> Self {
        let clock = HybridClock::default();
        let buffer = Mutex::new(RingBuffer::default());
        Self {
            inner: Arc::new(RecorderInner {
                node,
                capacity,
                clock,
                metrics,
                buffer,
            }),
        }
    }

    /// Returns the clock of the process, which also supplies the timestamps of messages.
    #[must_use]
    pub fn clock(&self) -> &HybridClock {
        &self.inner.clock
    }

    /// Returns the metrics of the process; none if the recorder was created without them.
    #[must_use]
    pub fn metrics(&self) -> Option<&NodeMetrics> {
        self.inner.metrics.as_ref()
    }

    /// Records an event; `detail` says what happened and may be empty. If the buffer is full, its
    /// oldest event is dropped.
    pub fn record(&self, code: EventCode, subject: EventSubject, detail: impl Into<String>) {
        let event = self.store(code, subject, detail.into());
        log_event(&event);
        if let Some(metrics) = &self.inner.metrics {
            metrics.count_event(code);
        }
    }

    fn store(&self, code: EventCode, subject: EventSubject, detail: String) -> EventRecord {
        let mut buffer = self
            .inner
            .buffer
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        // The timestamp is taken while the lock is held, so that sequence numbers and timestamps are in
        // the same order.
        let timestamp = self.inner.clock.next();
        let sequence = buffer.next_sequence;
        let node = self.inner.node.clone();
        let event = EventRecord {
            node,
            sequence,
            timestamp,
            code,
            subject,
            detail,
        };
        buffer.next_sequence += 1;
        if buffer.events.len() >= self.inner.capacity {
            buffer.events.pop_front();
        }
        buffer.events.push_back(event.clone());
        event
    }

    /// Returns the events in the buffer, oldest first.
    #[must_use]
    pub fn recent(&self) -> Vec<EventRecord> {
        let buffer = self
            .inner
            .buffer
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        buffer.events.iter().cloned().collect()
    }
}
