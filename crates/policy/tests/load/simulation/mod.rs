//! Discrete-event simulation of clients, entries and engines, to measure what a decision does for
//! clients.

#![allow(clippy::cast_precision_loss)]

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use domain::{CustomerKey, TargetKey};
use policy::admission::{AdmissionRequest, FinishedRequest, OfferOutcome};
use policy::capacity::PoolReport;
use policy::placement::{AttemptOutcome, TargetLoad};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use slotmap::SlotMap;

use crate::baseline::{Entry, QueueKind};

pub mod workload;

use workload::TOKEN_TIME;
pub use workload::{Call, FIRST_TOKEN_LIMIT, Job, Scenario, SimulationResult, seconds};

const FAILURE_DELAY: Duration = Duration::from_millis(5);
const MAX_ATTEMPTS: u32 = 4;

#[derive(Debug, Clone, Copy)]
enum Event {
    Arrive(usize),
    FirstToken(usize, u32),
    Ended(usize, u32, AttemptOutcome),
    Report,
    Tick,
}

#[derive(Debug, Default)]
struct Engine {
    running: u32,
    waiting: VecDeque<(usize, u32)>,
    prefill_done_at: Duration,
    cache: VecDeque<u64>,
}

#[derive(Debug)]
pub struct Simulation {
    scenario: Scenario,
    targets: Vec<TargetKey>,
    customers: Vec<CustomerKey>,
    engines: Vec<Engine>,
    entries: Vec<Entry>,
    jobs: Vec<Job>,
    events: BTreeMap<(Duration, u64), Event>,
    next_event_id: u64,
    reports: VecDeque<(Duration, Vec<TargetLoad>)>,
    rng: SmallRng,
    /// Maximum number of streams that were queued at all engines together.
    pub max_engine_queue: usize,
    pub slot_seconds: f64,
    last_event_at: Duration,
}

impl Simulation {
    pub fn new(scenario: &Scenario) -> Self {
        let mut arena: SlotMap<CustomerKey, ()> = SlotMap::with_key();
        let customers = (0..scenario.customers).map(|_| arena.insert(())).collect();
        let entries: Vec<Entry> = (0..scenario.entries)
            .map(|index| Entry::new(scenario, index))
            .collect();
        let targets = entries[0].candidates.as_slice().to_vec();
        Self {
            targets,
            customers,
            engines: scenario.engines.iter().map(|_| Engine::default()).collect(),
            entries,
            jobs: Vec::new(),
            events: BTreeMap::new(),
            next_event_id: 0,
            reports: VecDeque::new(),
            rng: SmallRng::seed_from_u64(scenario.seed),
            max_engine_queue: 0,
            slot_seconds: 0.0,
            last_event_at: Duration::ZERO,
            scenario: scenario.clone(),
        }
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.next_event_id += 1;
        self.events.insert((at, self.next_event_id), event);
    }

    /// Runs all calls, until 60 s after the last one arrives, and returns a record of each.
    pub fn run(mut self, calls: &[Call]) -> SimulationResult {
        for (index, call) in calls.iter().enumerate() {
            self.jobs.push(Job::new(call, index));
            self.schedule(seconds(call.at), Event::Arrive(index));
        }
        let end = calls.last().map_or(0.0, |call| call.at) + 60.0;
        self.schedule(Duration::ZERO, Event::Report);
        self.schedule(Duration::ZERO, Event::Tick);
        while let Some(((now, _), event)) = self.events.pop_first() {
            if now > seconds(end) {
                break;
            }
            let running: u32 = self.engines.iter().map(|engine| engine.running).sum();
            self.slot_seconds +=
                f64::from(running) * now.saturating_sub(self.last_event_at).as_secs_f64();
            self.last_event_at = now;
            self.handle(now, event);
        }
        SimulationResult {
            jobs: self.jobs,
            max_engine_queue: self.max_engine_queue,
            slot_seconds: self.slot_seconds,
        }
    }

    fn handle(&mut self, now: Duration, event: Event) {
        match event {
            Event::Arrive(job) => self.arrive(now, job),
            Event::FirstToken(job, attempt) => self.first_token(now, job, attempt),
            Event::Ended(job, attempt, outcome) => self.end_attempt(now, job, attempt, outcome),
            Event::Report => {
                self.report(now);
                self.schedule(now + seconds(self.scenario.report_timing.0), Event::Report);
            }
            Event::Tick => {
                for entry in 0..self.entries.len() {
                    self.dispatch(now, entry);
                }
                self.schedule(now + Duration::from_millis(20), Event::Tick);
            }
        }
    }

