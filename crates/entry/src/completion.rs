//! Chats and completions: one answer over as many attempts as it takes.

use std::time::{Duration, Instant};

use domain::ReplicaId;
use events::{EventCode, EventSubject};
use policy::placement::AttemptOutcome;
use policy::retry::RetryDecision;
use target::EngineClient;
use wire::caller::ErrorCode;

use crate::attempt::{AttemptEnd, AttemptFault, AttemptKind, AttemptRun, AttemptSite};
use crate::context::EntryContext;
use crate::dispatch::request::{DispatchRequest, SlotGuard, SlotOutcome};
use crate::failure::CallerFailure;
use crate::order::CompletionOrder;
use crate::progress::{AnswerEnd, AnswerProgress, MatchFault};
use crate::sink::AnswerSink;
use crate::timing::TimedSink;
use crate::token::ResumeToken;

/// When to come back after every attempt failed.
const FAILED_RETRY: Duration = Duration::from_secs(2);

/// Shortest pause before a replica is asked again after one was full.
const FULL_PAUSE: Duration = Duration::from_millis(100);

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
pub struct CompletionRun<'a, E: EngineClient> {
    context: &'a EntryContext<E>,
    order: &'a CompletionOrder,
    progress: AnswerProgress,
    /// What the dispatcher is asked for the next attempt.
    ask: DispatchRequest,
    /// Attempts so far.
    attempts: u32,
    /// Whether an engine may have run something.
    may_have_run: bool,
}

impl<'a, E: EngineClient> CompletionRun<'a, E> {
    /// A run of an order.
    #[must_use]
    pub fn new(context: &'a EntryContext<E>, order: &'a CompletionOrder) -> Self {
        Self {
            context,
            order,
            progress: AnswerProgress::default(),
            ask: DispatchRequest::new(order),
            attempts: 0,
            may_have_run: false,
        }
    }

    /// Runs the order from its begin.
    pub async fn run<A: AnswerSink>(mut self, sink: &mut A) -> CompletionEnd {
        let mut timed = TimedSink::new(sink, &self.context.recorder, &self.order.model);
        self.run_placed(&mut timed).await
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
        self.ask.admitted = true;
        let subject = self.subject().and_replica(&token.scope.replica);
        let detail = format!("behind token {}", token.offset.count);
        self.context
            .recorder
            .note(EventCode::RequestResumed, subject, detail);
        if let Some(site) = self.kept_site(token)
            && let Ok(end) = self.attempt(&site, AttemptKind::Kept, None, sink).await
        {
            return end;
        }
        self.run_placed(sink).await
    }

    fn kept_site(&self, token: &ResumeToken) -> Option<AttemptSite> {
        let view = self.context.targets.borrow();
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
        while self.attempts < self.context.settings.max_attempts {
            let placed = tokio::select! {
                placed = self.context.dispatcher.place(self.ask.clone()) => placed,
                () = sink.gone() => return CompletionEnd::CallerGone,
            };
            let mut slot = match placed {
                Ok(slot) => slot,
                Err(failure) => return CompletionEnd::Failed(self.judged(failure)),
            };
            self.ask.admitted = true;
            let site = AttemptSite {
                attempt: self.context.ids.attempt(&self.order.request),
                plan: slot.plan.clone(),
                leader: slot.leader,
            };
            let followed = self
                .attempt(&site, AttemptKind::Start, Some(&mut slot), sink)
                .await;
            slot.end(self.slot_outcome(&followed));
            let fault = match followed {
                Ok(end) => return end,
                Err(fault) => fault,
            };
            if let Err(failure) = self.before_next(&fault).await {
                return CompletionEnd::Failed(self.judged(failure));
            }
        }
        let message = format!("{} attempts failed to finish the answer", self.attempts);
        let failure = CallerFailure::not_run(ErrorCode::TargetFailed, message).retry(FAILED_RETRY);
        CompletionEnd::Failed(self.judged(failure))
    }

    fn slot_outcome(&self, followed: &Result<CompletionEnd, AttemptFault>) -> SlotOutcome {
        let delivered = self.progress.offset().count;
        let (outcome, cached_tokens) = match followed {
            Ok(CompletionEnd::Finished(end)) => (AttemptOutcome::Finished, Some(end.cached_tokens)),
            Ok(_) => (AttemptOutcome::Cancelled, None),
            Err(AttemptFault::Refused {
                replica_changed: false,
                ..
            }) => (AttemptOutcome::Full, None),
            Err(_) => (AttemptOutcome::Failed, None),
        };
        SlotOutcome {
            outcome,
            actual_cost: self.ask.prompt_tokens.saturating_add(delivered),
            cached_tokens,
        }
    }

