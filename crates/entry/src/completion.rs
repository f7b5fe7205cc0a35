//! Execution of a chat or text completion: one response, produced by one or more attempts.

use std::time::{Duration, Instant};

use domain::ReplicaId;
use events::{EventCode, EventSubject};
use policy::placement::AttemptOutcome;
use policy::retry::RetryDecision;
use target::EngineClient;
use wire::client_api::ErrorCode;

use crate::attempt::{AttemptError, AttemptKind, AttemptResult, AttemptRun, AttemptTarget};
use crate::context::EntryContext;
use crate::dispatch::request::{DispatchRequest, SlotGuard, SlotOutcome};
use crate::error::RequestError;
use crate::generation::GenerationRequest;
use crate::latency::LatencySink;
use crate::progress::{GenerationSummary, ResponseProgress, StreamError};
use crate::sink::ResponseSink;
use crate::token::ResumeToken;

/// Retry delay after all attempts have failed.
const FAILED_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Minimum delay before the next attempt after a replica was full.
const MIN_FULL_BACKOFF: Duration = Duration::from_millis(100);

/// How a completion ended.
#[derive(Debug)]
pub enum CompletionResult {
    /// The response is complete.
    Finished(GenerationSummary),
    /// The client disconnected.
    ClientDisconnected,
    /// The client should resume at another entry.
    HandOver,
    /// The request failed; no further attempt is made.
    Failed(RequestError),
}

/// Executes one generation request.
#[derive(Debug)]
pub struct CompletionRun<'a, E: EngineClient> {
    context: &'a EntryContext<E>,
    request: &'a GenerationRequest,
    progress: ResponseProgress,
    /// Request to the dispatcher for the next attempt.
    dispatch_request: DispatchRequest,
    /// Number of attempts so far. Refusals of full engines before the first token don't count.
    attempts: u32,
    /// Whether an engine may have executed anything for this request.
    may_have_run: bool,
}

impl<'a, E: EngineClient> CompletionRun<'a, E> {
    /// Creates a run without any attempt.
    #[must_use]
    pub fn new(context: &'a EntryContext<E>, request: &'a GenerationRequest) -> Self {
        Self {
            context,
            request,
            progress: ResponseProgress::default(),
            dispatch_request: DispatchRequest::new(request),
            attempts: 0,
            may_have_run: false,
        }
    }

    /// Executes the request from the start.
    pub async fn run<A: ResponseSink>(mut self, sink: &mut A) -> CompletionResult {
        let mut timed_sink = LatencySink::new(sink, &self.context.recorder, &self.request.model);
        self.run_attempts(&mut timed_sink).await
    }

    /// Resumes a stream that the client has partly received. First tries the stream that the engine
    /// may have kept, then regenerates the response.
    pub async fn resume<A: ResponseSink>(
        mut self,
        token: &ResumeToken,
        sink: &mut A,
    ) -> CompletionResult {
        self.progress = ResponseProgress::resumed(token.offset);
        self.may_have_run = true;
        self.dispatch_request.admitted = true;
        let subject = self.subject().with_replica(&token.scope.replica);
        let detail = format!("after token {}", token.offset.count);
        self.context
            .recorder
            .record(EventCode::RequestResumed, subject, detail);
        if let Some(target) = self.resumable_target(token)
            && let Ok(result) = self.attempt(&target, AttemptKind::Resume, None, sink).await
        {
            return result;
        }
        self.run_attempts(sink).await
    }

    fn resumable_target(&self, token: &ResumeToken) -> Option<AttemptTarget> {
        let view = self.context.targets.borrow();
        let replica = view
            .replicas
            .iter()
            .find(|replica| replica.plan.id == token.scope.replica)?;
        if replica.plan.incarnation != token.scope.incarnation {
            return None;
        }
        Some(AttemptTarget {
            attempt: token.scope.attempt.clone(),
            plan: replica.plan.clone(),
            leader: replica.leader?,
        })
    }

    async fn run_attempts<A: ResponseSink>(&mut self, sink: &mut A) -> CompletionResult {
        while self.attempts < self.context.settings.max_attempts {
            let grant = tokio::select! {
                grant = self.context.dispatcher.place(self.dispatch_request.clone()) => grant,
                () = sink.disconnected() => return CompletionResult::ClientDisconnected,
            };
            let mut slot = match grant {
                Ok(slot) => slot,
                Err(error) => return CompletionResult::Failed(self.with_execution(error)),
            };
            self.dispatch_request.admitted = true;
            let target = AttemptTarget {
                attempt: self.context.ids.attempt_id(&self.request.id),
                plan: slot.plan.clone(),
                leader: slot.leader,
            };
            let result = self
                .attempt(&target, AttemptKind::Start, Some(&mut slot), sink)
                .await;
            slot.release(self.slot_outcome(&result));
            let error = match result {
                Ok(result) => return result,
                Err(error) => error,
            };
            if let Err(error) = self.prepare_next_attempt(&error).await {
                return CompletionResult::Failed(self.with_execution(error));
            }
        }
        let message = format!(
            "all {} attempts failed to complete the response",
            self.attempts
        );
        let error = RequestError::not_run(ErrorCode::TargetFailed, message)
            .with_retry_after(FAILED_RETRY_AFTER);
        CompletionResult::Failed(self.with_execution(error))
    }

