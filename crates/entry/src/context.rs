//! What the request path works with.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use bon::Builder;
use control::{ConfigView, TargetView};
use domain::{AttemptId, NodeId, RequestId};
use events::EventRecorder;
use tokio::sync::watch;

use crate::dispatch::RequestDispatcher;
use crate::settings::EntrySettings;
use crate::shutdown::ShutdownHandle;
use crate::token::TokenSigner;

/// Bytes of a node's name in its requests' ids, which must stay short enough for attempts.
const MAX_NODE_ID_BYTES: usize = 40;

/// What the request path works with. Cheap to clone.
#[derive(Debug, Clone, Builder)]
pub struct EntryContext<E> {
    /// The configuration in force.
    pub config: watch::Receiver<Arc<ConfigView>>,
    /// The targets.
    pub targets: watch::Receiver<Arc<TargetView>>,
    /// Engines.
    pub engine: E,
    /// Events.
    pub recorder: EventRecorder,
    /// Settings.
    pub settings: Arc<EntrySettings>,
    /// Seals resume tokens.
    pub signer: TokenSigner,
    /// Finds replicas.
    pub dispatcher: RequestDispatcher,
    /// Names requests and attempts.
    pub ids: IdGenerator,
    /// How far a stop is.
    #[builder(default)]
    pub shutdown: ShutdownHandle,
}

/// Names requests and attempts, never one twice.
///
/// A node's name stays the same over restarts and its counters begin again, so each process puts
/// a random number of its own into every name. Without it a restarted entry would use the names
/// of its predecessor: an engine would take a new attempt for an old stream, and a claim on a
/// payment could be taken for one's own.
#[derive(Debug, Clone)]
pub struct IdGenerator {
    inner: Arc<IdCounters>,
}

#[derive(Debug)]
struct IdCounters {
    prefix: String,
    process: u64,
    requests: AtomicU64,
    attempts: AtomicU64,
}

impl IdGenerator {
    /// A source for this process.
    #[must_use]
    pub fn new(node: &NodeId) -> Self {
        let process = rand::random::<u64>();
        // Identifiers are ASCII, so that any byte is a character's end.
        let name = &node.as_str()[..node.as_str().len().min(MAX_NODE_ID_BYTES)];
        let counter = IdCounters {
            prefix: format!("{name}.{process:016x}"),
            process,
            requests: AtomicU64::new(0),
            attempts: AtomicU64::new(0),
        };
        Self {
            inner: Arc::new(counter),
        }
    }

    /// Names a request.
    #[must_use]
    pub fn request_id(&self) -> RequestId {
        let number = self.inner.requests.fetch_add(1, Ordering::Relaxed);
        let text = format!("{}.{number}", self.inner.prefix);
        text.parse()
            .unwrap_or_else(|error| unreachable!("{text} is an id: {error}"))
    }

    /// Names an attempt of a request, which may be one of another entry.
    #[must_use]
    pub fn attempt_id(&self, request: &RequestId) -> AttemptId {
        let number = self.inner.attempts.fetch_add(1, Ordering::Relaxed);
        let process = self.inner.process >> 32;
        let text = format!("{request}.{process:08x}.{number}");
        text.parse()
            .unwrap_or_else(|error| unreachable!("{text} is an id: {error}"))
    }
}
