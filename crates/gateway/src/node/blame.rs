//! What the node holds against requests under which targets ended.

use std::time::Duration;

use events::{EventCode, EventLine};
use serving::{CrashedRequest, PoisonDetector, PoisonVerdict, RequestFingerprint};

use super::GatewayNode;
use crate::admitted::AdmittedRequest;
use crate::crash::InterruptedRequests;

impl GatewayNode {
    /// Uses the runs that broke off.
    pub fn with_interrupted<R>(&self, use_them: impl FnOnce(&mut InterruptedRequests) -> R) -> R {
        use_them(&mut self.interrupted.borrow_mut())
    }

    /// What is held against a request.
    #[must_use]
    pub fn blame_standing(&self, request: &AdmittedRequest) -> PoisonVerdict {
        let blame = self.blame.borrow();
        // Bodies are hashed only while some request is suspected.
        if blame.is_clear() {
            return PoisonVerdict::Clear;
        }
        blame.verdict(request.fingerprint())
    }

    /// Whether a request among those at an ended target is barred or suspected.
    #[must_use]
    pub fn suspects_any(&self, runs: &[CrashedRequest]) -> bool {
        let blame = self.blame.borrow();
        let mut runs = runs.iter();
        runs.any(|run| blame.verdict(run.fingerprint) != PoisonVerdict::Clear)
    }

    /// Whether no request is barred or suspected.
    #[must_use]
    pub fn blames_nobody(&self) -> bool {
        self.blame.borrow().is_clear()
    }

    /// Adds to what is known of ended targets, and judges anew.
    pub fn take_ends(&self, add: impl FnOnce(&mut PoisonDetector)) {
        let mut blame = self.blame.borrow_mut();
        let before = blame.barred();
        add(&mut blame);
        blame.evaluate(self.now());
        let after = blame.barred();
        drop(blame);
        self.log_barred(&before, &after, "barred");
        self.log_barred(&after, &before, "cleared");
    }

    fn log_barred(
        &self,
        known: &[RequestFingerprint],
        marks: &[RequestFingerprint],
        outcome: &str,
    ) {
        for mark in marks {
            if known.contains(mark) {
                continue;
            }
            let line = EventLine::new(EventCode::RequestBarred)
                .text("mark", &mark.to_string())
                .text("outcome", outcome);
            self.log(&line);
        }
    }

    /// Takes what the store's clock shows now.
    pub fn set_store_clock(&self, clock: Duration) {
        self.store_clock.set(Some((clock, self.now())));
    }

    /// What the store's clock shows now, once it is known.
    #[must_use]
    pub fn store_clock(&self) -> Option<Duration> {
        let (clock, at) = self.store_clock.get()?;
        Some(clock + self.now().saturating_sub(at))
    }
}