    fn slot_outcome(&self, result: &Result<CompletionResult, AttemptError>) -> SlotOutcome {
        let delivered = self.progress.offset().count;
        let (outcome, cached_tokens) = match result {
            Ok(CompletionResult::Finished(summary)) => {
                (AttemptOutcome::Finished, Some(summary.cached_tokens))
            }
            Ok(_) => (AttemptOutcome::Cancelled, None),
            Err(AttemptError::Refused {
                replica_changed: false,
                ..
            }) => (AttemptOutcome::Full, None),
            Err(_) => (AttemptOutcome::Failed, None),
        };
        SlotOutcome {
            outcome,
            actual_cost: self
                .dispatch_request
                .prompt_tokens
                .saturating_add(delivered),
            cached_tokens,
        }
    }

    /// Waits until the next attempt may start, or returns the final error.
    ///
    /// The retry budget applies to requests that failed before their first token, because retrying
    /// them adds load. It does not apply to a client that has received part of its response, since
    /// that work has moved away from the lost replica. It does not apply to refusals and missing
    /// hosts either, which cost the targets nothing.
    async fn prepare_next_attempt(&mut self, error: &AttemptError) -> Result<(), RequestError> {
        let is_full = matches!(
            error,
            AttemptError::Refused {
                replica_changed: false,
                ..
            }
        );
        // A response that has begun waits for capacity like a new one; only its loss extends the
        // deadline.
        if self.progress.offset().count > 0 && !is_full {
            self.dispatch_request.deadline = Instant::now() + self.context.settings.recovery();
            return Ok(());
        }
        match error {
            AttemptError::Refused {
                replica_changed: true,
                ..
            }
            | AttemptError::HostMissing
            | AttemptError::Unsent(_) => Ok(()),
            AttemptError::Refused {
                replica_changed: false,
                retry_after,
            } => {
                // A full engine did no work, so waiting for it is not counted as an attempt.
                self.attempts -= 1;
                let remaining = self
                    .dispatch_request
                    .deadline
                    .saturating_duration_since(Instant::now());
                let backoff = retry_after
                    .unwrap_or(MIN_FULL_BACKOFF)
                    .clamp(MIN_FULL_BACKOFF, MIN_FULL_BACKOFF * 10);
                if remaining <= backoff {
                    let message = format!("all replicas of {} are full", self.request.model);
                    let error = RequestError::not_run(ErrorCode::Overloaded, message);
                    return Err(error.with_retry_after(FAILED_RETRY_AFTER));
                }
                tokio::time::sleep(backoff.mul_f64(rand::random_range(0.5..1.0))).await;
                Ok(())
            }
            AttemptError::Broken(_) | AttemptError::Silent(_) | AttemptError::Mismatch(_) => {
                let deadline = self.dispatch_request.deadline;
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
                        let message = format!("{error}; {reason}");
                        let error = RequestError::not_run(ErrorCode::TargetFailed, message);
                        Err(error.with_retry_after(FAILED_RETRY_AFTER))
                    }
                }
            }
        }
    }

    /// Runs one attempt. An error means that the request may continue on another replica.
    async fn attempt<A: ResponseSink>(
        &mut self,
        target: &AttemptTarget,
        kind: AttemptKind,
        slot: Option<&mut SlotGuard>,
        sink: &mut A,
    ) -> Result<CompletionResult, AttemptError> {
        self.attempts += 1;
        let replica = &target.plan.id;
        self.record(EventCode::AttemptStarted, replica, target.attempt.as_str());
        let attempt = AttemptRun {
            context: self.context,
            request: self.request,
            target,
            kind,
            slot,
        };
        let error = match attempt.run(&mut self.progress, sink).await {
            AttemptResult::Finished(summary) => return Ok(CompletionResult::Finished(summary)),
            AttemptResult::ClientDisconnected => return Ok(CompletionResult::ClientDisconnected),
            AttemptResult::HandOver => return Ok(CompletionResult::HandOver),
            AttemptResult::Failed(error) => error,
        };
        let detail = format!("{}: {error}", target.attempt);
        self.record(EventCode::AttemptFailed, replica, &detail);
        self.may_have_run |= !error.is_not_run();
        if error == AttemptError::Mismatch(StreamError::ContentMismatch) {
            return Ok(CompletionResult::Failed(content_mismatch()));
        }
        if kind == AttemptKind::Start {
            self.dispatch_request.tried.insert(replica.clone());
        }
        Err(error)
    }

    /// Marks the error as possibly executed if any attempt may have executed something.
    fn with_execution(&self, error: RequestError) -> RequestError {
        if self.may_have_run {
            return error.with_unknown_execution();
        }
        error
    }

    fn subject(&self) -> EventSubject {
        EventSubject::request(&self.request.id).with_customer(&self.request.customer)
    }

    fn record(&self, code: EventCode, replica: &ReplicaId, detail: &str) {
        let subject = self.subject().with_replica(replica);
        self.context.recorder.record(code, subject, detail);
    }
}

fn content_mismatch() -> RequestError {
    let message = "the response can't be resumed: the regenerated text differs from the \
                   text already delivered; send the request without Last-Event-ID";
    RequestError::unknown(ErrorCode::InvalidResume, message).with_param("header last-event-id")
}
