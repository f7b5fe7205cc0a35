//! The desk's decisions over all models, without I/O: time comes in with each call.

use std::time::{Duration, Instant};

use control::TargetView;
use domain::{CustomerId, CustomerKey, DomainId, FastMap, ModelName};
use policy::admission::FinishedWork;
use policy::placement::TargetOutcome;
use policy::retry::{FailedAttempt, RetryBudget, RetryDecision, RetrySettings};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use slotmap::SlotMap;
use tokio::sync::oneshot;

use super::ask::{DeskNote, NoteSender, PlacedSlot, PlacementAsk, SlotFacts, SlotOutcome};
use super::floor::ReplicaFloor;
use super::model::{ModelDesk, WaitingAsk};
use crate::failure::CallerFailure;

/// The answer to an ask.
pub type SlotReply = oneshot::Sender<Result<PlacedSlot, CallerFailure>>;

/// Settings of a desk.
#[derive(Debug, Clone, bon::Builder)]
pub struct DeskSettings {
    /// Oldest evidence of wholeness that allows dispatch.
    pub evidence_limit: Duration,
    /// The entry's own failure domain.
    pub home: Option<DomainId>,
    /// Attempts of one request.
    #[builder(default = 8)]
    pub max_attempts: u32,
    /// Seed of everything that is left to chance; differs between entries.
    pub seed: u64,
}

/// A moment, on the clock of the policies and on that of the evidence.
#[derive(Debug, Clone, Copy)]
pub struct DeskMoment {
    /// Since the desk's start.
    pub now: Duration,
    /// The same moment.
    pub instant: Instant,
}

/// Queues, shares and replicas of all models.
#[derive(Debug)]
pub struct DeskState {
    settings: DeskSettings,
    started: Instant,
    floor: ReplicaFloor,
    models: FastMap<ModelName, ModelDesk>,
    customers: FastMap<CustomerId, CustomerKey>,
    customer_keys: SlotMap<CustomerKey, ()>,
    budget: RetryBudget,
    notes: NoteSender,
    entries: u32,
}

impl DeskState {
    /// A desk without replicas; slots report to `notes`.
    #[must_use]
    pub fn new(settings: DeskSettings, started: Instant, notes: NoteSender) -> Self {
        let rng = SmallRng::seed_from_u64(settings.seed);
        let retry = RetrySettings::builder()
            .max_attempts(settings.max_attempts)
            .build();
        Self {
            floor: ReplicaFloor::new(rng, settings.evidence_limit, settings.home.clone()),
            models: FastMap::default(),
            customers: FastMap::default(),
            customer_keys: SlotMap::with_key(),
            budget: RetryBudget::new(retry),
            notes,
            entries: 1,
            started,
            settings,
        }
    }

    /// The moment now.
    #[must_use]
    pub fn moment(&self) -> DeskMoment {
        let instant = Instant::now();
        DeskMoment {
            now: instant.saturating_duration_since(self.started),
            instant,
        }
    }

    /// Tells how many entries share the replicas.
    pub fn set_entries(&mut self, entries: u32) {
        if self.entries == entries {
            return;
        }
        self.entries = entries;
        for desk in self.models.values_mut() {
            desk.share.set_entries(entries);
        }
    }

    /// Takes a new view of the replicas in and gives out what became free.
    pub fn take_view(&mut self, at: DeskMoment, view: &TargetView) {
        let mut targets = self.floor.take_view(view, at.now, at.instant);
        for name in targets.keys() {
            if !self.models.contains_key(name) {
                let desk = self.new_model(at);
                self.models.insert(name.clone(), desk);
            }
        }
        for (name, desk) in &mut self.models {
            let targets = targets.remove(name).unwrap_or_default();
            desk.candidates = self.floor.pool.candidates(targets.keys);
            if let Some(report) = targets.report {
                desk.share.note_report(at.now, report);
            }
        }
        self.tick(at);
    }

    fn new_model(&self, at: DeskMoment) -> ModelDesk {
        ModelDesk::new(self.entries, self.settings.seed, at.now)
    }

    /// Answers what expired and gives out what became free.
    pub fn tick(&mut self, at: DeskMoment) {
        for desk in self.models.values_mut() {
            desk.refresh(&self.floor, at);
            desk.pump(&mut self.floor, at, &self.notes);
        }
    }

    /// Takes an ask; its reply comes now or when its turn comes.
    pub fn offer(&mut self, at: DeskMoment, number: u64, ask: PlacementAsk, reply: SlotReply) {
        let customer = self.customer_key(&ask.customer);
        if !self.models.contains_key(&ask.model) {
            let desk = self.new_model(at);
            self.models.insert(ask.model.clone(), desk);
        }
        let deadline = ask.deadline.saturating_duration_since(self.started);
        let Some(desk) = self.models.get_mut(&ask.model) else {
            return;
        };
        let waiting = WaitingAsk {
            number,
            ask,
            customer,
            deadline,
            reply,
        };
        desk.offer(at, waiting);
        desk.pump(&mut self.floor, at, &self.notes);
    }

    fn customer_key(&mut self, customer: &CustomerId) -> CustomerKey {
        if let Some(key) = self.customers.get(customer) {
            return *key;
        }
        let key = self.customer_keys.insert(());
        self.customers.insert(customer.clone(), key);
        key
    }

    /// Takes a note in.
    pub fn take_note(&mut self, at: DeskMoment, note: DeskNote) {
        match note {
            DeskNote::FirstToken { facts, elapsed } => {
                self.floor
                    .pool
                    .note_first_token(&facts.choice, at.now, elapsed);
            }
            DeskNote::Left { model, number } => {
                if let Some(desk) = self.models.get_mut(&model) {
                    desk.leave(number);
                }
            }
            DeskNote::Ended {
                facts,
                outcome,
                stay,
                first_token,
            } => self.end(at, &facts, outcome, stay, first_token),
        }
    }

    fn end(
        &mut self,
        at: DeskMoment,
        facts: &SlotFacts,
        outcome: SlotOutcome,
        stay: Duration,
        first_token: Option<Duration>,
    ) {
        let pool = &mut self.floor.pool;
        pool.note_ended(facts.choice.target, at.now, stay, outcome.outcome);
        if let Some(cached) = outcome.cached_tokens {
            pool.note_cached(&facts.choice, cached);
        }
        if outcome.outcome == TargetOutcome::Finished {
            self.budget.note_success();
        }
        let Some(desk) = self.models.get_mut(&facts.model) else {
            return;
        };
        desk.share.note_finished(at.now, stay);
        if outcome.outcome == TargetOutcome::Full {
            desk.share.note_full(at.now);
        }
        let work = FinishedWork::builder()
            .customer(facts.customer)
            .predicted(facts.predicted)
            .actual(outcome.actual)
            .maybe_first_token(first_token)
            .build();
        desk.queue.note_finished(at.now, work);
        desk.pump(&mut self.floor, at, &self.notes);
    }

    /// Decides whether a request that failed without a token is tried again.
    pub fn decide_retry(
        &mut self,
        at: DeskMoment,
        number: u32,
        deadline: Instant,
    ) -> RetryDecision {
        let failed = FailedAttempt::builder()
            .number(number)
            .idempotent(true)
            .begun(true)
            .deadline(deadline.saturating_duration_since(self.started))
            .build();
        self.budget.decide(at.now, &failed, &mut self.floor.rng)
    }

    /// Requests that wait, over all models.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.models.values().map(ModelDesk::waiting).sum()
    }
}
