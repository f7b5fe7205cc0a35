//! The actor that owns the dispatcher's state, and the tasks that feed it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use control::TargetView;
use policy::retry::RetryDecision;
use tokio::sync::{mpsc, watch};
use xtra::{Context, Handler, WeakAddress};

use super::ask::{DispatchNote, PlacementAsk};
use super::moment::SlotReply;
use super::state::DispatchState;

/// Time between two looks at what expired: a refusal may come so much late.
const TICK: Duration = Duration::from_millis(20);

/// Owns the dispatcher's state.
#[derive(Debug, xtra::Actor)]
pub struct DispatchActor {
    state: DispatchState,
}

impl DispatchActor {
    pub fn new(state: DispatchState) -> Self {
        Self { state }
    }
}

/// A request asks for a replica.
pub struct OfferAsk {
    pub number: u64,
    pub ask: PlacementAsk,
    pub reply: SlotReply,
}

/// The replicas changed, or time has passed.
struct TakeView(Option<Arc<TargetView>>);

/// Asks whether a failed request is tried again.
pub struct DecideRetry {
    pub number: u32,
    pub deadline: Instant,
}

/// Tells how many entries there are.
pub struct SetEntries(pub u32);

impl Handler<OfferAsk> for DispatchActor {
    type Return = ();

    async fn handle(&mut self, offer: OfferAsk, _: &mut Context<Self>) {
        let at = self.state.moment();
        self.state.offer(at, offer.number, offer.ask, offer.reply);
    }
}

impl Handler<TakeView> for DispatchActor {
    type Return = ();

    async fn handle(&mut self, view: TakeView, _: &mut Context<Self>) {
        let at = self.state.moment();
        match view.0 {
            Some(view) => self.state.take_view(at, &view),
            None => self.state.tick(at),
        }
    }
}

impl Handler<DispatchNote> for DispatchActor {
    type Return = ();

    async fn handle(&mut self, note: DispatchNote, _: &mut Context<Self>) {
        let at = self.state.moment();
        self.state.take_note(at, note);
    }
}

impl Handler<DecideRetry> for DispatchActor {
    type Return = RetryDecision;

    async fn handle(&mut self, ask: DecideRetry, _: &mut Context<Self>) -> RetryDecision {
        let at = self.state.moment();
        self.state.decide_retry(at, ask.number, ask.deadline)
    }
}

impl Handler<SetEntries> for DispatchActor {
    type Return = ();

    async fn handle(&mut self, entries: SetEntries, _: &mut Context<Self>) {
        self.state.set_entries(entries.0);
    }
}

/// Hands notes on; they come from places that can't wait.
pub async fn forward_notes(
    mut notes: mpsc::UnboundedReceiver<DispatchNote>,
    address: WeakAddress<DispatchActor>,
) {
    while let Some(note) = notes.recv().await {
        if address.send(note).await.is_err() {
            return;
        }
    }
}

/// Hands new views on, and ticks in between.
pub async fn follow_targets(
    mut targets: watch::Receiver<Arc<TargetView>>,
    address: WeakAddress<DispatchActor>,
) {
    targets.mark_changed();
    loop {
        let view = match tokio::time::timeout(TICK, targets.changed()).await {
            Ok(Ok(())) => Some(Arc::clone(&targets.borrow_and_update())),
            Ok(Err(_)) => return,
            Err(_) => None,
        };
        if address.send(TakeView(view)).await.is_err() {
            return;
        }
    }
}
