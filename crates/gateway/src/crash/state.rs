//! What a node knows of crashed targets, and of answers that targets survived.
//!
//! All times but those of running responses are measured on the store's clock, which the nodes share.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use domain::{FastMap, PromptPartId};
use serving::poison::{AnswerWatch, CRASH_RETENTION, SendHistory};
use serving::{
    BarredSet, CrashedFeature, PoisonDetector, PoisonVerdict, RequestFeature, RequestFingerprint,
    TargetProcess,
};
use tokio::sync::Notify;

use super::rows::{CrashReport, EvidenceRow, ReportedFeature};
use super::table::EvidenceTable;
use crate::admitted::AdmittedRequest;

/// Maximum number of crashes that wait to be written; the oldest are dropped. They wait while the store is
/// away.
const MAX_UNPUBLISHED: usize = 90;

/// A request whose connection broke while its target ran it.
#[derive(Debug, Clone)]
pub struct InterruptedRequest {
    /// Identifies the request.
    pub fingerprint: RequestFingerprint,
    /// Parts of its prompt that other requests have as well.
    pub shared_parts: Rc<[PromptPartId]>,
    /// Time since its response began; `None` if it had not.
    pub response_age: Option<Duration>,
    /// Whether the target had sent bytes of the response for long enough to have survived it.
    pub is_outlived: bool,
    /// Features that it was sent to try; empty unless it was on trial.
    pub tried: Rc<[RequestFeature]>,
}

impl InterruptedRequest {
    /// A request whose response had not begun.
    #[must_use]
    pub fn new(request: &AdmittedRequest) -> Self {
        Self {
            fingerprint: request.fingerprint(),
            shared_parts: Rc::clone(&request.shared_parts),
            response_age: None,
            is_outlived: false,
            tried: Rc::clone(&request.tried),
        }
    }

    fn features(&self) -> impl Iterator<Item = CrashedFeature> + '_ {
        let parts = self.shared_parts.iter().copied();
        let features = parts.map(RequestFeature::Part);
        let whole = RequestFeature::Whole(self.fingerprint);
        features.chain([whole]).map(|feature| CrashedFeature {
            feature,
            response_age: self.response_age,
            is_outlived: self.is_outlived,
            is_trial: self.tried.contains(&feature),
        })
    }
}

/// Features of the requests at a crashed target, each once.
#[must_use]
pub fn crashed_features(requests: &[InterruptedRequest]) -> Vec<CrashedFeature> {
    let mut features: FastMap<RequestFeature, CrashedFeature> = FastMap::default();
    for crashed in requests.iter().flat_map(InterruptedRequest::features) {
        let known = features.entry(crashed.feature);
        known.or_insert(crashed).merge(crashed);
    }
    features.into_values().collect()
}

/// What a node knows of crashed targets, and of answers that targets survived.
#[derive(Debug, Default)]
pub struct CrashState {
    /// Notified when there is evidence to write.
    pub evidence_found: Notify,
    /// Notified when this node has seen a crash or read of one.
    pub crash_seen: Notify,
    /// Notified when the store has new evidence.
    pub evidence_written: Notify,
    /// Interrupted requests at targets that are not yet known to have crashed.
    interrupted: RefCell<FastMap<TargetProcess, Vec<InterruptedRequest>>>,
    pub(super) detector: RefCell<PoisonDetector>,
    watch: RefCell<AnswerWatch>,
    /// Starts of target processes, and what this node has sent to them.
    pub(super) sends: RefCell<SendHistory>,
    /// Crashes that this node has yet to write.
    unpublished: RefCell<Vec<CrashReport>>,
    /// Crashes that it has written.
    published: RefCell<Vec<CrashReport>>,
    /// Whether the store may have lost the sound answers that this node has written.
    is_sound_lost: Cell<bool>,
    /// Sound answers that this node has written.
    published_sound: RefCell<FastMap<RequestFeature, Duration>>,
    /// The table of the store, as far as this node has read it.
    pub(super) table: EvidenceTable,
    /// When the newest crash was that this node has seen or read of.
    newest_crash: Cell<Option<Duration>>,
    /// The last turn in which this node let a request of a barred set through.
    pub(super) trial_turns: RefCell<FastMap<Vec<RequestFeature>, u128>>,
    /// When this node last asked the store for a trial of a set.
    pub(super) trial_claims: RefCell<FastMap<Vec<RequestFeature>, Duration>>,
}