    /// Waits as long as the next attempt has to, or gives up.
    ///
    /// The retry budget is for requests that failed before their first token: they add load. A
    /// caller that has a part of its answer is never given up for the budget's sake, since the
    /// work that goes on elsewhere has left the lost replica; and neither a refusal nor a missing
    /// host has cost any target anything.
    async fn before_next(&mut self, fault: &AttemptFault) -> Result<(), CallerFailure> {
        if self.progress.offset().count > 0 {
            self.ask.deadline = Instant::now() + self.context.settings.recovery();
            return Ok(());
        }
        match fault {
            AttemptFault::Refused {
                replica_changed: true,
                ..
            }
            | AttemptFault::HostMissing
            | AttemptFault::Unsent(_) => Ok(()),
            AttemptFault::Refused {
                replica_changed: false,
                retry_after,
            } => {
                // An engine that is full took nothing; waiting for it counts as no attempt.
                self.attempts -= 1;
                let left = self.ask.deadline.saturating_duration_since(Instant::now());
                let pause = retry_after
                    .unwrap_or(FULL_PAUSE)
                    .clamp(FULL_PAUSE, FULL_PAUSE * 10);
                if left <= pause {
                    let message = format!("every replica of {} is full", self.order.model);
                    let failure = CallerFailure::not_run(ErrorCode::Overloaded, message);
                    return Err(failure.retry(FAILED_RETRY));
                }
                tokio::time::sleep(pause.mul_f64(rand::random_range(0.5..1.0))).await;
                Ok(())
            }
            AttemptFault::Broken(_) | AttemptFault::Silent(_) | AttemptFault::Mismatch(_) => {
                let deadline = self.ask.deadline;
                match self
                    .context
                    .dispatcher
                    .decide_retry(self.attempts, deadline)
                    .await
                {
                    RetryDecision::Retry { wait } => {
                        tokio::time::sleep(wait).await;
                        Ok(())
                    }
                    RetryDecision::GiveUp(reason) => {
                        let message = format!("{fault}; {reason}");
                        let failure = CallerFailure::not_run(ErrorCode::TargetFailed, message);
                        Err(failure.retry(FAILED_RETRY))
                    }
                }
            }
        }
    }

    /// Runs one attempt; a fault means that the request shall go on elsewhere.
    async fn attempt<A: AnswerSink>(
        &mut self,
        site: &AttemptSite,
        kind: AttemptKind,
        slot: Option<&mut SlotGuard>,
        sink: &mut A,
    ) -> Result<CompletionEnd, AttemptFault> {
        self.attempts += 1;
        let replica = &site.plan.id;
        self.note(EventCode::AttemptStarted, replica, site.attempt.as_str());
        let attempt = AttemptRun {
            context: self.context,
            order: self.order,
            site,
            kind,
            slot,
        };
        let fault = match attempt.run(&mut self.progress, sink).await {
            AttemptEnd::Finished(end) => return Ok(CompletionEnd::Finished(end)),
            AttemptEnd::CallerGone => return Ok(CompletionEnd::CallerGone),
            AttemptEnd::HandOver => return Ok(CompletionEnd::HandOver),
            AttemptEnd::Failed(fault) => fault,
        };
        let detail = format!("{}: {fault}", site.attempt);
        self.note(EventCode::AttemptFailed, replica, &detail);
        self.may_have_run |= !fault.is_not_run();
        if fault == AttemptFault::Mismatch(MatchFault::TextDiffers) {
            return Ok(CompletionEnd::Failed(text_differs()));
        }
        if kind == AttemptKind::Start {
            self.ask.tried.insert(replica.clone());
        }
        Err(fault)
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
        self.context.recorder.note(code, subject, detail);
    }
}

fn text_differs() -> CallerFailure {
    let message = "the answer can't be continued: generated again, it differs from what you have; \
                   send the request without Last-Event-ID";
    CallerFailure::unknown(ErrorCode::InvalidResume, message).at("header last-event-id")
}
