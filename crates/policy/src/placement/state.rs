//! What an entry knows of one target.

use std::collections::VecDeque;
use std::time::Duration;

use bon::Builder;
use domain::AdapterName;

use super::health::TargetHealth;

/// Sends and ends that are kept to correct the reported load; older ones are in the report.
const MAX_CHANGES: usize = 512;

/// What is fixed about a target.
#[derive(Debug, Clone, Default, PartialEq, Eq, Builder)]
pub struct TargetProperties {
    /// Streams that it runs at once; 0 while it is unknown.
    #[builder(default)]
    pub slots: u32,
    /// Round trip to it from this entry.
    #[builder(default)]
    pub round_trip: Duration,
    /// Adapters that it has loaded.
    #[builder(default)]
    pub adapters: Vec<AdapterName>,
}

/// A target's load as it was reported.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TargetLoad {
    /// Streams in the batch.
    pub running: u32,
    /// Streams that wait for a place in it.
    pub waiting: u32,
    /// Prompt tokens that wait to be read.
    pub prompt_backlog: u64,
    /// Prompt tokens read a second; 0 when unknown, as for an idle engine.
    pub prompt_rate: f64,
    /// Age of the figures when they arrived.
    pub age: Duration,
}

/// How an attempt on a target ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The target gave all it was asked for.
    Finished,
    /// The target said that it has no room. It is healthy, but its report was out of date.
    Full,
    /// It failed, refused or fell silent.
    Failed,
    /// The caller left or the attempt was no longer wanted; it says nothing about the target.
    Cancelled,
}

/// Longest time in seconds that a prompt backlog is believed to take.
const LONGEST_READING: f64 = 600.0;

#[derive(Debug, Clone, Copy)]
struct LoadChange {
    at: Duration,
    streams: i32,
    prompt_tokens: u32,
}

/// What an entry knows of one target.
#[derive(Debug, Default)]
pub(super) struct TargetState {
    pub properties: TargetProperties,
    pub health: TargetHealth,
    load: TargetLoad,
    reported_at: Duration,
    changes: VecDeque<LoadChange>,
    changed_streams: i32,
    /// Prompt tokens read a second, as far as it is known.
    prompt_rate: f64,
    /// When the prompts that were sent before now will have been read.
    reads_until: Duration,
    pub in_flight: u32,
    /// Part of the predicted cached tokens that were really cached; fades towards trust.
    pub cache_trust: f64,
}

/// Streams and prompts at a target, as far as an entry can tell.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct LoadEstimate {
    pub streams: f64,
    /// Seconds until the prompts that are there have been read.
    pub reading: f64,
    /// Prompt tokens read a second.
    pub prompt_rate: f64,
}

impl TargetState {
    pub fn new(properties: TargetProperties, prompt_rate: f64) -> Self {
        Self {
            properties,
            prompt_rate,
            cache_trust: 1.0,
            ..Self::default()
        }
    }

    /// Takes a report in and forgets the own changes that it already shows.
    pub fn record_load(&mut self, now: Duration, load: TargetLoad) {
        let at = now.saturating_sub(load.age);
        if at < self.reported_at {
            return;
        }
        self.load = load;
        self.reported_at = at;
        self.prompt_rate = self.prompt_rate.max(load.prompt_rate);
        while let Some(change) = self.changes.front().copied() {
            if change.at > at {
                break;
            }
            self.changes.pop_front();
            self.changed_streams -= change.streams;
        }
        #[allow(clippy::cast_precision_loss)]
        let backlog = load.prompt_backlog as f64;
        self.reads_until = at + self.reading_time(backlog);
        for index in 0..self.changes.len() {
            self.queue_prompt(self.changes[index]);
        }
    }

    fn reading_time(&self, tokens: f64) -> Duration {
        let seconds = tokens / self.prompt_rate.max(1.0);
        Duration::from_secs_f64(seconds.clamp(0.0, LONGEST_READING))
    }

    /// Prompts are read one after another, each not before it was sent.
    fn queue_prompt(&mut self, change: LoadChange) {
        if change.prompt_tokens == 0 {
            return;
        }
        let time = self.reading_time(f64::from(change.prompt_tokens));
        self.reads_until = self.reads_until.max(change.at) + time;
    }

    fn change(&mut self, change: LoadChange) {
        if self.changes.len() == MAX_CHANGES
            && let Some(oldest) = self.changes.pop_front()
        {
            self.changed_streams -= oldest.streams;
        }
        self.changed_streams += change.streams;
        self.queue_prompt(change);
        self.changes.push_back(change);
    }

    pub fn record_sent(&mut self, now: Duration, prompt_tokens: u32) {
        self.in_flight += 1;
        self.change(LoadChange {
            at: now,
            streams: 1,
            prompt_tokens,
        });
    }

    pub fn record_ended(&mut self, now: Duration) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.change(LoadChange {
            at: now,
            streams: -1,
            prompt_tokens: 0,
        });
    }

    /// A target that refuses for want of room is full, whatever its last report says.
    pub fn record_full(&mut self, now: Duration) {
        self.load.running = self.load.running.max(self.properties.slots);
        self.load.waiting += 1;
        self.reported_at = now;
    }

    /// The reported load with the own sends and ends since, and never below the own streams.
    ///
    /// Made for reports that lag by a second while dozens of requests arrive: without the own
    /// sends every request until the next report would go to the same idle-looking target.
    pub fn estimate(&self, now: Duration) -> LoadEstimate {
        let reported = f64::from(self.load.running) + f64::from(self.load.waiting);
        let streams = (reported + f64::from(self.changed_streams)).max(f64::from(self.in_flight));
        LoadEstimate {
            streams,
            reading: self.reads_until.saturating_sub(now).as_secs_f64(),
            prompt_rate: self.prompt_rate,
        }
    }
}