    fn load(&self, now: Duration, index: usize) -> TargetLoad {
        let engine = &self.engines[index];
        let rate = self.scenario.engines[index].prompt_rate;
        let unprocessed = engine.prefill_done_at.saturating_sub(now).as_secs_f64() * rate;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let prompt_backlog = unprocessed as u64;
        TargetLoad {
            running: engine.running,
            waiting: u32::try_from(engine.waiting.len()).unwrap_or(u32::MAX),
            prompt_backlog,
            prompt_rate: rate,
            age: seconds(self.scenario.report_timing.1),
        }
    }

    /// Samples the current load and delivers the sample taken one report lag ago.
    fn report(&mut self, now: Duration) {
        let loads = (0..self.engines.len())
            .map(|index| self.load(now, index))
            .collect();
        self.reports
            .push_back((now + seconds(self.scenario.report_timing.1), loads));
        let due = self.reports.front().is_some_and(|(due, _)| *due <= now);
        let Some((_, loads)) = self.reports.pop_front_if(|_| due) else {
            return;
        };
        let (from, until) = self.scenario.report_outage;
        if (from..until).contains(&now.as_secs_f64()) {
            return;
        }
        let sum = |field: fn(&TargetLoad) -> u32| loads.iter().map(field).sum();
        let total = PoolReport {
            slots: self
                .scenario
                .engines
                .iter()
                .map(|engine| engine.slots)
                .sum(),
            running: sum(|load| load.running),
            waiting: sum(|load| load.waiting),
            age: seconds(self.scenario.report_timing.1),
        };
        for entry in &mut self.entries {
            entry.share.record_report(now, total);
            entry.changes_since_report.fill(0);
            for (target, load) in self.targets.iter().zip(&loads) {
                entry.pool.record_load(*target, now, *load);
            }
            entry.reported.clone_from(&loads);
        }
    }

    fn arrive(&mut self, now: Duration, index: usize) {
        let job = &mut self.jobs[index];
        job.arrived_at = now;
        let customer = self.customers[job.call.customer];
        let number = job.call.entry;
        let entry = &mut self.entries[number];
        entry.share.record_offered(now);
        match self.scenario.queue {
            QueueKind::Fair => {
                let request = AdmissionRequest::builder()
                    .customer(customer)
                    .deadline(now + FIRST_TOKEN_LIMIT)
                    .cost(job.cost())
                    .build();
                match entry.queue.offer(now, request) {
                    OfferOutcome::Admitted(key) => {
                        entry.keys.insert(key, index);
                    }
                    OfferOutcome::Refused { retry_after, .. } => {
                        self.refuse(now, index, retry_after);
                    }
                }
            }
            QueueKind::Fifo { limit } if entry.fifo.len() >= limit => {
                self.refuse(now, index, Duration::from_secs(1));
            }
            QueueKind::Fifo { .. } => entry.fifo.push_back(index),
        }
        self.dispatch(now, number);
    }

    fn refuse(&mut self, now: Duration, index: usize, retry_after: Duration) {
        let retry_after = self.scenario.fixed_retry_after.unwrap_or(retry_after);
        let job = &mut self.jobs[index];
        job.refused = true;
        job.retry_after = retry_after.as_secs_f64();
        if job.retries < self.scenario.max_retries {
            job.retries += 1;
            self.schedule(now + retry_after, Event::Arrive(index));
        }
    }

    fn free(&self, number: usize) -> usize {
        let slots = self
            .scenario
            .engines
            .iter()
            .map(|engine| engine.slots)
            .sum();
        self.scenario
            .share
            .free(&self.entries[number], slots, self.scenario.entries)
    }

    fn dispatch(&mut self, now: Duration, number: usize) {
        if self.scenario.queue == QueueKind::Fair {
            for key in self.entries[number].queue.expire(now) {
                let index = self.entries[number].keys[&key];
                let cost = self.jobs[index].cost();
                let retry_after = self.entries[number].queue.retry_after(now, cost);
                self.refuse(now, index, retry_after);
            }
        }
        loop {
            let free = self.free(number);
            let entry = &mut self.entries[number];
            let index = match self.scenario.queue {
                QueueKind::Fair => {
                    let key = entry.queue.next(now, free);
                    key.map(|key| entry.keys[&key])
                }
                QueueKind::Fifo { .. } if free == 0 => None,
                QueueKind::Fifo { .. } => entry.fifo.pop_front(),
            };
            let Some(index) = index else { return };
            self.send(now, index);
        }
    }

