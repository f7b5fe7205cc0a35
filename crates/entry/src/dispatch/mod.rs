//! Request dispatcher: admits and queues requests and selects a replica for each attempt.
//!
//! The decisions are implemented in the `policy` crate. [`state`] applies them without I/O, and a
//! single actor owns the state.

mod actor;
mod index;
mod queue;
pub mod request;
pub mod state;
mod time;

use events::log_skipped;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Instant;

use control::TargetView;
use domain::ModelName;
use policy::retry::{GiveUpReason, RetryDecision};
use tokio::sync::{mpsc, oneshot, watch};
use wire::client_api::ErrorCode;
use xtra::{Address, Mailbox};

use crate::error::RequestError;
use actor::{DecideRetry, DispatchActor, EnqueueRequest, SetEntries};
use request::{DispatchEvent, DispatchEventSender, DispatchRequest, SlotGuard};
use state::{DispatchSettings, DispatchState};

/// Capacity of the actor's mailbox; senders wait when it is full.
const MAILBOX_CAPACITY: usize = 1_024;

/// Handle of the dispatcher. Cheap to clone.
#[derive(Debug, Clone)]
pub struct RequestDispatcher {
    address: Address<DispatchActor>,
    events: DispatchEventSender,
    numbers: Arc<AtomicU64>,
    waiting: Arc<AtomicUsize>,
}

impl RequestDispatcher {
    /// Starts a dispatcher. Must be called within a Tokio runtime.
    #[must_use]
    pub fn start(settings: DispatchSettings, targets: watch::Receiver<Arc<TargetView>>) -> Self {
        let (events, received) = mpsc::unbounded_channel();
        let state = DispatchState::new(settings, Instant::now(), events.clone());
        let address = xtra::spawn_tokio(
            DispatchActor::new(state),
            Mailbox::bounded(MAILBOX_CAPACITY),
        );
        tokio::spawn(actor::forward_events(received, address.downgrade()));
        tokio::spawn(actor::watch_targets(targets, address.downgrade()));
        Self {
            address,
            events,
            numbers: Arc::default(),
            waiting: Arc::default(),
        }
    }

    /// Waits until a replica can take the request.
    ///
    /// # Errors
    ///
    /// [`RequestError`] marked as not executed, if the request is refused immediately or its
    /// deadline expires.
    pub async fn place(&self, request: DispatchRequest) -> Result<SlotGuard, RequestError> {
        let number = self.numbers.fetch_add(1, Ordering::Relaxed);
        let (reply, response) = oneshot::channel();
        self.waiting.fetch_add(1, Ordering::Relaxed);
        let mut guard = WaitGuard {
            waiting: &self.waiting,
            events: &self.events,
            model: Some(request.model.clone()),
            number,
        };
        let enqueue = EnqueueRequest {
            number,
            request,
            reply,
        };
        let sent = self.address.send(enqueue).await.is_ok();
        let result = if sent { response.await.ok() } else { None };
        guard.model = None;
        result.unwrap_or_else(|| {
            let message = "the dispatcher has stopped";
            Err(RequestError::not_run(ErrorCode::Internal, message))
        })
    }

    /// Returns the number of requests that are waiting for a replica.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.load(Ordering::Relaxed)
    }

    /// Decides whether a request that failed before its first token is retried. `number` is the
    /// number of attempts so far.
    pub async fn decide_retry(&self, number: u32, deadline: Instant) -> RetryDecision {
        let decided = self.address.send(DecideRetry { number, deadline }).await;
        decided.unwrap_or(RetryDecision::GiveUp(GiveUpReason::AttemptsExhausted))
    }

    /// Sets the number of entries that share the replicas.
    pub async fn set_entries(&self, entries: u32) {
        log_skipped(
            "set number of entries",
            self.address.send(SetEntries(entries)).await,
        );
    }
}

/// Counts a waiting request. If the client disconnects while waiting, removes the request from the
/// queue.
struct WaitGuard<'a> {
    waiting: &'a AtomicUsize,
    events: &'a DispatchEventSender,
    model: Option<ModelName>,
    number: u64,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.waiting.fetch_sub(1, Ordering::Relaxed);
        if let Some(model) = self.model.take() {
            let number = self.number;
            let _ = self.events.send(DispatchEvent::Abandoned { model, number });
        }
    }
}
