//! Load, health and properties of one target as this entry knows them.

use std::collections::VecDeque;
use std::time::Duration;

use bon::Builder;
use domain::AdapterName;

use super::health::TargetHealth;

/// Maximum number of own sends and ends kept to correct the reported load. Older ones are part of
/// the report.
const MAX_CHANGES: usize = 512;

/// Properties of a target that don't depend on its load.
#[derive(Debug, Clone, Default, PartialEq, Eq, Builder)]
pub struct TargetProperties {
    /// Number of streams that it runs concurrently; 0 if unknown.
    #[builder(default)]
    pub slots: u32,
    /// Round-trip time between this entry and the target.
    #[builder(default)]
    pub round_trip: Duration,
    /// Adapters that the target has loaded; any other must be loaded before a request that needs
    /// it.
    #[builder(default)]
    pub adapters: Vec<AdapterName>,
}

/// Load of a target according to a report.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TargetLoad {
    /// Number of streams in the batch, from all entries.
    pub running: u32,
    /// Number of streams queued for a place in the batch, from all entries.
    pub waiting: u32,
    /// Number of prompt tokens waiting for prefill.
    pub prompt_backlog: u64,
    /// Prefill rate in prompt tokens per second; 0 if unknown, as for an idle engine.
    pub prompt_rate: f64,
    /// Age of the figures on arrival.
    pub age: Duration,
}

/// Result of an attempt on a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The target completed the request.
    Finished,
    /// The target had no capacity. It is healthy, but its last report was out of date.
    Full,
    /// The attempt failed, was refused or timed out; counts against the target's health.
    Failed,
    /// The client disconnected or the attempt was no longer needed; says nothing about the target.
    Cancelled,
}

/// Upper limit in seconds of the estimated prefill time of a backlog.
const MAX_PREFILL_SECONDS: f64 = 600.0;

#[derive(Debug, Clone, Copy)]
struct LoadChange {
    at: Duration,
    streams: i32,
    prompt_tokens: u32,
}

/// What this entry knows about one target.
#[derive(Debug, Default)]
pub(super) struct TargetState {
    pub properties: TargetProperties,
    pub health: TargetHealth,
    load: TargetLoad,
    reported_at: Duration,
    changes: VecDeque<LoadChange>,
    stream_delta: i32,
    /// Highest prefill rate reported so far, in prompt tokens per second; initially the assumed
    /// one.
    prompt_rate: f64,
    /// Time at which the prefill of all prompts sent so far is expected to be done.
    prefill_done_at: Duration,
    pub in_flight: u32,
    /// Moving average of actually cached tokens as a fraction of predicted ones; starts at 1.
    pub cache_accuracy: f64,
}

/// Estimated load of a target at a point in time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct LoadEstimate {
    pub streams: f64,
    /// Seconds until the prefill of the prompts at the target is done.
    pub prefill_seconds: f64,
    /// Prefill rate in prompt tokens per second.
    pub prompt_rate: f64,
}

impl TargetState {
    pub fn new(properties: TargetProperties, prompt_rate: f64) -> Self {
        Self {
            properties,
            prompt_rate,
            cache_accuracy: 1.0,
            ..Self::default()
        }
    }

    /// Applies a report and drops the own sends and ends that it already includes.
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
            self.stream_delta -= change.streams;
        }
        #[allow(clippy::cast_precision_loss)]
        let backlog = load.prompt_backlog as f64;
        self.prefill_done_at = at + self.prefill_time(backlog);
        for index in 0..self.changes.len() {
            self.enqueue_prefill(self.changes[index]);
        }
    }

    fn prefill_time(&self, tokens: f64) -> Duration {
        let seconds = tokens / self.prompt_rate.max(1.0);
        Duration::from_secs_f64(seconds.clamp(0.0, MAX_PREFILL_SECONDS))
    }

    /// Adds a prompt to the prefill backlog. Prompts are processed one after another, each no
    /// earlier than it was sent.
    fn enqueue_prefill(&mut self, change: LoadChange) {
        if change.prompt_tokens == 0 {
            return;
        }
        let time = self.prefill_time(f64::from(change.prompt_tokens));
        self.prefill_done_at = self.prefill_done_at.max(change.at) + time;
    }

    fn apply(&mut self, change: LoadChange) {
        if self.changes.len() == MAX_CHANGES
            && let Some(oldest) = self.changes.pop_front()
        {
            self.stream_delta -= oldest.streams;
        }
        self.stream_delta += change.streams;
        self.enqueue_prefill(change);
        self.changes.push_back(change);
    }

    pub fn record_sent(&mut self, now: Duration, prompt_tokens: u32) {
        self.in_flight += 1;
        self.apply(LoadChange {
            at: now,
            streams: 1,
            prompt_tokens,
        });
    }

    pub fn record_ended(&mut self, now: Duration) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.apply(LoadChange {
            at: now,
            streams: -1,
            prompt_tokens: 0,
        });
    }

    /// Marks the target as full, whatever its last report says, because it refused a request for
    /// lack of capacity.
    pub fn record_full(&mut self, now: Duration) {
        self.load.running = self.load.running.max(self.properties.slots);
        self.load.waiting += 1;
        self.reported_at = now;
    }

    /// Returns the reported load corrected by this entry's own sends and ends since then, but no
    /// less than its own streams.
    ///
    /// Reports may be a second old while dozens of requests arrive. Without the correction, all
    /// requests until the next report would be sent to the same target that appears idle.
    pub fn estimate(&self, now: Duration) -> LoadEstimate {
        let reported = f64::from(self.load.running) + f64::from(self.load.waiting);
        let streams = (reported + f64::from(self.stream_delta)).max(f64::from(self.in_flight));
        LoadEstimate {
            streams,
            prefill_seconds: self.prefill_done_at.saturating_sub(now).as_secs_f64(),
            prompt_rate: self.prompt_rate,
        }
    }
}
