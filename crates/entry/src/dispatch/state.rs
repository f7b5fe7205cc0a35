//! The dispatcher's decisions over all models, without I/O: time comes in with each call.

use std::time::{Duration, Instant};

use control::TargetView;
use domain::{CustomerId, CustomerKey, DomainId, FastMap, ModelName};
use policy::admission::FinishedRequest;
use policy::placement::AttemptOutcome;
use policy::retry::{FailedAttempt, RetryBudget, RetryDecision, RetrySettings};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use slotmap::SlotMap;

use super::ask::{DispatchNote, NoteSender, PlacementAsk, SlotFacts, SlotOutcome};
use super::index::ReplicaIndex;
use super::moment::{DispatchMoment, SlotReply};
use super::queue::{ModelQueue, WaitingAsk};

/// Settings of a dispatcher.
#[derive(Debug, Clone, bon::Builder)]
pub struct DispatchSettings {
    /// Oldest evidence of wholeness that allows dispatch.
    pub max_evidence_age: Duration,
    /// The entry's own failure domain.
    pub local_domain: Option<DomainId>,
    /// Attempts of one request.
    #[builder(default = 8)]
    pub max_attempts: u32,
    /// Seed of everything that is left to chance; differs between entries.
    pub seed: u64,
}

/// Queues, shares and replicas of all models.
#[derive(Debug)]
pub struct DispatchState {
    settings: DispatchSettings,
    started: Instant,
    index: ReplicaIndex,
    models: FastMap<ModelName, ModelQueue>,
    customers: FastMap<CustomerId, CustomerKey>,
    customer_keys: SlotMap<CustomerKey, ()>,
    budget: RetryBudget,
    notes: NoteSender,
    entries: u32,
}

impl DispatchState {
    /// A dispatcher without replicas; slots report to `notes`.
    #[must_use]
    pub fn new(settings: DispatchSettings, started: Instant, notes: NoteSender) -> Self {
        let rng = SmallRng::seed_from_u64(settings.seed);
        let retry = RetrySettings::builder()
            .max_attempts(settings.max_attempts)
            .build();
        Self {
            index: ReplicaIndex::new(
                rng,
                settings.max_evidence_age,
                settings.local_domain.clone(),
            ),
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
    pub fn moment(&self) -> DispatchMoment {
        let instant = Instant::now();
        DispatchMoment {
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
        for dispatcher in self.models.values_mut() {
            dispatcher.share.set_entries(entries);
        }
    }

    /// Takes a new view of the replicas in and gives out what became free.
    pub fn take_view(&mut self, at: DispatchMoment, view: &TargetView) {
        let mut targets = self.index.take_view(view, at.now, at.instant);
        for name in targets.keys() {
            if !self.models.contains_key(name) {
                let dispatcher = self.new_model(at);
                self.models.insert(name.clone(), dispatcher);
            }
        }
        for (name, dispatcher) in &mut self.models {
            let targets = targets.remove(name).unwrap_or_default();
            dispatcher.candidates = self.index.pool.candidates(targets.keys);
            if let Some(report) = targets.report {
                dispatcher.share.record_report(at.now, report);
            }
        }
        self.tick(at);
    }

    fn new_model(&self, at: DispatchMoment) -> ModelQueue {
        ModelQueue::new(self.entries, self.settings.seed, at.now)
    }

    /// Answers what expired and gives out what became free.
    pub fn tick(&mut self, at: DispatchMoment) {
        for dispatcher in self.models.values_mut() {
            dispatcher.refresh(&self.index, at);
            dispatcher.pump(&mut self.index, at, &self.notes);
        }
    }

    /// Takes an ask; its reply comes now or when its turn comes.
    pub fn offer(&mut self, at: DispatchMoment, number: u64, ask: PlacementAsk, reply: SlotReply) {
        let customer = self.customer_key(&ask.customer);
        if !self.models.contains_key(&ask.model) {
            let dispatcher = self.new_model(at);
            self.models.insert(ask.model.clone(), dispatcher);
        }
        let deadline = ask.deadline.saturating_duration_since(self.started);
        let Some(dispatcher) = self.models.get_mut(&ask.model) else {
            return;
        };
        let waiting = WaitingAsk {
            number,
            ask,
            customer,
            deadline,
            reply,
        };
        dispatcher.offer(at, waiting);
        dispatcher.pump(&mut self.index, at, &self.notes);
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
    pub fn take_note(&mut self, at: DispatchMoment, note: DispatchNote) {
        match note {
            DispatchNote::FirstToken { facts, elapsed } => {
                self.index
                    .pool
                    .record_first_token(&facts.choice, at.now, elapsed);
            }
            DispatchNote::Left { model, number } => {
                if let Some(dispatcher) = self.models.get_mut(&model) {
                    dispatcher.leave(number);
                }
            }
            DispatchNote::Ended {
                facts,
                outcome,
                stay,
                first_token,
            } => self.end(at, &facts, outcome, stay, first_token),
        }
    }

    fn end(
        &mut self,
        at: DispatchMoment,
        facts: &SlotFacts,
        outcome: SlotOutcome,
        stay: Duration,
        first_token: Option<Duration>,
    ) {
        let pool = &mut self.index.pool;
        pool.record_ended(facts.choice.target, at.now, stay, outcome.outcome);
        if let Some(cached) = outcome.cached_tokens {
            pool.record_cached_tokens(&facts.choice, cached);
        }
        if outcome.outcome == AttemptOutcome::Finished {
            self.budget.record_success();
        }
        let Some(dispatcher) = self.models.get_mut(&facts.model) else {
            return;
        };
        dispatcher.share.record_finished(at.now, stay);
        if outcome.outcome == AttemptOutcome::Full {
            dispatcher.share.record_full(at.now);
        }
        let work = FinishedRequest::builder()
            .customer(facts.customer)
            .predicted_cost(facts.predicted)
            .actual_cost(outcome.actual)
            .maybe_first_token(first_token)
            .build();
        dispatcher.queue.record_finished(at.now, work);
        dispatcher.pump(&mut self.index, at, &self.notes);
    }

    /// Decides whether a request that failed without a token is tried again.
    pub fn decide_retry(
        &mut self,
        at: DispatchMoment,
        number: u32,
        deadline: Instant,
    ) -> RetryDecision {
        let failed = FailedAttempt::builder()
            .number(number)
            .idempotent(true)
            .possibly_sent(true)
            .deadline(deadline.saturating_duration_since(self.started))
            .build();
        self.budget.decide(at.now, &failed, &mut self.index.rng)
    }

    /// Requests that wait, over all models.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.models.values().map(ModelQueue::waiting).sum()
    }
}
