//! Verdicts on requests, and the log of how they change.

use std::time::Duration;

use events::{EventCode, LogLine};
use serving::{BarredSet, PoisonDetector, RequestFeature};

use crate::node::GatewayNode;

/// Where evidence comes from, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EvidenceSource {
    /// This node has seen a crash itself.
    OwnCrash,
    /// It was read from the store.
    Store,
    /// Answers since, or time alone.
    Review,
}

impl EvidenceSource {
    fn label(self) -> &'static str {
        match self {
            Self::OwnCrash => "own crash",
            Self::Store => "store",
            Self::Review => "review",
        }
    }
}

/// Names features as they stand in the log and in the store.
#[must_use]
pub fn describe_features(features: &[RequestFeature]) -> String {
    let texts: Vec<String> = features.iter().map(ToString::to_string).collect();
    texts.join(" ")
}

impl GatewayNode {
    /// Estimated time on the clock of evidence: the store's, or this process's until that is known.
    #[must_use]
    pub fn evidence_time(&self) -> Duration {
        self.store_clock().unwrap_or_else(|| self.now())
    }

    /// The time on the clock of evidence that was `at` on this process's clock.
    #[must_use]
    pub fn evidence_time_at(&self, at: Duration) -> Duration {
        let elapsed = self.now().saturating_sub(at);
        self.evidence_time().saturating_sub(elapsed)
    }

    /// Adds evidence and recomputes the verdicts.
    pub fn update_crashes(&self, source: EvidenceSource, update: impl FnOnce(&mut PoisonDetector)) {
        let now = self.evidence_time();
        let mut detector = self.crashes.detector.borrow_mut();
        let before = detector.barred().to_vec();
        update(&mut detector);
        detector.evaluate(now);
        let after = detector.barred().to_vec();
        drop(detector);
        let is_new = |set: &&BarredSet| !before.iter().any(|known| known.features == set.features);
        self.log_sets(after.iter().filter(is_new), "barred", source);
        let is_gone = |set: &&BarredSet| !after.iter().any(|known| known.features == set.features);
        self.log_sets(before.iter().filter(is_gone), "cleared", source);
        let is_proved = |set: &&BarredSet| {
            let mut known = before.iter();
            set.is_proved && !known.any(|known| known.is_proved && known.features == set.features)
        };
        self.log_sets(after.iter().filter(is_proved), "proved", source);
        if !self.crashes.unreported_sound().is_empty() {
            self.crashes.evidence_found.notify_one();
        }
    }

    fn log_sets<'a>(
        &self,
        sets: impl Iterator<Item = &'a BarredSet>,
        outcome: &str,
        source: EvidenceSource,
    ) {
        for set in sets {
            let count = |count: usize| u64::try_from(count).unwrap_or(u64::MAX);
            let line = LogLine::new(EventCode::RequestBarred)
                .text("mark", &describe_features(&set.features))
                .text("outcome", outcome)
                .text("source", source.label())
                .number("crashes", count(set.crashes))
                .millis("span_ms", set.crash_span)
                .number("other_ends", count(set.other_ends));
            let line = match set.newest_sound {
                Some(sound) => line.millis("sound_ms", self.evidence_time().saturating_sub(sound)),
                None => line,
            };
            self.log(&line);
        }
    }

    /// Sets the store's clock as just read; [`GatewayNode::store_clock`] extrapolates from it.
    pub fn set_store_clock(&self, clock: Duration) {
        self.store_clock.set(Some((clock, self.now())));
    }

    /// Estimated current time of the store's clock, once it has been read.
    #[must_use]
    pub fn store_clock(&self) -> Option<Duration> {
        let (clock, at) = self.store_clock.get()?;
        Some(clock + self.now().saturating_sub(at))
    }
}
