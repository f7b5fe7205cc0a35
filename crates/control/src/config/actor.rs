//! The actor that owns the configuration in force.

use std::sync::Arc;
use std::time::{Duration, Instant};

use domain::ConfigRevision;
use events::{EventCode, EventRecorder, EventSubject, log_skipped};
use tokio::sync::watch;
use xtra::{Address, Context, Handler, Mailbox};

use crate::amend::ChangeEntry;
use crate::gate::ServiceGate;
use crate::members::SharedMembership;
use crate::view::ConfigView;

use super::load::ConfigUpdate;
use super::readiness::{NodeReadiness, ReadinessFacts, ReadinessPolicy};
use super::state::{ApplyOutcome, ConfigSnapshot, ConfigState};

/// Capacity of the mailbox; senders wait while it is full.
const MAILBOX_CAPACITY: usize = 256;

/// Interval at which readiness is re-evaluated.
const EVALUATION_PERIOD: Duration = Duration::from_millis(250);

/// While the store is down each evaluation opens the gate for this long: enough for a slow
/// scheduler, and short enough that the gate of a suspended node is closed when it resumes.
const STORE_DOWN_EXTENSION: Duration = Duration::from_secs(2);

/// States that the head was at most at `revision` at `as_of` on this node's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeadConfirmation {
    /// Upper bound of the head's revision.
    pub revision: ConfigRevision,
    /// Time on this node's monotonic clock at which the bound held.
    pub as_of: Instant,
}

/// The applied revision and how current it is: for peers, `status` and tests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ConfigStatus {
    /// The revision applied on this node.
    pub revision: ConfigRevision,
    /// The highest revision known to exist.
    pub known: ConfigRevision,
    /// The newest confirmation whose revision is applied here.
    pub confirmation: Option<HeadConfirmation>,
    /// Whether and why the node serves.
    pub readiness: NodeReadiness,
}

/// Owns the configuration; every change goes through its mailbox.
#[derive(Debug, xtra::Actor)]
pub struct ConfigActor {
    state: ConfigState,
    policy: ReadinessPolicy,
    status: ConfigStatus,
    pending: Option<HeadConfirmation>,
    served: bool,
    majority_since: Option<Instant>,
    members: SharedMembership,
    gate: ServiceGate,
    views: watch::Sender<Arc<ConfigView>>,
    status_sender: watch::Sender<ConfigStatus>,
    recorder: EventRecorder,
}

/// Handle of the configuration actor. Cheap to clone.
#[derive(Debug, Clone)]
pub struct ConfigHandle {
    address: Address<ConfigActor>,
    status: watch::Receiver<ConfigStatus>,
}

/// What was learned about the configuration, from the table or from a peer.
#[derive(Debug, Clone, Default)]
pub struct ConfigObservation {
    /// Snapshot and changes to apply; may be empty.
    pub update: ConfigUpdate,
    /// Confirmation of the head, if there is one.
    pub confirmation: Option<HeadConfirmation>,
    /// A revision known to exist, whether or not `update` reaches it.
    pub known: ConfigRevision,
}

struct Observe(ConfigObservation);
struct GetSnapshot;
struct GetChanges {
    after: ConfigRevision,
    limit: usize,
}
struct Evaluate;

impl ConfigActor {
    /// Spawns the actor and its evaluation timer. The node does not serve at first.
    #[must_use]
    pub fn start(
        policy: ReadinessPolicy,
        members: SharedMembership,
        views: watch::Sender<Arc<ConfigView>>,
        recorder: EventRecorder,
    ) -> ConfigHandle {
        let (status_sender, status) = watch::channel(ConfigStatus::default());
        let actor = Self {
            state: ConfigState::default(),
            policy,
            status: ConfigStatus::default(),
            pending: None,
            served: false,
            majority_since: None,
            members,
            gate: ServiceGate::closed(),
            views,
            status_sender,
            recorder,
        };
        let address = xtra::spawn_tokio(actor, Mailbox::bounded(MAILBOX_CAPACITY));
        tokio::spawn(evaluate_forever(address.clone()));
        ConfigHandle { address, status }
    }

    /// Stores a confirmation, as pending while its revision is not applied here.
    ///
    /// The head only rises, so any revision from r on satisfies "at most r at that time".
    fn confirm(&mut self, confirmation: HeadConfirmation) {
        self.status.known = self.status.known.max(confirmation.revision);
        let slot = if confirmation.revision <= self.state.revision() {
            &mut self.status.confirmation
        } else {
            &mut self.pending
        };
        let newer = slot.is_none_or(|current| confirmation.as_of > current.as_of);
        if newer {
            *slot = Some(confirmation);
        }
    }

