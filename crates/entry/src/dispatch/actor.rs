//! Actor that owns the dispatcher state, and the tasks that send it messages.

use std::sync::Arc;
use std::time::{Duration, Instant};

use control::TargetView;
use policy::retry::RetryDecision;
use tokio::sync::{mpsc, watch};
use xtra::{Context, Handler, WeakAddress};

use super::request::{DispatchEvent, DispatchRequest};
use super::state::DispatchState;
use super::time::SlotReply;

/// Interval at which expired requests are rejected; a rejection can be late by this much.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Actor that owns the dispatcher state.
#[derive(Debug, xtra::Actor)]
pub struct DispatchActor {
    state: DispatchState,
}

impl DispatchActor {
    pub fn new(state: DispatchState) -> Self {
        Self { state }
    }
}

/// Queues a request until a replica can take it.
pub struct EnqueueRequest {
    pub number: u64,
    pub request: DispatchRequest,
    pub reply: SlotReply,
}

/// Updates the replicas, or only advances the time.
struct UpdateTargets(Option<Arc<TargetView>>);

/// Asks whether a failed request is retried.
pub struct DecideRetry {
    pub number: u32,
    pub deadline: Instant,
}

/// Sets the number of entries.
pub struct SetEntries(pub u32);

impl Handler<EnqueueRequest> for DispatchActor {
    type Return = ();

    async fn handle(&mut self, enqueue: EnqueueRequest, _: &mut Context<Self>) {
        let at = self.state.current_time();
        self.state
            .offer(at, enqueue.number, enqueue.request, enqueue.reply);
    }
}

impl Handler<UpdateTargets> for DispatchActor {
    type Return = ();

    async fn handle(&mut self, view: UpdateTargets, _: &mut Context<Self>) {
        let at = self.state.current_time();
        match view.0 {
            Some(view) => self.state.update_targets(at, &view),
            None => self.state.tick(at),
        }
    }
}

impl Handler<DispatchEvent> for DispatchActor {
    type Return = ();

    async fn handle(&mut self, event: DispatchEvent, _: &mut Context<Self>) {
        let at = self.state.current_time();
        self.state.handle_event(at, event);
    }
}

impl Handler<DecideRetry> for DispatchActor {
    type Return = RetryDecision;

    async fn handle(&mut self, request: DecideRetry, _: &mut Context<Self>) -> RetryDecision {
        let at = self.state.current_time();
        self.state
            .decide_retry(at, request.number, request.deadline)
    }
}

impl Handler<SetEntries> for DispatchActor {
    type Return = ();

    async fn handle(&mut self, entries: SetEntries, _: &mut Context<Self>) {
        self.state.set_entries(entries.0);
    }
}

/// Forwards events to the actor, from senders that can't wait for its mailbox.
pub async fn forward_events(
    mut events: mpsc::UnboundedReceiver<DispatchEvent>,
    address: WeakAddress<DispatchActor>,
) {
    while let Some(event) = events.recv().await {
        if address.send(event).await.is_err() {
            return;
        }
    }
}

/// Forwards new target views to the actor and ticks in between.
pub async fn watch_targets(
    mut targets: watch::Receiver<Arc<TargetView>>,
    address: WeakAddress<DispatchActor>,
) {
    targets.mark_changed();
    loop {
        let view = match tokio::time::timeout(TICK_INTERVAL, targets.changed()).await {
            Ok(Ok(())) => Some(Arc::clone(&targets.borrow_and_update())),
            Ok(Err(_)) => return,
            Err(_) => None,
        };
        if address.send(UpdateTargets(view)).await.is_err() {
            return;
        }
    }
}
