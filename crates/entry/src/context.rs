//! Shared dependencies of the request path.

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

/// Maximum number of bytes of the node id in a request id, so that attempt ids, which contain the
/// request id, stay within the length limit of ids.
const MAX_NODE_ID_BYTES: usize = 40;

/// Shared dependencies of the request path. Cheap to clone.
#[derive(Debug, Clone, Builder)]
pub struct EntryContext<E> {
    /// Latest configuration known to this node.
    pub config: watch::Receiver<Arc<ConfigView>>,
    /// Latest known replicas with their health and load.
    pub targets: watch::Receiver<Arc<TargetView>>,
    /// Client for the engines' API.
    pub engine: E,
    /// Records events and metrics.
    pub recorder: EventRecorder,
    /// Settings of this entry.
    pub settings: Arc<EntrySettings>,
    /// Signs and verifies resume tokens.
    pub signer: TokenSigner,
    /// Queues requests and selects replicas.
    pub dispatcher: RequestDispatcher,
    /// Generates request and attempt ids.
    pub ids: IdGenerator,
    /// Shutdown phase of this entry; shared with the task that drives the shutdown.
    #[builder(default)]
    pub shutdown: ShutdownHandle,
}

/// Generates ids of requests and attempts that are unique across restarts.
///
/// A node keeps its id across restarts while its counters start again at 0, so each process adds a
/// random number to its ids. Otherwise a restarted entry would reuse the ids of its predecessor: an
/// engine could take a new attempt for an old stream, and a claim on a payment could be taken for
/// the entry's own.
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
    /// Creates a generator with a new random number for this process.
    #[must_use]
    pub fn new(node: &NodeId) -> Self {
        let process = rand::random::<u64>();
        // Ids are ASCII, so every byte offset is a character boundary.
        let node_prefix = &node.as_str()[..node.as_str().len().min(MAX_NODE_ID_BYTES)];
        let counter = IdCounters {
            prefix: format!("{node_prefix}.{process:016x}"),
            process,
            requests: AtomicU64::new(0),
            attempts: AtomicU64::new(0),
        };
        Self {
            inner: Arc::new(counter),
        }
    }

    /// Returns a new request id.
    #[must_use]
    pub fn request_id(&self) -> RequestId {
        let number = self.inner.requests.fetch_add(1, Ordering::Relaxed);
        let text = format!("{}.{number}", self.inner.prefix);
        text.parse()
            .unwrap_or_else(|error| unreachable!("{text} is a valid id: {error}"))
    }

    /// Returns a new attempt id. The request may have been started at another entry.
    #[must_use]
    pub fn attempt_id(&self, request: &RequestId) -> AttemptId {
        let number = self.inner.attempts.fetch_add(1, Ordering::Relaxed);
        let process = self.inner.process >> 32;
        let text = format!("{request}.{process:08x}.{number}");
        text.parse()
            .unwrap_or_else(|error| unreachable!("{text} is a valid id: {error}"))
    }
}