    fn apply(&mut self, update: ConfigUpdate) {
        let before = self.state.revision();
        if let Some(snapshot) = update.snapshot {
            self.state.apply_snapshot(snapshot);
        }
        for change in update.changes {
            self.status.known = self.status.known.max(change.revision);
            if self.state.apply_change(change) == ApplyOutcome::Gap {
                break;
            }
        }
        let revision = self.state.revision();
        if revision == before {
            return;
        }
        self.status.revision = revision;
        self.status.known = self.status.known.max(revision);
        let mut view = self.state.view();
        view.gate = self.gate.clone();
        let subject = EventSubject::default();
        self.recorder.record(
            EventCode::ConfigApplied,
            subject.clone(),
            format!("revision {revision}"),
        );
        if !view.unknown.is_empty() {
            self.recorder
                .record(EventCode::RecordUnknown, subject, view.unknown.join(" "));
        }
        self.views.send_replace(Arc::new(view));
        if let Some(pending) = self.pending.take() {
            self.confirm(pending);
        }
    }

    fn evaluate(&mut self, now: Instant) {
        let reach = self.members.reach(now);
        if reach.is_majority() {
            self.majority_since.get_or_insert(now);
        } else {
            self.majority_since = None;
        }
        let as_of = self
            .status
            .confirmation
            .map(|confirmation| confirmation.as_of);
        let facts = ReadinessFacts {
            applied: self.status.revision > ConfigRevision(0),
            confirmed_age: as_of.map(|as_of| now.saturating_duration_since(as_of)),
            served: self.served,
            behind: self.status.known > self.status.revision,
            reach,
            majority_held: self
                .majority_since
                .map_or(Duration::ZERO, |since| now.saturating_duration_since(since)),
        };
        let readiness = self.policy.evaluate(&facts);
        let until = match (readiness, as_of) {
            (NodeReadiness::Confirmed, Some(as_of)) => as_of + self.policy.confirm_limit,
            (NodeReadiness::StoreDown, _) => now + STORE_DOWN_EXTENSION,
            _ => now,
        };
        self.gate.open_until(until);
        self.served |= readiness.serves();
        if readiness != self.status.readiness {
            self.status.readiness = readiness;
            self.record_readiness(readiness);
        }
        self.status_sender.send_if_modified(|current| {
            let changed = *current != self.status;
            *current = self.status;
            changed
        });
    }

    fn record_readiness(&self, readiness: NodeReadiness) {
        let code = match readiness {
            NodeReadiness::Starting => EventCode::ConfigUnlearned,
            NodeReadiness::Confirmed => EventCode::ConfigConfirmed,
            NodeReadiness::StoreDown => EventCode::StoreDown,
            NodeReadiness::CutOff => EventCode::NodeCutOff,
        };
        self.recorder
            .record(code, EventSubject::default(), readiness.as_str());
    }
}

async fn evaluate_forever(address: Address<ConfigActor>) {
    let mut ticks = tokio::time::interval(EVALUATION_PERIOD);
    loop {
        ticks.tick().await;
        if address.send(Evaluate).await.is_err() {
            return;
        }
    }
}

impl Handler<Observe> for ConfigActor {
    type Return = ();

    async fn handle(&mut self, message: Observe, _: &mut Context<Self>) {
        let Observe(observation) = message;
        self.status.known = self.status.known.max(observation.known);
        self.apply(observation.update);
        if let Some(confirmation) = observation.confirmation {
            self.confirm(confirmation);
        }
        self.evaluate(Instant::now());
    }
}

impl Handler<GetSnapshot> for ConfigActor {
    type Return = ConfigSnapshot;

    async fn handle(&mut self, _: GetSnapshot, _: &mut Context<Self>) -> ConfigSnapshot {
        self.state.snapshot()
    }
}

impl Handler<GetChanges> for ConfigActor {
    type Return = Option<Vec<ChangeEntry>>;

    async fn handle(
        &mut self,
        message: GetChanges,
        _: &mut Context<Self>,
    ) -> Option<Vec<ChangeEntry>> {
        self.state.changes_after(message.after, message.limit)
    }
}

impl Handler<Evaluate> for ConfigActor {
    type Return = ();

    async fn handle(&mut self, _: Evaluate, _: &mut Context<Self>) {
        self.evaluate(Instant::now());
    }
}

impl ConfigHandle {
    /// Sends an observation and waits until it is applied.
    pub async fn observe(&self, observation: ConfigObservation) {
        // The actor is gone only while the node stops.
        log_skipped(
            "apply configuration",
            self.address.send(Observe(observation)).await,
        );
    }

    /// All records at the applied revision; empty when the actor has stopped.
    pub async fn snapshot(&self) -> ConfigSnapshot {
        self.address.send(GetSnapshot).await.unwrap_or_default()
    }

    /// At most `limit` changes after a revision; none when they are no longer kept.
    pub async fn changes_after(
        &self,
        after: ConfigRevision,
        limit: usize,
    ) -> Option<Vec<ChangeEntry>> {
        let message = GetChanges { after, limit };
        self.address.send(message).await.unwrap_or_default()
    }

    /// The current status.
    #[must_use]
    pub fn status(&self) -> ConfigStatus {
        *self.status.borrow()
    }

    /// Subscribes to changes of [`ConfigStatus`].
    #[must_use]
    pub fn watch(&self) -> watch::Receiver<ConfigStatus> {
        self.status.clone()
    }
}