impl CrashState {
    /// Adds an interrupted request; returns whether it is the first one for this target process.
    pub fn interrupt(&self, process: &TargetProcess, request: InterruptedRequest) -> bool {
        self.watch.borrow_mut().forget(process);
        let mut interrupted = self.interrupted.borrow_mut();
        let requests = interrupted.entry(process.clone()).or_default();
        requests.push(request);
        requests.len() == 1
    }

    /// Takes the interrupted requests of a target process.
    pub fn take_interrupted(&self, process: &TargetProcess) -> Vec<InterruptedRequest> {
        let mut interrupted = self.interrupted.borrow_mut();
        interrupted.remove(process).unwrap_or_default()
    }

    /// Records an answer with these prompt parts that its target survived.
    pub fn record_sound(&self, parts: &[PromptPartId], begun_at: Duration) {
        let mut detector = self.detector.borrow_mut();
        for part in parts {
            detector.record_sound(RequestFeature::Part(*part), begun_at);
        }
    }

    /// Records that a request was answered completely, if it matters whether it crashes targets.
    pub fn record_complete(&self, request: &AdmittedRequest, begun_at: Duration) {
        let mut detector = self.detector.borrow_mut();
        if detector.involves_requests() {
            let whole = RequestFeature::Whole(request.fingerprint());
            detector.record_sound(whole, begun_at);
        }
    }

    /// Watches an answer that ended before its target had shown that it survives it.
    pub fn watch_answer(
        &self,
        process: TargetProcess,
        begun_at: Duration,
        parts: &Rc<[PromptPartId]>,
    ) {
        if !parts.is_empty() {
            self.watch.borrow_mut().add(process, begun_at, parts);
        }
    }

    /// Records that a target process has just sent bytes.
    pub fn record_alive(&self, process: &TargetProcess, now: Duration) {
        let survived = self.watch.borrow_mut().take_survived(process, now);
        let mut detector = self.detector.borrow_mut();
        for (feature, begun_at) in survived {
            detector.record_sound(feature, begun_at);
        }
    }

    /// When the newest sound answer with a feature began.
    pub fn newest_sound(&self, feature: RequestFeature) -> Option<Duration> {
        self.detector.borrow().newest_sound(feature)
    }

    /// Drops what is too old to tell anything.
    pub fn expire(&self, now: Duration) {
        self.watch.borrow_mut().expire(now);
        let mut published = self.published_sound.borrow_mut();
        published.retain(|_, begun_at| now.saturating_sub(*begun_at) < CRASH_RETENTION);
    }

    /// Whether a request is clear, suspected (one attempt only) or barred (sent to no target).
    #[must_use]
    pub fn verdict(&self, request: &AdmittedRequest) -> PoisonVerdict {
        let detector = self.detector.borrow();
        if detector.is_clear() {
            return PoisonVerdict::Clear;
        }
        detector.verdict(&request_features(&detector, request))
    }

    /// The barred set that a request falls under.
    #[must_use]
    pub fn barred_set(&self, request: &AdmittedRequest) -> Option<BarredSet> {
        let detector = self.detector.borrow();
        let features = request_features(&detector, request);
        detector.barred_set(&features).cloned()
    }

    /// Whether no request is barred or suspected.
    #[must_use]
    pub fn is_clear(&self) -> bool {
        self.detector.borrow().is_clear()
    }

    /// Whether newer evidence may change verdicts.
    #[must_use]
    pub fn is_contested(&self) -> bool {
        self.detector.borrow().is_contested()
    }

    /// Number of barred sets and of suspect features.
    #[must_use]
    pub fn verdict_counts(&self) -> (usize, usize) {
        let detector = self.detector.borrow();
        (detector.barred().len(), detector.suspect_count())
    }

    /// Time since the newest crash that this node has seen or read of; `None` if there was none.
    #[must_use]
    pub fn crash_age(&self, now: Duration) -> Option<Duration> {
        Some(now.saturating_sub(self.newest_crash.get()?))
    }

    /// Queues a crash that this node has seen to be written to the store.
    pub fn queue_report(&self, process: TargetProcess, at: Duration, features: &[CrashedFeature]) {
        let reported = features.iter().map(|crashed| ReportedFeature {
            crashed: *crashed,
            sound_at: self.newest_sound(crashed.feature),
        });
        let mut reported: Vec<ReportedFeature> = reported.collect();
        // Those that nothing speaks for go first, in case there are too many for a row.
        reported.sort_by_key(|reported| (reported.sound_at, reported.crashed.feature));
        self.queue(CrashReport {
            process,
            at,
            features: reported,
            is_overloaded: false,
        });
    }

