//! Verdicts on requests, and the log of how they change.

use std::time::Duration;

use events::{EventCode, LogLine};
use serving::hashing::rendezvous_rank;
use serving::{BarredSet, PoisonDetector, PoisonVerdict, RequestFeature};

use crate::admitted::AdmittedRequest;
use crate::node::GatewayNode;

/// Time for which it is one node's turn to let a request of a barred set through.
const TRIAL_TURN: Duration = Duration::from_secs(10);

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

    /// The verdict on a request that arrives. At times a request of a barred set is let through to a single
    /// target: nothing else would show that the verdict is wrong, or the cause mended.
    #[must_use]
    pub fn verdict_on_arrival(&self, request: &AdmittedRequest) -> PoisonVerdict {
        let verdict = self.crashes.verdict(request);
        if verdict != PoisonVerdict::Barred {
            return verdict;
        }
        let set = self.crashes.barred_set(request);
        if set.is_some_and(|set| self.takes_trial(&set)) {
            return PoisonVerdict::Suspect;
        }
        PoisonVerdict::Barred
    }

    /// Whether this node lets one request of a barred set through now. One node at a time does, so that a
    /// trial costs one target at most.
    fn takes_trial(&self, set: &BarredSet) -> bool {
        let now = self.evidence_time();
        if now < set.trial_at {
            return false;
        }
        let turn = now.as_millis() / TRIAL_TURN.as_millis();
        let marks = describe_features(&set.features);
        let subject = format!("{marks} {turn}");
        let own = self.settings.node.as_str();
        let rank = self.with_live_nodes(|nodes| {
            rendezvous_rank(own, nodes.iter().map(String::as_str), &subject)
        });
        let mut turns = self.crashes.trial_turns.borrow_mut();
        if rank > 0 || turns.get(&set.features) == Some(&turn) {
            return false;
        }
        turns.insert(set.features.clone(), turn);
        self.log(
            &LogLine::new(EventCode::RequestBarred)
                .text("mark", &marks)
                .text("outcome", "tried"),
        );
        true
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
        self.log_changes(&before, &after, "barred", source);
        self.log_changes(&after, &before, "cleared", source);
        if !self.crashes.unreported_sound().is_empty() {
            self.crashes.evidence_found.notify_one();
        }
    }

    fn log_changes(
        &self,
        known: &[BarredSet],
        sets: &[BarredSet],
        outcome: &str,
        source: EvidenceSource,
    ) {
        for set in sets {
            if known.iter().any(|known| known.features == set.features) {
                continue;
            }
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
