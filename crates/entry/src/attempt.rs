//! A single attempt of a request: one stream of one replica, forwarded to the client until it ends
//! or the attempt is abandoned.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use control::TargetView;
use domain::{AttemptId, ReplicaPlan};
use events::log_skipped;
use target::{EngineClient, StreamStart, TokenStream};
use tokio::sync::watch;
use wire::engine::{ResumeRequest, StreamEvent, StreamRequest};

use crate::context::EntryContext;
use crate::dispatch::request::SlotGuard;
use crate::generation::GenerationRequest;
use crate::progress::{
    GenerationSummary, ResponseProgress, StreamAction, StreamError, StreamValidator,
};
use crate::replica_health::ReplicaHealth;
use crate::sink::ResponseSink;
use crate::token::TokenScope;

/// Timeout for cancelling a stream. The request does not depend on the reply; a failed cancellation
/// only keeps the engine's slot occupied for longer.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// Replica that an attempt is sent to.
#[derive(Debug, Clone)]
pub struct AttemptTarget {
    /// Id of the attempt, unique across entries and restarts.
    pub attempt: AttemptId,
    /// Replica plan at the time the attempt started.
    pub plan: ReplicaPlan,
    /// Engine address of the replica's rank 0 host.
    pub leader: SocketAddr,
}

/// How an attempt obtains its stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptKind {
    /// Starts a new stream.
    Start,
    /// Resumes a stream that the engine kept after an earlier connection was lost.
    Resume,
}

/// How an attempt ended.
#[derive(Debug)]
pub enum AttemptResult {
    /// The response is complete.
    Finished(GenerationSummary),
    /// The client disconnected. The engine keeps the stream for a while in case the client
    /// reconnects.
    ClientDisconnected,
    /// This entry is shutting down; the client should resume at another one.
    HandOver,
    /// The attempt failed and the request may be retried on another replica.
    Failed(AttemptError),
}

/// Why an attempt failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum AttemptError {
    /// The engine refused the stream, which proves that nothing was executed.
    #[error(
        "refused by the engine: {}",
        if *replica_changed { "it serves another replica or incarnation" } else { "it is full" }
    )]
    Refused {
        /// Whether the engine now serves another replica or incarnation; if false, it is full.
        replica_changed: bool,
        /// Delay before the next attempt, if the engine sent `Retry-After`.
        retry_after: Option<Duration>,
    },
    /// The request was not sent, so nothing was executed.
    #[error("request not sent: {0}")]
    Unsent(String),
    /// The connection broke, or the body was not a valid event stream.
    #[error("connection failed: {0}")]
    Broken(String),
    /// No event arrived within the given time.
    #[error("no event for {0:?}")]
    Silent(Duration),
    /// Health evidence shows that a host of the replica is missing.
    #[error("a host of the replica is missing")]
    HostMissing,
    /// The events are inconsistent with each other or with the text already delivered.
    #[error("{0}")]
    Mismatch(#[from] StreamError),
}

impl AttemptError {
    /// Returns whether it is certain that the engine executed nothing.
    #[must_use]
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::Refused { .. } | Self::Unsent(_))
    }
}

/// Cancels the engine's stream when dropped, unless disarmed.
///
/// This also covers the case that the future of the request is dropped. A stream that nobody reads
/// would occupy a slot in the engine's batch.
struct CancelGuard<E: EngineClient> {
    engine: E,
    leader: SocketAddr,
    attempt: Option<AttemptId>,
}

impl<E: EngineClient> CancelGuard<E> {
    fn disarm(&mut self) {
        self.attempt = None;
    }
}

impl<E: EngineClient> Drop for CancelGuard<E> {
    fn drop(&mut self) {
        let Some(attempt) = self.attempt.take() else {
            return;
        };
        let engine = self.engine.clone();
        let leader = self.leader;
        tokio::spawn(async move {
            // If the cancellation fails, the engine still ends streams that are not read for long.
            log_skipped(
                "cancel attempt",
                engine.cancel(leader, &attempt, CANCEL_TIMEOUT).await,
            );
        });
    }
}