    /// Queues that a target had been sent more than it takes when it crashed, to be written to the store.
    pub fn queue_overload(&self, process: TargetProcess, at: Duration) {
        self.queue(CrashReport {
            process,
            at,
            features: Vec::new(),
            is_overloaded: true,
        });
    }

    fn queue(&self, report: CrashReport) {
        let at = report.at;
        let mut unpublished = self.unpublished.borrow_mut();
        if unpublished.len() >= MAX_UNPUBLISHED {
            unpublished.remove(0);
        }
        unpublished.push(report);
        self.note_crash(at);
        self.evidence_found.notify_one();
    }

    fn note_crash(&self, at: Duration) {
        let newest = self.newest_crash.get().max(Some(at));
        if self.newest_crash.replace(newest) != newest {
            self.crash_seen.notify_one();
        }
    }

    /// Crashes that this node has yet to write.
    #[must_use]
    pub fn unpublished(&self) -> Vec<CrashReport> {
        self.unpublished.borrow().clone()
    }

    /// Removes crashes that have been written.
    pub fn remove_published(&self, written: &[CrashReport]) {
        let is_written = |report: &CrashReport| {
            let mut written = written.iter();
            written.any(|written| written.process == report.process)
        };
        let mut unpublished = self.unpublished.borrow_mut();
        unpublished.retain(|report| !is_written(report));
        let mut published = self.published.borrow_mut();
        published.extend(written.iter().cloned());
        let surplus = published.len().saturating_sub(MAX_UNPUBLISHED);
        published.drain(..surplus);
    }

    /// Queues all that this node has written and that still tells something, since the store may have lost it;
    /// returns the number of crashes.
    pub fn publish_again(&self, now: Duration) -> usize {
        let published = std::mem::take(&mut *self.published.borrow_mut());
        let mut unpublished = self.unpublished.borrow_mut();
        let mut count = 0;
        for report in published {
            if now.saturating_sub(report.at) >= CRASH_RETENTION {
                continue;
            }
            unpublished.push(report);
            count += 1;
        }
        self.is_sound_lost
            .set(!self.published_sound.borrow().is_empty());
        self.evidence_found.notify_one();
        count
    }

    /// Whether the store may have lost the sound answers that this node has written.
    #[must_use]
    pub fn is_sound_lost(&self) -> bool {
        self.is_sound_lost.get()
    }

    /// Records that all sound answers have been written.
    pub fn set_sound_written(&self) {
        self.is_sound_lost.set(false);
    }

    /// Sound answers that other nodes need to know of and don't.
    #[must_use]
    pub fn unreported_sound(&self) -> Vec<(RequestFeature, Duration)> {
        self.detector.borrow().unreported_sound()
    }

    /// All sound answers to write, given those that others need to know of.
    #[must_use]
    pub fn sound_to_write(
        &self,
        unreported: &[(RequestFeature, Duration)],
    ) -> Vec<(RequestFeature, Duration)> {
        let mut published = self.published_sound.borrow_mut();
        published.extend(unreported.iter().copied());
        published
            .iter()
            .map(|(feature, at)| (*feature, *at))
            .collect()
    }

    /// Takes over a row of the store.
    pub(super) fn apply(&self, detector: &mut PoisonDetector, row: &EvidenceRow) {
        match row {
            EvidenceRow::Crash(row) => {
                let report = CrashReport::from(row);
                let mut features = Vec::new();
                for reported in &report.features {
                    features.push(reported.crashed);
                    if let Some(sound_at) = reported.sound_at {
                        detector.record_reported_sound(reported.crashed.feature, sound_at);
                    }
                }
                self.note_crash(report.at);
                if report.is_overloaded {
                    detector.record_overload(report.process, report.at);
                } else {
                    detector.record(report.process, report.at, &features);
                }
            }
            EvidenceRow::Sound(row) => {
                for (feature, begun_at) in row.answers() {
                    detector.record_reported_sound(feature, begun_at);
                }
            }
            EvidenceRow::Trial(_) => {}
        }
    }
}

/// What a request may have in common with those at crashes. Its body is hashed only if that matters.
fn request_features(detector: &PoisonDetector, request: &AdmittedRequest) -> Vec<RequestFeature> {
    let parts = request.shared_parts.iter().copied();
    let mut features: Vec<RequestFeature> = parts.map(RequestFeature::Part).collect();
    if detector.involves_requests() {
        features.push(RequestFeature::Whole(request.fingerprint()));
    }
    features
}