    fn send(&mut self, now: Duration, index: usize) {
        let job = &mut self.jobs[index];
        job.attempts += 1;
        let entry = &mut self.entries[job.call.entry];
        let choice =
            self.scenario
                .placement
                .choose(entry, job, now, self.scenario.affinity, &mut self.rng);
        let engine = self
            .targets
            .iter()
            .position(|target| *target == choice.target);
        job.engine = engine.unwrap_or(0);
        job.choice = Some(choice);
        job.sent_at = now;
        entry.share.record_sent(now);
        entry.changes_since_report[job.engine] += 1;
        entry
            .pool
            .record_sent(&choice, &job.request(self.scenario.affinity), now);
        let spec = &self.scenario.engines[job.engine];
        let ticket = (index, job.attempts);
        let failing = now >= seconds(spec.failing.0) && now < seconds(spec.failing.1);
        if failing || self.engines[job.engine].waiting.len() >= spec.max_queue {
            let outcome = if failing {
                AttemptOutcome::Failed
            } else {
                AttemptOutcome::Full
            };
            self.schedule(
                now + FAILURE_DELAY,
                Event::Ended(ticket.0, ticket.1, outcome),
            );
            return;
        }
        let engine = job.engine;
        self.engines[engine].waiting.push_back(ticket);
        self.start_streams(now, engine);
    }

    fn start_streams(&mut self, now: Duration, number: usize) {
        let spec = self.scenario.engines[number];
        let (factor, from, until) = spec.slowdown;
        let slow = now >= seconds(from) && now < seconds(until);
        let factor = if slow { factor } else { 1.0 };
        while self.engines[number].running < spec.slots {
            let engine = &mut self.engines[number];
            let Some((index, attempt)) = engine.waiting.pop_front() else {
                break;
            };
            engine.running += 1;
            self.jobs[index].started = true;
            let call = self.jobs[index].call;
            let cached_prompt = engine.cache.contains(&call.shared.0);
            engine.cache.retain(|shared| *shared != call.shared.0);
            engine.cache.push_back(call.shared.0);
            if engine.cache.len() > spec.cache_capacity {
                engine.cache.pop_front();
            }
            let cached = if cached_prompt {
                call.shared.1.min(call.prompt)
            } else {
                0
            };
            if let Some(choice) = self.jobs[index].choice {
                self.entries[call.entry]
                    .pool
                    .record_cached_tokens(&choice, cached);
            }
            let prefill = f64::from(call.prompt - cached) / spec.prompt_rate * factor;
            let first_token_at = engine.prefill_done_at.max(now) + seconds(prefill + 0.01);
            engine.prefill_done_at = first_token_at;
            let end = first_token_at + seconds(f64::from(call.response) * TOKEN_TIME * factor);
            self.schedule(first_token_at, Event::FirstToken(index, attempt));
            self.schedule(end, Event::Ended(index, attempt, AttemptOutcome::Finished));
        }
        let waiting: usize = self.engines.iter().map(|engine| engine.waiting.len()).sum();
        self.max_engine_queue = self.max_engine_queue.max(waiting);
    }

    fn first_token(&mut self, now: Duration, index: usize, attempt: u32) {
        let job = &mut self.jobs[index];
        if job.attempts != attempt {
            return;
        }
        if let Some(choice) = &job.choice {
            let pool = &mut self.entries[job.call.entry].pool;
            pool.record_first_token(choice, now, now.saturating_sub(job.sent_at));
        }
        job.refused = false;
        job.target_first_token = Some(now.saturating_sub(job.sent_at));
        job.first_token = Some(now.saturating_sub(job.arrived_at).as_secs_f64());
    }

    fn end_attempt(&mut self, now: Duration, index: usize, attempt: u32, outcome: AttemptOutcome) {
        let job = &mut self.jobs[index];
        if job.attempts != attempt {
            return;
        }
        let (number, engine) = (job.call.entry, job.engine);
        let entry = &mut self.entries[number];
        let duration = now.saturating_sub(job.sent_at);
        entry
            .pool
            .record_ended(self.targets[engine], now, duration, outcome);
        entry.share.record_finished(now, duration);
        entry.changes_since_report[engine] -= 1;
        if outcome == AttemptOutcome::Finished {
            self.engines[engine].running -= 1;
            let cost = job.cost();
            let finished = FinishedRequest::builder()
                .customer(self.customers[job.call.customer])
                .predicted_cost(cost)
                .actual_cost(cost)
                .maybe_first_token(job.target_first_token)
                .build();
            entry.queue.record_finished(now, finished);
            self.start_streams(now, engine);
        } else {
            if outcome == AttemptOutcome::Full {
                entry.share.record_full(now);
            }
            job.failures += 1;
            if attempt < MAX_ATTEMPTS {
                self.send(now, index);
            } else {
                self.refuse(now, index, Duration::from_secs(1));
            }
        }
        self.dispatch(now, number);
    }
}
