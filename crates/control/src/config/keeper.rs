//! The task that owns the configuration in force.

use std::sync::Arc;
use std::time::{Duration, Instant};

use domain::ConfigRevision;
use events::{EventCode, EventRecorder, EventSubject, log_skipped};
use tokio::sync::watch;
use xtra::{Address, Context, Handler, Mailbox};

use crate::amend::ChangeEntry;
use crate::gate::ServiceGate;
use crate::members::MemberBook;
use crate::view::ConfigView;

use super::load::ConfigUpdate;
use super::standing::{NodeStanding, StandingFacts, StandingRule};
use super::state::{ApplyOutcome, ConfigSnapshot, ConfigState};

/// Messages that may wait for the keeper; senders wait beyond that.
const MAILBOX: usize = 256;

/// The standing is judged anew so often.
const JUDGE_PERIOD: Duration = Duration::from_millis(250);

/// While the store is down the gate is opened for this long at each judgement: long enough for a
/// slow scheduler, short enough that a node that was frozen closes at once.
const STORE_DOWN_LEASE: Duration = Duration::from_secs(2);

/// That the head was at most at a revision at a moment on this node's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeadConfirmation {
    /// The revision.
    pub revision: ConfigRevision,
    /// The moment.
    pub as_of: Instant,
}

/// What is in force and how well it is known: for peers, `status` and tests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ConfigNews {
    /// The revision in force on this node.
    pub revision: ConfigRevision,
    /// The highest revision of which this node has heard.
    pub known: ConfigRevision,
    /// The newest confirmation whose revision is in force here.
    pub confirmation: Option<HeadConfirmation>,
    /// Whether the node serves.
    pub standing: NodeStanding,
}

/// Owns the configuration; every change of it goes through this task's mailbox.
#[derive(Debug, xtra::Actor)]
pub struct ConfigKeeper {
    state: ConfigState,
    rule: StandingRule,
    news: ConfigNews,
    pending: Option<HeadConfirmation>,
    served: bool,
    majority_since: Option<Instant>,
    members: MemberBook,
    gate: ServiceGate,
    views: watch::Sender<Arc<ConfigView>>,
    news_sender: watch::Sender<ConfigNews>,
    recorder: EventRecorder,
}

/// Sends to the keeper. Cheap to clone.
#[derive(Debug, Clone)]
pub struct ConfigHandle {
    address: Address<ConfigKeeper>,
    news: watch::Receiver<ConfigNews>,
}

/// What was learned of the configuration, from the table or from a peer.
#[derive(Debug, Clone, Default)]
pub struct ConfigLesson {
    /// What is new.
    pub update: ConfigUpdate,
    /// How well the head is known.
    pub confirmation: Option<HeadConfirmation>,
    /// A revision of which it was learned that it exists.
    pub known: ConfigRevision,
}

struct Learn(ConfigLesson);
struct TakeSnapshot;
struct TakeChanges {
    after: ConfigRevision,
    limit: usize,
}
struct Judge;

impl ConfigKeeper {
    /// Starts the keeper's task.
    #[must_use]
    pub fn start(
        rule: StandingRule,
        members: MemberBook,
        views: watch::Sender<Arc<ConfigView>>,
        recorder: EventRecorder,
    ) -> ConfigHandle {
        let (news_sender, news) = watch::channel(ConfigNews::default());
        let keeper = Self {
            state: ConfigState::default(),
            rule,
            news: ConfigNews::default(),
            pending: None,
            served: false,
            majority_since: None,
            members,
            gate: ServiceGate::closed(),
            views,
            news_sender,
            recorder,
        };
        let address = xtra::spawn_tokio(keeper, Mailbox::bounded(MAILBOX));
        tokio::spawn(judge_forever(address.clone()));
        ConfigHandle { address, news }
    }

    /// Counts a confirmation, now or once its revision is in force here.
    ///
    /// The head only rises, so "at most r at that moment" is met by any revision from r on.
    fn confirm(&mut self, confirmation: HeadConfirmation) {
        self.news.known = self.news.known.max(confirmation.revision);
        let place = if confirmation.revision <= self.state.revision() {
            &mut self.news.confirmation
        } else {
            &mut self.pending
        };
        let newer = place.is_none_or(|current| confirmation.as_of > current.as_of);
        if newer {
            *place = Some(confirmation);
        }
    }

    fn apply(&mut self, update: ConfigUpdate) {
        let before = self.state.revision();
        if let Some(snapshot) = update.snapshot {
            self.state.apply_snapshot(snapshot);
        }
        for change in update.changes {
            self.news.known = self.news.known.max(change.revision);
            if self.state.apply_change(change) == ApplyOutcome::Gap {
                break;
            }
        }
        let revision = self.state.revision();
        if revision == before {
            return;
        }
        self.news.revision = revision;
        self.news.known = self.news.known.max(revision);
        let mut view = self.state.view();
        view.gate = self.gate.clone();
        let subject = EventSubject::default();
        self.recorder.note(
            EventCode::ConfigApplied,
            subject.clone(),
            format!("revision {revision}"),
        );
        if !view.unknown.is_empty() {
            self.recorder
                .note(EventCode::RecordUnknown, subject, view.unknown.join(" "));
        }
        self.views.send_replace(Arc::new(view));
        if let Some(pending) = self.pending.take() {
            self.confirm(pending);
        }
    }

