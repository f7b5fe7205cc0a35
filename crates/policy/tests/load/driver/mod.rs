//! Callers, entries and engines on a virtual clock, to see what a decision does for callers.

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

pub mod callers;

use callers::TOKEN_TIME;
pub use callers::{Call, Job, PATIENCE, RunResult, Setup, seconds};

const FAIL_TIME: Duration = Duration::from_millis(5);
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
    reads_until: Duration,
    cache: VecDeque<u64>,
}

#[derive(Debug)]
pub struct Driver {
    setup: Setup,
    targets: Vec<TargetKey>,
    customers: Vec<CustomerKey>,
    engines: Vec<Engine>,
    entries: Vec<Entry>,
    jobs: Vec<Job>,
    events: BTreeMap<(Duration, u64), Event>,
    next: u64,
    reports: VecDeque<(Duration, Vec<TargetLoad>)>,
    rng: SmallRng,
    /// Most streams that waited at engines at once.
    pub deepest: usize,
    pub busy_slots: f64,
    last: Duration,
}

impl Driver {
    pub fn new(setup: &Setup) -> Self {
        let mut arena: SlotMap<CustomerKey, ()> = SlotMap::with_key();
        let customers = (0..setup.customers).map(|_| arena.insert(())).collect();
        let entries: Vec<Entry> = (0..setup.entries)
            .map(|index| Entry::new(setup, index))
            .collect();
        let targets = entries[0].list.as_slice().to_vec();
        Self {
            targets,
            customers,
            engines: setup.engines.iter().map(|_| Engine::default()).collect(),
            entries,
            jobs: Vec::new(),
            events: BTreeMap::new(),
            next: 0,
            reports: VecDeque::new(),
            rng: SmallRng::seed_from_u64(setup.seed),
            deepest: 0,
            busy_slots: 0.0,
            last: Duration::ZERO,
            setup: setup.clone(),
        }
    }

    fn plan(&mut self, at: Duration, event: Event) {
        self.next += 1;
        self.events.insert((at, self.next), event);
    }

    /// Runs all calls to their ends and gives each one's job.
    pub fn run(mut self, calls: &[Call]) -> RunResult {
        for (index, call) in calls.iter().enumerate() {
            self.jobs.push(Job::new(call, index));
            self.plan(seconds(call.at), Event::Arrive(index));
        }
        let end = calls.last().map_or(0.0, |call| call.at) + 60.0;
        self.plan(Duration::ZERO, Event::Report);
        self.plan(Duration::ZERO, Event::Tick);
        while let Some(((now, _), event)) = self.events.pop_first() {
            if now > seconds(end) {
                break;
            }
            let running: u32 = self.engines.iter().map(|engine| engine.running).sum();
            self.busy_slots += f64::from(running) * now.saturating_sub(self.last).as_secs_f64();
            self.last = now;
            self.step(now, event);
        }
        RunResult {
            jobs: self.jobs,
            deepest: self.deepest,
            busy_slots: self.busy_slots,
        }
    }

    fn step(&mut self, now: Duration, event: Event) {
        match event {
            Event::Arrive(job) => self.arrive(now, job),
            Event::FirstToken(job, attempt) => self.first_token(now, job, attempt),
            Event::Ended(job, attempt, outcome) => self.ended(now, job, attempt, outcome),
            Event::Report => {
                self.report(now);
                self.plan(now + seconds(self.setup.reports.0), Event::Report);
            }
            Event::Tick => {
                for entry in 0..self.entries.len() {
                    self.pump(now, entry);
                }
                self.plan(now + Duration::from_millis(20), Event::Tick);
            }
        }
    }

    fn load(&self, now: Duration, index: usize) -> TargetLoad {
        let engine = &self.engines[index];
        let rate = self.setup.engines[index].prompt_rate;
        let unread = engine.reads_until.saturating_sub(now).as_secs_f64() * rate;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let prompt_backlog = unread as u64;
        TargetLoad {
            running: engine.running,
            waiting: u32::try_from(engine.waiting.len()).unwrap_or(u32::MAX),
            prompt_backlog,
            prompt_rate: rate,
            age: seconds(self.setup.reports.1),
        }
    }

    /// Takes the load of now down and delivers the one of a lag ago.
    fn report(&mut self, now: Duration) {
        let loads = (0..self.engines.len())
            .map(|index| self.load(now, index))
            .collect();
        self.reports
            .push_back((now + seconds(self.setup.reports.1), loads));
        let due = self.reports.front().is_some_and(|(due, _)| *due <= now);
        let Some((_, loads)) = self.reports.pop_front_if(|_| due) else {
            return;
        };
        let (from, until) = self.setup.blackout;
        if (from..until).contains(&now.as_secs_f64()) {
            return;
        }
        let sum = |field: fn(&TargetLoad) -> u32| loads.iter().map(field).sum();
        let total = PoolReport {
            slots: self.setup.engines.iter().map(|engine| engine.slots).sum(),
            running: sum(|load| load.running),
            waiting: sum(|load| load.waiting),
            age: seconds(self.setup.reports.1),
        };
        for entry in &mut self.entries {
            entry.share.record_report(now, total);
            entry.since.fill(0);
            for (target, load) in self.targets.iter().zip(&loads) {
                entry.pool.record_load(*target, now, *load);
            }
            entry.reported.clone_from(&loads);
        }
    }