/// An attempt that is ready to run.
#[derive(Debug)]
pub struct AttemptRun<'a, E> {
    /// Shared dependencies of the request path.
    pub context: &'a EntryContext<E>,
    /// Request to execute.
    pub request: &'a GenerationRequest,
    /// Replica to send it to.
    pub target: &'a AttemptTarget,
    /// Whether to start a new stream or to resume one.
    pub kind: AttemptKind,
    /// Slot granted by the dispatcher; none when resuming a stream, since the slot is still counted
    /// by the engine that kept it.
    pub slot: Option<&'a mut SlotGuard>,
}

impl<E: EngineClient> AttemptRun<'_, E> {
    /// Opens the stream and forwards its events to `sink`.
    pub async fn run<A: ResponseSink>(
        self,
        progress: &mut ResponseProgress,
        sink: &mut A,
    ) -> AttemptResult {
        let (context, request, target) = (self.context, self.request, self.target);
        let mut guard = CancelGuard {
            engine: context.engine.clone(),
            leader: target.leader,
            attempt: Some(target.attempt.clone()),
        };
        let stream = match open_stream(context, request, target, self.kind, progress).await {
            Ok(stream) => stream,
            Err(error) => {
                if error.is_not_run() {
                    guard.disarm();
                }
                return AttemptResult::Failed(error);
            }
        };
        let scope = TokenScope {
            request: request.id.clone(),
            customer: request.customer.clone(),
            attempt: target.attempt.clone(),
            replica: target.plan.id.clone(),
            incarnation: target.plan.incarnation,
            content: request.content(),
        };
        sink.begin_attempt(context.signer.scope(&scope), progress.offset());
        let mut forwarder = StreamForwarder {
            context,
            target,
            targets: context.targets.clone(),
            stream,
            validator: validator(target, self.kind, progress),
            first_token_timeout: request.deadline.saturating_duration_since(Instant::now()),
            slot: self.slot,
        };
        let result = forwarder.forward(progress, sink).await;
        match result {
            AttemptResult::Finished(_)
            | AttemptResult::ClientDisconnected
            | AttemptResult::HandOver => {
                guard.disarm();
            }
            AttemptResult::Failed(_) => {}
        }
        result
    }
}

fn validator(
    target: &AttemptTarget,
    kind: AttemptKind,
    progress: &ResponseProgress,
) -> StreamValidator {
    let attempt = target.attempt.clone();
    let incarnation = target.plan.incarnation;
    if kind == AttemptKind::Resume || progress.delivered_tokens().is_some() {
        return StreamValidator::continuing(attempt, incarnation, progress);
    }
    StreamValidator::regenerating(attempt, incarnation)
}

async fn open_stream<E: EngineClient>(
    context: &EntryContext<E>,
    request: &GenerationRequest,
    target: &AttemptTarget,
    kind: AttemptKind,
    progress: &ResponseProgress,
) -> Result<E::Stream, AttemptError> {
    let timeout = context.settings.start_timeout();
    let started = match kind {
        AttemptKind::Start => {
            let stream_request = StreamRequest {
                attempt: target.attempt.clone(),
                replica: target.plan.id.clone(),
                incarnation: target.plan.incarnation,
                model: request.model.clone(),
                adapter: request.adapter.clone(),
                prompt: request.prompt.clone(),
                max_tokens: request.max_tokens,
                seed: request.seed,
                priority: 0,
                generated_tokens: progress.delivered_tokens().unwrap_or_default().to_vec(),
            };
            context
                .engine
                .start(target.leader, &stream_request, timeout)
                .await
        }
        AttemptKind::Resume => {
            let resume = ResumeRequest {
                from: progress.offset().count,
            };
            context
                .engine
                .resume(target.leader, &target.attempt, resume, timeout)
                .await
        }
    };
    match started {
        Ok(StreamStart::Running(stream)) => Ok(stream),
        Ok(StreamStart::Refused {
            replica_changed,
            retry_after,
        }) => Err(AttemptError::Refused {
            replica_changed,
            retry_after,
        }),
        Err(error) if error.is_unsent() => Err(AttemptError::Unsent(error.to_string())),
        Err(error) => Err(AttemptError::Broken(error.to_string())),
    }
}