    fn judge(&mut self, now: Instant) {
        let reach = self.members.reach(now);
        if reach.is_majority() {
            self.majority_since.get_or_insert(now);
        } else {
            self.majority_since = None;
        }
        let as_of = self
            .news
            .confirmation
            .map(|confirmation| confirmation.as_of);
        let facts = StandingFacts {
            applied: self.news.revision > ConfigRevision(0),
            confirmed_age: as_of.map(|moment| now.saturating_duration_since(moment)),
            served: self.served,
            behind: self.news.known > self.news.revision,
            reach,
            reach_held: self
                .majority_since
                .map_or(Duration::ZERO, |since| now.saturating_duration_since(since)),
        };
        let standing = self.rule.judge(&facts);
        let until = match (standing, as_of) {
            (NodeStanding::Confirmed, Some(moment)) => moment + self.rule.confirm_limit,
            (NodeStanding::StoreDown, _) => now + STORE_DOWN_LEASE,
            _ => now,
        };
        self.gate.open_until(until);
        self.served |= standing.serves();
        if standing != self.news.standing {
            self.news.standing = standing;
            self.note_standing(standing);
        }
        self.news_sender.send_if_modified(|current| {
            let changed = *current != self.news;
            *current = self.news;
            changed
        });
    }

    fn note_standing(&self, standing: NodeStanding) {
        let code = match standing {
            NodeStanding::Starting => EventCode::ConfigUnlearned,
            NodeStanding::Confirmed => EventCode::ConfigConfirmed,
            NodeStanding::StoreDown => EventCode::StoreDown,
            NodeStanding::CutOff => EventCode::NodeCutOff,
        };
        self.recorder
            .note(code, EventSubject::default(), standing.as_str());
    }
}

async fn judge_forever(address: Address<ConfigKeeper>) {
    let mut ticks = tokio::time::interval(JUDGE_PERIOD);
    loop {
        ticks.tick().await;
        if address.send(Judge).await.is_err() {
            return;
        }
    }
}

impl Handler<Learn> for ConfigKeeper {
    type Return = ();

    async fn handle(&mut self, message: Learn, _: &mut Context<Self>) {
        let Learn(lesson) = message;
        self.news.known = self.news.known.max(lesson.known);
        self.apply(lesson.update);
        if let Some(confirmation) = lesson.confirmation {
            self.confirm(confirmation);
        }
        self.judge(Instant::now());
    }
}

impl Handler<TakeSnapshot> for ConfigKeeper {
    type Return = ConfigSnapshot;

    async fn handle(&mut self, _: TakeSnapshot, _: &mut Context<Self>) -> ConfigSnapshot {
        self.state.snapshot()
    }
}

impl Handler<TakeChanges> for ConfigKeeper {
    type Return = Option<Vec<ChangeEntry>>;

    async fn handle(
        &mut self,
        message: TakeChanges,
        _: &mut Context<Self>,
    ) -> Option<Vec<ChangeEntry>> {
        self.state.changes_after(message.after, message.limit)
    }
}

impl Handler<Judge> for ConfigKeeper {
    type Return = ();

    async fn handle(&mut self, _: Judge, _: &mut Context<Self>) {
        self.judge(Instant::now());
    }
}

impl ConfigHandle {
    /// Hands over what was learned and waits until it is in force.
    pub async fn learn(&self, lesson: ConfigLesson) {
        // Nobody keeps the configuration any more only while the node stops.
        log_skipped(
            "learn configuration",
            self.address.send(Learn(lesson)).await,
        );
    }

    /// Everything in force.
    pub async fn snapshot(&self) -> ConfigSnapshot {
        self.address.send(TakeSnapshot).await.unwrap_or_default()
    }

    /// At most `limit` changes after a revision; none when they are not kept.
    pub async fn changes_after(
        &self,
        after: ConfigRevision,
        limit: usize,
    ) -> Option<Vec<ChangeEntry>> {
        let message = TakeChanges { after, limit };
        self.address.send(message).await.unwrap_or_default()
    }

    /// What is in force and how well it is known.
    #[must_use]
    pub fn news(&self) -> ConfigNews {
        *self.news.borrow()
    }

    /// A receiver that is told of every change of [`ConfigNews`].
    #[must_use]
    pub fn watch(&self) -> watch::Receiver<ConfigNews> {
        self.news.clone()
    }
}
