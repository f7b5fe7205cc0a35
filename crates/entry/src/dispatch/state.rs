//! Decisions of the dispatcher for all models. Free of I/O; every call is given the current time.

use std::time::{Duration, Instant};

use control::TargetView;
use domain::{CustomerId, CustomerKey, DomainId, FastMap, ModelName};
use policy::admission::FinishedRequest;
use policy::placement::AttemptOutcome;
use policy::retry::{FailedAttempt, RetryBudget, RetryDecision, RetrySettings};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use slotmap::SlotMap;

use super::index::ReplicaIndex;
use super::queue::{ModelQueue, QueuedRequest};
use super::request::{DispatchEvent, DispatchEventSender, DispatchRequest, SlotInfo, SlotOutcome};
use super::time::{DispatchTime, SlotReply};

/// Settings of a dispatcher.
#[derive(Debug, Clone, bon::Builder)]
pub struct DispatchSettings {
    /// Maximum age of health evidence for dispatching to a replica.
    pub max_evidence_age: Duration,
    /// Failure domain of this node, preferred for dispatch; none treats all replicas as local.
    pub local_domain: Option<DomainId>,
    /// Maximum number of attempts per request.
    #[builder(default = 8)]
    pub max_attempts: u32,
    /// Seed for random choices; must differ between entries, so that they don't choose alike.
    pub seed: u64,
}

/// Queues, capacity shares and replicas of all models.
#[derive(Debug)]
pub struct DispatchState {
    settings: DispatchSettings,
    started: Instant,
    index: ReplicaIndex,
    models: FastMap<ModelName, ModelQueue>,
    customers: FastMap<CustomerId, CustomerKey>,
    customer_keys: SlotMap<CustomerKey, ()>,
    budget: RetryBudget,
    events: DispatchEventSender,
    entries: u32,
}

impl DispatchState {
    /// Creates a dispatcher without replicas. Slots report to `events`.
    #[must_use]
    pub fn new(settings: DispatchSettings, started: Instant, events: DispatchEventSender) -> Self {
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
            events,
            entries: 1,
            started,
            settings,
        }
    }

    /// Returns the current time on both clocks.
    #[must_use]
    pub fn current_time(&self) -> DispatchTime {
        let instant = Instant::now();
        DispatchTime {
            now: instant.saturating_duration_since(self.started),
            instant,
        }
    }

    /// Sets the number of entries that share the replicas.
    pub fn set_entries(&mut self, entries: u32) {
        if self.entries == entries {
            return;
        }
        self.entries = entries;
        for model_queue in self.models.values_mut() {
            model_queue.share.set_entries(entries);
        }
    }

    /// Updates the replicas and dispatches requests to newly available slots.
    pub fn update_targets(&mut self, at: DispatchTime, view: &TargetView) {
        let mut targets = self.index.update_targets(view, at.now, at.instant);
        for name in targets.keys() {
            if !self.models.contains_key(name) {
                let model_queue = self.new_model(at);
                self.models.insert(name.clone(), model_queue);
            }
        }
        for (name, model_queue) in &mut self.models {
            let targets = targets.remove(name).unwrap_or_default();
            model_queue.candidates = self.index.pool.candidates(targets.keys);
            if let Some(report) = targets.report {
                model_queue.share.record_report(at.now, report);
            }
        }
        self.tick(at);
    }

    fn new_model(&self, at: DispatchTime) -> ModelQueue {
        ModelQueue::new(self.entries, self.settings.seed, at.now)
    }

    /// Rejects expired requests and dispatches requests to newly available slots.
    pub fn tick(&mut self, at: DispatchTime) {
        for model_queue in self.models.values_mut() {
            model_queue.refresh(&self.index, at);
            model_queue.dispatch_ready(&mut self.index, at, &self.events);
        }
    }

    /// Queues a request; `reply` receives its slot or an error.
    pub fn offer(
        &mut self,
        at: DispatchTime,
        number: u64,
        request: DispatchRequest,
        reply: SlotReply,
    ) {
        let customer = self.customer_key(&request.customer);
        if !self.models.contains_key(&request.model) {
            let model_queue = self.new_model(at);
            self.models.insert(request.model.clone(), model_queue);
        }
        let deadline = request.deadline.saturating_duration_since(self.started);
        let Some(model_queue) = self.models.get_mut(&request.model) else {
            return;
        };
        let waiting = QueuedRequest {
            number,
            request,
            customer,
            deadline,
            reply,
        };
        model_queue.offer(at, waiting);
        model_queue.dispatch_ready(&mut self.index, at, &self.events);
    }

    fn customer_key(&mut self, customer: &CustomerId) -> CustomerKey {
        if let Some(key) = self.customers.get(customer) {
            return *key;
        }
        let key = self.customer_keys.insert(());
        self.customers.insert(customer.clone(), key);
        key
    }

    /// Handles an event of a slot or a waiting request.
    pub fn handle_event(&mut self, at: DispatchTime, event: DispatchEvent) {
        match event {
            DispatchEvent::FirstToken { info, elapsed } => {
                self.index
                    .pool
                    .record_first_token(&info.choice, at.now, elapsed);
            }
            DispatchEvent::Abandoned { model, number } => {
                if let Some(model_queue) = self.models.get_mut(&model) {
                    model_queue.cancel(number);
                }
            }
            DispatchEvent::Ended {
                info,
                outcome,
                duration,
                first_token,
            } => self.release_slot(at, &info, outcome, duration, first_token),
        }
    }

    fn release_slot(
        &mut self,
        at: DispatchTime,
        info: &SlotInfo,
        outcome: SlotOutcome,
        duration: Duration,
        first_token: Option<Duration>,
    ) {
        let pool = &mut self.index.pool;
        pool.record_ended(info.choice.target, at.now, duration, outcome.outcome);
        if let Some(cached) = outcome.cached_tokens {
            pool.record_cached_tokens(&info.choice, cached);
        }
        if outcome.outcome == AttemptOutcome::Finished {
            self.budget.record_success();
        }
        let Some(model_queue) = self.models.get_mut(&info.model) else {
            return;
        };
        model_queue.share.record_finished(at.now, duration);
        if outcome.outcome == AttemptOutcome::Full {
            model_queue.share.record_full(at.now);
        }
        let finished = FinishedRequest::builder()
            .customer(info.customer)
            .predicted_cost(info.predicted_cost)
            .actual_cost(outcome.actual_cost)
            .maybe_first_token(first_token)
            .build();
        model_queue.queue.record_finished(at.now, finished);
        model_queue.dispatch_ready(&mut self.index, at, &self.events);
    }

    /// Decides whether a request that failed before its first token is retried.
    pub fn decide_retry(
        &mut self,
        at: DispatchTime,
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

    /// Returns the number of waiting requests of all models.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.models.values().map(ModelQueue::waiting).sum()
    }
}
