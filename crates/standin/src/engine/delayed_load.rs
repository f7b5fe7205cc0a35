//! Load reports with a delay, as a real engine's metrics have.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use wire::engine::EngineLoad;

/// Number of samples taken within one lag.
const SAMPLES_PER_LAG: u32 = 8;

/// Samples of the load, reported once they are `lag` old.
#[derive(Debug)]
pub struct DelayedLoad {
    lag: Duration,
    samples: VecDeque<(Instant, EngineLoad)>,
}

impl DelayedLoad {
    /// Creates a report that is delayed by `lag`.
    #[must_use]
    pub fn new(lag: Duration) -> Self {
        Self {
            lag,
            samples: VecDeque::new(),
        }
    }

    /// Records the current load, at most [`SAMPLES_PER_LAG`] times per lag.
    pub fn record(&mut self, load: EngineLoad, now: Instant) {
        let sampled_recently = self
            .samples
            .back()
            .is_some_and(|(at, _)| now.duration_since(*at) < self.lag / SAMPLES_PER_LAG);
        if !sampled_recently {
            self.samples.push_back((now, load));
        }
        while let Some((at, _)) = self.samples.get(1)
            && now.duration_since(*at) >= self.lag
        {
            self.samples.pop_front();
        }
    }

    /// Returns the load to report now, with its age; the default load before the first sample.
    #[must_use]
    pub fn reported(&self, now: Instant) -> EngineLoad {
        let Some((at, load)) = self.samples.front() else {
            return EngineLoad::default();
        };
        let age = now.duration_since(*at).as_millis();
        EngineLoad {
            age_ms: u64::try_from(age).unwrap_or(u64::MAX),
            ..*load
        }
    }
}
