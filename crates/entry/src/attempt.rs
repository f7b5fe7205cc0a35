//! One attempt: a stream of one replica, followed until it ends or has to be left.

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

/// Wait for the answer to a cancel; nothing depends on it but the engine's own room.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// Where an attempt runs.
#[derive(Debug, Clone)]
pub struct AttemptTarget {
    /// The attempt.
    pub attempt: AttemptId,
    /// The replica as it was planned when the attempt began.
    pub plan: ReplicaPlan,
    /// Address of its leading host.
    pub leader: SocketAddr,
}

/// How an attempt begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptKind {
    /// A new stream of the engine.
    Start,
    /// A stream that the engine kept when an earlier connection was lost.
    Resume,
}

/// How an attempt ended.
#[derive(Debug)]
pub enum AttemptResult {
    /// The answer is whole.
    Finished(GenerationSummary),
    /// The caller is gone; the engine keeps the stream for a while, in case it comes back.
    ClientDisconnected,
    /// This entry stops; the caller shall go on at another.
    HandOver,
    /// The replica was left.
    Failed(AttemptError),
}

/// Why a replica was left.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum AttemptError {
    /// The engine proved that it ran nothing.
    #[error("the engine refused: {}", if *replica_changed { "another replica or incarnation" } else { "full" })]
    Refused {
        /// Whether the replica or incarnation is another; otherwise the engine is full.
        replica_changed: bool,
        /// When to come back, where the engine said so.
        retry_after: Option<Duration>,
    },
    /// No byte reached the engine.
    #[error("not reached: {0}")]
    Unsent(String),
    /// The connection broke or carried something else than events.
    #[error("broken: {0}")]
    Broken(String),
    /// No event came for too long.
    #[error("silent for {0:?}")]
    Silent(Duration),
    /// The evidence says that a host of the replica is missing.
    #[error("a host of the replica is missing")]
    HostMissing,
    /// The events don't fit.
    #[error("{0}")]
    Mismatch(#[from] StreamError),
}

impl AttemptError {
    /// Whether it is certain that the engine ran nothing.
    #[must_use]
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::Refused { .. } | Self::Unsent(_))
    }
}

/// Cancels the engine's stream when it is dropped armed, also when the request's future itself is
/// dropped: an engine that went on for nobody would take the place of others in its batch.
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
            // The engine also ends an attempt whose caller reads nothing for long.
            log_skipped(
                "cancel attempt",
                engine.cancel(leader, &attempt, CANCEL_TIMEOUT).await,
            );
        });
    }
}

/// An attempt about to run.
#[derive(Debug)]
pub struct AttemptRun<'a, E> {
    /// What the request path works with.
    pub context: &'a EntryContext<E>,
    /// What is wanted.
    pub request: &'a GenerationRequest,
    /// Where.
    pub target: &'a AttemptTarget,
    /// How it begins.
    pub kind: AttemptKind,
    /// The slot that it fills; none for a stream that fills one since an earlier connection.
    pub slot: Option<&'a mut SlotGuard>,
}

impl<E: EngineClient> AttemptRun<'_, E> {
    /// Runs it.
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

/// What a forwarder waited for.
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
                // Events of another attempt are no sign that this one lives.
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

    /// A stream may wait in the engine's queue and read a long prompt before its first token; the
    /// request's own deadline bounds that better than the silence between two tokens.
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
        Ok(Ok(None)) => AttemptError::Broken("it ended without a final mark".to_owned()),
        Ok(Err(web::ClientError::TimedOut(_))) | Err(_) => AttemptError::Silent(limit),
        Ok(Err(error)) => AttemptError::Broken(error.to_string()),
    };
    ForwardStep::Ended(AttemptResult::Failed(error))
}
