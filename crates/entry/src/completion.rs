//! Chats and completions: one answer over as many attempts as it takes.

use std::time::{Duration, Instant};

use domain::{FastSet, ReplicaId};
use events::{EventCode, EventSubject};
use target::EnginePort;
use wire::caller::ErrorCode;

use crate::attempt::{AttemptEnd, AttemptFault, AttemptKind, AttemptSite, run_attempt};
use crate::desk::PlacementAsk;
use crate::failure::CallerFailure;
use crate::order::CompletionOrder;
use crate::parts::EntryParts;
use crate::progress::{AnswerEnd, AnswerProgress, MatchFault};
use crate::sink::AnswerSink;
use crate::token::ResumeToken;

/// When to come back after every attempt failed.
const FAILED_RETRY: Duration = Duration::from_secs(2);

/// How a completion ended.
#[derive(Debug)]
pub enum CompletionEnd {
    /// The answer is whole.
    Finished(AnswerEnd),
    /// The caller is gone.
    CallerGone,
    /// The caller shall go on at another entry.
    HandOver,
    /// The final answer is an error.
    Failed(CallerFailure),
}

/// Runs one request.
#[derive(Debug)]
pub struct CompletionRun<'a, E: EnginePort> {
    parts: &'a EntryParts<E>,
    order: &'a CompletionOrder,
    progress: AnswerProgress,
    /// Replicas that failed this request.
    tried: FastSet<ReplicaId>,
    /// Attempts so far.
    attempts: u32,
    /// Whether an engine may have run something.
    may_have_run: bool,
    /// Moment by which the next attempt shall be placed.
    place_by: Instant,
}

impl<'a, E: EnginePort> CompletionRun<'a, E> {
    /// A run of an order.
    #[must_use]
    pub fn new(parts: &'a EntryParts<E>, order: &'a CompletionOrder) -> Self {
        Self {
            parts,
            order,
            progress: AnswerProgress::default(),
            tried: FastSet::default(),
            attempts: 0,
            may_have_run: false,
            place_by: order.deadline,
        }
    }

    /// Runs the order from its begin.
    pub async fn run<A: AnswerSink>(mut self, sink: &mut A) -> CompletionEnd {
        self.run_placed(sink).await
    }

    /// Goes on with a stream that the caller has a part of: first with the one that the engine may
    /// have kept, else by generating it again.
    pub async fn resume<A: AnswerSink>(
        mut self,
        token: &ResumeToken,
        sink: &mut A,
    ) -> CompletionEnd {
        self.progress = AnswerProgress::resumed(token.offset);
        self.may_have_run = true;
        let subject = self.subject().and_replica(&token.scope.replica);
        let detail = format!("behind token {}", token.offset.count);
        self.parts
            .recorder
            .note(EventCode::RequestResumed, subject, detail);
        if let Some(site) = self.kept_site(token)
            && let Some(end) = self.attempt(site, AttemptKind::Kept, sink).await
        {
            return end;
        }
        self.run_placed(sink).await
    }

    fn kept_site(&self, token: &ResumeToken) -> Option<AttemptSite> {
        let view = self.parts.targets.borrow();
        let replica = view
            .replicas
            .iter()
            .find(|replica| replica.plan.id == token.scope.replica)?;
        if replica.plan.incarnation != token.scope.incarnation {
            return None;
        }
        Some(AttemptSite {
            attempt: token.scope.attempt.clone(),
            plan: replica.plan.clone(),
            leader: replica.leader?,
        })
    }

    async fn run_placed<A: AnswerSink>(&mut self, sink: &mut A) -> CompletionEnd {
        while self.attempts < self.parts.settings.max_attempts {
            let ask = PlacementAsk {
                order: self.order,
                tried: &self.tried,
                begun: self.may_have_run,
                deadline: self.place_by,
            };
            let placed = tokio::select! {
                placed = self.parts.desk.place(ask) => placed,
                () = sink.gone() => return CompletionEnd::CallerGone,
            };
            let slot = match placed {
                Ok(slot) => slot,
                Err(failure) => return CompletionEnd::Failed(self.judged(failure)),
            };
            let attempt = self.parts.names.attempt(&self.order.request);
            let site = AttemptSite {
                attempt,
                plan: slot.plan.clone(),
                leader: slot.leader,
            };
            let end = self.attempt(site, AttemptKind::Start, sink).await;
            slot.release(end.is_some());
            if let Some(end) = end {
                return end;
            }
        }
        let message = format!("{} attempts failed to finish the answer", self.attempts);
        let failure = CallerFailure::not_run(ErrorCode::TargetFailed, message).retry(FAILED_RETRY);
        CompletionEnd::Failed(self.judged(failure))
    }

    /// Runs one attempt; none when the request shall go on elsewhere.
    async fn attempt<A: AnswerSink>(
        &mut self,
        site: AttemptSite,
        kind: AttemptKind,
        sink: &mut A,
    ) -> Option<CompletionEnd> {
        self.attempts += 1;
        let replica = site.plan.id.clone();
        self.note(EventCode::AttemptStarted, &replica, site.attempt.as_str());
        let end = run_attempt(
            self.parts,
            self.order,
            &site,
            kind,
            &mut self.progress,
            sink,
        )
        .await;
        let fault = match end {
            AttemptEnd::Finished(end) => return Some(CompletionEnd::Finished(end)),
            AttemptEnd::CallerGone => return Some(CompletionEnd::CallerGone),
            AttemptEnd::HandOver => return Some(CompletionEnd::HandOver),
            AttemptEnd::Failed(fault) => fault,
        };
        let detail = format!("{}: {fault}", site.attempt);
        self.note(EventCode::AttemptFailed, &replica, &detail);
        self.may_have_run |= !fault.is_not_run();
        if self.progress.offset().count > 0 {
            self.place_by = Instant::now() + self.parts.settings.recovery();
        }
        if fault == AttemptFault::Mismatch(MatchFault::TextDiffers) {
            return Some(CompletionEnd::Failed(text_differs()));
        }
        if kind == AttemptKind::Start {
            self.tried.insert(replica);
        }
        None
    }

    /// A failure with the truth about whether the request was run.
    fn judged(&self, failure: CallerFailure) -> CallerFailure {
        if self.may_have_run {
            return failure.maybe_run();
        }
        failure
    }

    fn subject(&self) -> EventSubject {
        EventSubject::request(&self.order.request).and_customer(&self.order.customer)
    }

    fn note(&self, code: EventCode, replica: &ReplicaId, detail: &str) {
        let subject = self.subject().and_replica(replica);
        self.parts.recorder.note(code, subject, detail);
    }
}

fn text_differs() -> CallerFailure {
    let message = "the answer can't be continued: generated again, it differs from what you have; \
                   send the request without Last-Event-ID";
    CallerFailure::unknown(ErrorCode::InvalidResume, message).at("header last-event-id")
}
