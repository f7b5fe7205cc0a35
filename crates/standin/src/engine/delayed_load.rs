//! Load as it is reported: with a lag.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use wire::engine::EngineLoad;

/// Samples within one lag.
const SAMPLES_PER_LAG: u32 = 8;

/// The load of a while ago.
#[derive(Debug)]
pub struct DelayedLoad {
    lag: Duration,
    samples: VecDeque<(Instant, EngineLoad)>,
}

impl DelayedLoad {
    /// A report with a lag.
    #[must_use]
    pub fn new(lag: Duration) -> Self {
        Self {
            lag,
            samples: VecDeque::new(),
        }
    }

    /// Notes the load of now.
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

    /// The load that is reported now, with its age.
    #[must_use]
    pub fn current(&self, now: Instant) -> EngineLoad {
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