    fn arrive(&mut self, now: Duration, index: usize) {
        let job = &mut self.jobs[index];
        job.arrived = now;
        let customer = self.customers[job.call.customer];
        let number = job.call.entry;
        let entry = &mut self.entries[number];
        entry.share.record_offered(now);
        match self.setup.queue {
            QueueKind::Fair => {
                let request = AdmissionRequest::builder()
                    .customer(customer)
                    .deadline(now + PATIENCE)
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
            QueueKind::FirstCome { bound } if entry.line.len() >= bound => {
                self.refuse(now, index, Duration::from_secs(1));
            }
            QueueKind::FirstCome { .. } => entry.line.push_back(index),
        }
        self.pump(now, number);
    }

    fn refuse(&mut self, now: Duration, index: usize, retry_after: Duration) {
        let retry_after = self.setup.fixed_return.unwrap_or(retry_after);
        let job = &mut self.jobs[index];
        job.refused = true;
        job.retry_after = retry_after.as_secs_f64();
        if job.returns < self.setup.returns {
            job.returns += 1;
            self.plan(now + retry_after, Event::Arrive(index));
        }
    }

    fn free(&self, number: usize) -> usize {
        let slots = self.setup.engines.iter().map(|engine| engine.slots).sum();
        self.setup
            .share
            .free(&self.entries[number], slots, self.setup.entries)
    }

    fn pump(&mut self, now: Duration, number: usize) {
        if self.setup.queue == QueueKind::Fair {
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
            let index = match self.setup.queue {
                QueueKind::Fair => {
                    let key = entry.queue.next(now, free);
                    key.map(|key| entry.keys[&key])
                }
                QueueKind::FirstCome { .. } if free == 0 => None,
                QueueKind::FirstCome { .. } => entry.line.pop_front(),
            };
            let Some(index) = index else { return };
            self.send(now, index);
        }
    }

    fn send(&mut self, now: Duration, index: usize) {
        let job = &mut self.jobs[index];
        job.attempts += 1;
        let entry = &mut self.entries[job.call.entry];
        let choice = self
            .setup
            .place
            .choose(entry, job, now, self.setup.affinity, &mut self.rng);
        let engine = self
            .targets
            .iter()
            .position(|target| *target == choice.target);
        job.engine = engine.unwrap_or(0);
        job.choice = Some(choice);
        job.sent = now;
        entry.share.record_sent(now);
        entry.since[job.engine] += 1;
        entry
            .pool
            .record_sent(&choice, &job.request(self.setup.affinity), now);
        let spec = &self.setup.engines[job.engine];
        let ticket = (index, job.attempts);
        let failing = now >= seconds(spec.fails.0) && now < seconds(spec.fails.1);
        if failing || self.engines[job.engine].waiting.len() >= spec.max_queue {
            let outcome = if failing {
                AttemptOutcome::Failed
            } else {
                AttemptOutcome::Full
            };
            self.plan(now + FAIL_TIME, Event::Ended(ticket.0, ticket.1, outcome));
            return;
        }
        let engine = job.engine;
        self.engines[engine].waiting.push_back(ticket);
        self.fill(now, engine);
    }

    fn fill(&mut self, now: Duration, number: usize) {
        let spec = self.setup.engines[number];
        let (factor, from, until) = spec.slow;
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
            let held = engine.cache.contains(&call.shared.0);
            engine.cache.retain(|shared| *shared != call.shared.0);
            engine.cache.push_back(call.shared.0);
            if engine.cache.len() > spec.cache {
                engine.cache.pop_front();
            }
            let cached = if held {
                call.shared.1.min(call.prompt)
            } else {
                0
            };
            if let Some(choice) = self.jobs[index].choice {
                self.entries[call.entry]
                    .pool
                    .record_cached_tokens(&choice, cached);
            }
            let reading = f64::from(call.prompt - cached) / spec.prompt_rate * factor;
            let first = engine.reads_until.max(now) + seconds(reading + 0.01);
            engine.reads_until = first;
            let end = first + seconds(f64::from(call.answer) * TOKEN_TIME * factor);
            self.plan(first, Event::FirstToken(index, attempt));
            self.plan(end, Event::Ended(index, attempt, AttemptOutcome::Finished));
        }
        let waiting: usize = self.engines.iter().map(|engine| engine.waiting.len()).sum();
        self.deepest = self.deepest.max(waiting);
    }

    fn first_token(&mut self, now: Duration, index: usize, attempt: u32) {
        let job = &mut self.jobs[index];
        if job.attempts != attempt {
            return;
        }
        if let Some(choice) = &job.choice {
            let pool = &mut self.entries[job.call.entry].pool;
            pool.record_first_token(choice, now, now.saturating_sub(job.sent));
        }
        job.refused = false;
        job.first = Some(now.saturating_sub(job.sent));
        job.first_token = Some(now.saturating_sub(job.arrived).as_secs_f64());
    }

    fn ended(&mut self, now: Duration, index: usize, attempt: u32, outcome: AttemptOutcome) {
        let job = &mut self.jobs[index];
        if job.attempts != attempt {
            return;
        }
        let (number, engine) = (job.call.entry, job.engine);
        let entry = &mut self.entries[number];
        let stay = now.saturating_sub(job.sent);
        entry
            .pool
            .record_ended(self.targets[engine], now, stay, outcome);
        entry.share.record_finished(now, stay);
        entry.since[engine] -= 1;
        if outcome == AttemptOutcome::Finished {
            self.engines[engine].running -= 1;
            let cost = job.cost();
            let work = FinishedRequest::builder()
                .customer(self.customers[job.call.customer])
                .predicted_cost(cost)
                .actual_cost(cost)
                .maybe_first_token(job.first)
                .build();
            entry.queue.record_finished(now, work);
            self.fill(now, engine);
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
        self.pump(now, number);
    }
}
