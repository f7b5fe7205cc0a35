//! Requests suspected of crashing targets.

use std::time::Duration;

use events::{EventCode, LogLine};
use serving::{CrashedRequest, PoisonDetector, PoisonVerdict, RequestFingerprint};

use super::GatewayNode;
use crate::admitted::AdmittedRequest;
use crate::crash::InterruptedRequests;

impl GatewayNode {
    /// Calls `access` with the interrupted requests at targets not yet known to have crashed.
    pub fn with_interrupted<R>(&self, access: impl FnOnce(&mut InterruptedRequests) -> R) -> R {
        access(&mut self.interrupted.borrow_mut())
    }

    /// Whether a request is clear, suspected (one attempt only) or barred (sent to no target).
    #[must_use]
    pub fn poison_verdict(&self, request: &AdmittedRequest) -> PoisonVerdict {
        let detector = self.poison.borrow();
        // Bodies are hashed only while some request is suspected.
        if detector.is_clear() {
            return PoisonVerdict::Clear;
        }
        detector.verdict(request.fingerprint())
    }

    /// Whether any of these requests is barred or suspected.
    #[must_use]
    pub fn suspects_any(&self, requests: &[CrashedRequest]) -> bool {
        let detector = self.poison.borrow();
        let mut requests = requests.iter();
        requests.any(|request| detector.verdict(request.fingerprint) != PoisonVerdict::Clear)
    }

    /// Whether no request is barred or suspected.
    #[must_use]
    pub fn suspects_no_request(&self) -> bool {
        self.poison.borrow().is_clear()
    }

    /// Updates the crash records and re-evaluates which requests are barred.
    pub fn update_crashes(&self, update: impl FnOnce(&mut PoisonDetector)) {
        let mut detector = self.poison.borrow_mut();
        let before = detector.barred();
        update(&mut detector);
        detector.evaluate(self.now());
        let after = detector.barred();
        drop(detector);
        self.log_barred(&before, &after, "barred");
        self.log_barred(&after, &before, "cleared");
    }

    fn log_barred(
        &self,
        known: &[RequestFingerprint],
        barred: &[RequestFingerprint],
        outcome: &str,
    ) {
        for fingerprint in barred {
            if known.contains(fingerprint) {
                continue;
            }
            let line = LogLine::new(EventCode::RequestBarred)
                .text("mark", &fingerprint.to_string())
                .text("outcome", outcome);
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