struct StreamForwarder<'a, E: EngineClient> {
    context: &'a EntryContext<E>,
    target: &'a AttemptTarget,
    targets: watch::Receiver<Arc<TargetView>>,
    stream: E::Stream,
    validator: StreamValidator,
    first_token_timeout: Duration,
    slot: Option<&'a mut SlotGuard>,
}

/// What ended a wait of the forwarder.
enum ForwardStep {
    Event(StreamEvent),
    Ended(AttemptResult),
    TargetsChanged,
}

impl<E: EngineClient> StreamForwarder<'_, E> {
    async fn forward<A: ResponseSink>(
        &mut self,
        progress: &mut ResponseProgress,
        sink: &mut A,
    ) -> AttemptResult {
        let mut shutdown = self.context.shutdown.watch();
        let mut last_event_at = Instant::now();
        let mut first_event_seen = false;
        loop {
            let replica_health = self.replica_health();
            let Some(limit) = replica_health.silence_limit(&self.context.settings) else {
                return AttemptResult::Failed(AttemptError::HostMissing);
            };
            let limit = self.extend_before_first_token(limit, first_event_seen);
            let remaining = limit.saturating_sub(last_event_at.elapsed());
            let can_hand_over = sink.can_hand_over();
            let step = tokio::select! {
                biased;
                () = sink.disconnected() => ForwardStep::Ended(AttemptResult::ClientDisconnected),
                () = shutdown.handing_over(), if can_hand_over => {
                    ForwardStep::Ended(AttemptResult::HandOver)
                }
                changed = self.targets.changed() => match changed {
                    Ok(()) => ForwardStep::TargetsChanged,
                    Err(_) => ForwardStep::Ended(AttemptResult::Failed(AttemptError::HostMissing)),
                },
                event = tokio::time::timeout(remaining, self.stream.next_event(limit)) => {
                    classify_read(event, limit)
                }
            };
            let event = match step {
                ForwardStep::TargetsChanged => continue,
                ForwardStep::Ended(result) => return result,
                ForwardStep::Event(event) => event,
            };
            match self.validator.accept(progress, event) {
                // Events of another attempt do not prove that this one is alive.
                StreamAction::Ignore => continue,
                StreamAction::AlreadyDelivered => {}
                StreamAction::Deliver(text) => {
                    if sink.send_token(text, progress.offset()).await.is_err() {
                        return AttemptResult::ClientDisconnected;
                    }
                }
                StreamAction::Finished(summary) => return AttemptResult::Finished(summary),
                StreamAction::Fail(error) => return AttemptResult::Failed(error.into()),
            }
            last_event_at = Instant::now();
            first_event_seen = true;
            if let Some(slot) = &mut self.slot {
                slot.record_first_token();
            }
        }
    }

    /// Extends the silence limit until the first event.
    ///
    /// The stream may first wait in the engine's queue and for the prefill of a long prompt. The
    /// deadline of the request is a better bound for that than the limit between two tokens.
    fn extend_before_first_token(&self, limit: Duration, first_event_seen: bool) -> Duration {
        if first_event_seen {
            return limit;
        }
        limit.max(self.first_token_timeout)
    }

    fn replica_health(&mut self) -> ReplicaHealth {
        let view = Arc::clone(&self.targets.borrow_and_update());
        let limit = self.context.settings.max_evidence_age();
        ReplicaHealth::assess(&view, &self.target.plan, Instant::now(), limit)
    }
}

type EventRead = Result<Result<Option<StreamEvent>, web::ClientError>, tokio::time::error::Elapsed>;

fn classify_read(read: EventRead, limit: Duration) -> ForwardStep {
    let error = match read {
        Ok(Ok(Some(event))) => return ForwardStep::Event(event),
        Ok(Ok(None)) => AttemptError::Broken("the stream ended without its final event".to_owned()),
        Ok(Err(web::ClientError::TimedOut(_))) | Err(_) => AttemptError::Silent(limit),
        Ok(Err(error)) => AttemptError::Broken(error.to_string()),
    };
    ForwardStep::Ended(AttemptResult::Failed(error))
}
