//! What a node knows of crashed targets, and of answers that targets survived.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use domain::{FastMap, PromptPartId};
use events::{EventCode, LogLine};
use serving::poison::{AnswerWatch, SoundAnswers};
use serving::{
    CrashedRequest, PoisonDetector, PoisonVerdict, RequestFeature, RequestFingerprint,
    TargetProcess,
};

use crate::admitted::AdmittedRequest;
use crate::node::GatewayNode;

/// A request whose connection broke while its target ran it.
#[derive(Debug, Clone)]
pub struct InterruptedRequest {
    /// Identifies the request.
    pub fingerprint: RequestFingerprint,
    /// Parts of its prompt that other requests have as well.
    pub shared_parts: Rc<[PromptPartId]>,
    /// Time since its response began; `None` if it had not.
    pub response_age: Option<Duration>,
}

impl From<&InterruptedRequest> for CrashedRequest {
    fn from(request: &InterruptedRequest) -> Self {
        Self {
            fingerprint: request.fingerprint,
            response_age: request.response_age,
        }
    }
}

/// What a node knows of crashed targets, and of answers that targets survived.
#[derive(Debug, Default)]
pub struct CrashState {
    /// Interrupted requests at targets that are not yet known to have crashed.
    interrupted: RefCell<FastMap<TargetProcess, Vec<InterruptedRequest>>>,
    detector: RefCell<PoisonDetector>,
    sound: RefCell<SoundAnswers>,
    watch: RefCell<AnswerWatch>,
}

impl CrashState {
    /// Adds an interrupted request; returns whether it is the first one for this target process.
    pub fn interrupt(&self, target: &TargetProcess, request: InterruptedRequest) -> bool {
        self.watch.borrow_mut().forget(target);
        let mut interrupted = self.interrupted.borrow_mut();
        let requests = interrupted.entry(target.clone()).or_default();
        requests.push(request);
        requests.len() == 1
    }

    /// Takes the interrupted requests of a target process.
    pub fn take_interrupted(&self, target: &TargetProcess) -> Vec<InterruptedRequest> {
        let mut interrupted = self.interrupted.borrow_mut();
        interrupted.remove(target).unwrap_or_default()
    }

    /// Records an answer with these prompt parts that its target survived.
    pub fn record_sound(&self, parts: &[PromptPartId], begun_at: Duration) {
        let mut sound = self.sound.borrow_mut();
        for part in parts {
            sound.record(RequestFeature::Part(*part), begun_at);
        }
    }

    /// Watches an answer that ended before its target had shown that it survives it.
    pub fn watch_answer(
        &self,
        target: TargetProcess,
        begun_at: Duration,
        parts: &Rc<[PromptPartId]>,
    ) {
        if !parts.is_empty() {
            self.watch.borrow_mut().add(target, begun_at, parts);
        }
    }

    /// Records that a target process has just sent bytes.
    pub fn record_alive(&self, target: &TargetProcess, now: Duration) {
        let survived = self.watch.borrow_mut().take_survived(target, now);
        let mut sound = self.sound.borrow_mut();
        for (feature, begun_at) in survived {
            sound.record(feature, begun_at);
        }
    }

    /// When the newest sound answer with a feature began.
    pub fn newest_sound(&self, feature: RequestFeature) -> Option<Duration> {
        self.sound.borrow().newest(feature)
    }

    /// Drops what is too old to tell anything.
    pub fn expire(&self, now: Duration) {
        self.watch.borrow_mut().expire(now);
    }

    /// Whether a request is clear, suspected (one attempt only) or barred (sent to no target).
    #[must_use]
    pub fn verdict(&self, request: &AdmittedRequest) -> PoisonVerdict {
        let detector = self.detector.borrow();
        // Bodies are hashed only while some request is suspected.
        if detector.is_clear() {
            return PoisonVerdict::Clear;
        }
        detector.verdict(request.fingerprint())
    }

    /// Whether any of these requests is barred or suspected.
    #[must_use]
    pub fn suspects_any(&self, requests: &[CrashedRequest]) -> bool {
        let detector = self.detector.borrow();
        let mut requests = requests.iter();
        requests.any(|request| detector.verdict(request.fingerprint) != PoisonVerdict::Clear)
    }

    /// Whether no request is barred or suspected.
    #[must_use]
    pub fn is_clear(&self) -> bool {
        self.detector.borrow().is_clear()
    }
}

impl GatewayNode {
    /// Updates the crash records and re-evaluates which requests are barred.
    pub fn update_crashes(&self, update: impl FnOnce(&mut PoisonDetector)) {
        let mut detector = self.crashes.detector.borrow_mut();
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
