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
use crate::order::CompletionOrder;
use crate::progress::{AnswerEnd, AnswerProgress, MatchFault, MatchStep, StreamMatcher};
use crate::sink::AnswerSink;
use crate::standing::ReplicaStanding;
use crate::token::TokenScope;

/// Wait for the answer to a cancel; nothing depends on it but the engine's own room.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// Where an attempt runs.
#[derive(Debug, Clone)]
pub struct AttemptSite {
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
    Kept,
}

/// How an attempt ended.
#[derive(Debug)]
pub enum AttemptEnd {
    /// The answer is whole.
    Finished(AnswerEnd),
    /// The caller is gone; the engine keeps the stream for a while, in case it comes back.
    CallerGone,
    /// This entry stops; the caller shall go on at another.
    HandOver,
    /// The replica was left.
    Failed(AttemptFault),
}

/// Why a replica was left.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum AttemptFault {
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
    Mismatch(#[from] MatchFault),
}

impl AttemptFault {
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
    pub order: &'a CompletionOrder,
    /// Where.
    pub site: &'a AttemptSite,
    /// How it begins.
    pub kind: AttemptKind,
    /// The slot that it fills; none for a stream that fills one since an earlier connection.
    pub slot: Option<&'a mut SlotGuard>,
}

impl<E: EngineClient> AttemptRun<'_, E> {
    /// Runs it.
    pub async fn run<A: AnswerSink>(
        self,
        progress: &mut AnswerProgress,
        sink: &mut A,
    ) -> AttemptEnd {
        let (context, order, site) = (self.context, self.order, self.site);
        let mut guard = CancelGuard {
            engine: context.engine.clone(),
            leader: site.leader,
            attempt: Some(site.attempt.clone()),
        };
        let stream = match open_stream(context, order, site, self.kind, progress).await {
            Ok(stream) => stream,
            Err(fault) => {
                if fault.is_not_run() {
                    guard.disarm();
                }
                return AttemptEnd::Failed(fault);
            }
        };
        let scope = TokenScope {
            request: order.request.clone(),
            customer: order.customer.clone(),
            attempt: site.attempt.clone(),
            replica: site.plan.id.clone(),
            incarnation: site.plan.incarnation,
            content: order.content(),
        };
        sink.begin(context.signer.scope(&scope), progress.offset());
        let mut follower = StreamFollower {
            context,
            site,
            targets: context.targets.clone(),
            stream,
            matcher: matcher(site, self.kind, progress),
            begin_limit: order.deadline.saturating_duration_since(Instant::now()),
            slot: self.slot,
        };
        let end = follower.follow(progress, sink).await;
        match end {
            AttemptEnd::Finished(_) | AttemptEnd::CallerGone | AttemptEnd::HandOver => {
                guard.disarm();
            }
            AttemptEnd::Failed(_) => {}
        }
        end
    }
}

fn matcher(site: &AttemptSite, kind: AttemptKind, progress: &AnswerProgress) -> StreamMatcher {
    let attempt = site.attempt.clone();
    let incarnation = site.plan.incarnation;
    if kind == AttemptKind::Kept || progress.known_tokens().is_some() {
        return StreamMatcher::behind(attempt, incarnation, progress);
    }
    StreamMatcher::again(attempt, incarnation)
}

async fn open_stream<E: EngineClient>(
    context: &EntryContext<E>,
    order: &CompletionOrder,
    site: &AttemptSite,
    kind: AttemptKind,
    progress: &AnswerProgress,
) -> Result<E::Stream, AttemptFault> {
    let timeout = context.settings.start_timeout();
    let started = match kind {
        AttemptKind::Start => {
            let stream_order = StreamRequest {
                attempt: site.attempt.clone(),
                replica: site.plan.id.clone(),
                incarnation: site.plan.incarnation,
                model: order.model.clone(),
                adapter: order.adapter.clone(),
                prompt: order.prompt.clone(),
                max_tokens: order.max_tokens,
                seed: order.seed,
                priority: 0,
                resume: progress.known_tokens().unwrap_or_default().to_vec(),
            };
            context
                .engine
                .start(site.leader, &stream_order, timeout)
                .await
        }
        AttemptKind::Kept => {
            let resume = ResumeRequest {
                from: progress.offset().count,
            };
            context
                .engine
                .resume(site.leader, &site.attempt, resume, timeout)
                .await
        }
    };
    match started {
        Ok(StreamStart::Running(stream)) => Ok(stream),
        Ok(StreamStart::Refused {
            replica_changed,
            retry_after,
        }) => Err(AttemptFault::Refused {
            replica_changed,
            retry_after,
        }),
        Err(error) if error.is_unsent() => Err(AttemptFault::Unsent(error.to_string())),
        Err(error) => Err(AttemptFault::Broken(error.to_string())),
    }
}

struct StreamFollower<'a, E: EngineClient> {
    context: &'a EntryContext<E>,
    site: &'a AttemptSite,
    targets: watch::Receiver<Arc<TargetView>>,
    stream: E::Stream,
    matcher: StreamMatcher,
    begin_limit: Duration,
    slot: Option<&'a mut SlotGuard>,
}

/// What a follower waited for.
enum FollowStep {
    Event(StreamEvent),
    Left(AttemptEnd),
    NewView,
}

impl<E: EngineClient> StreamFollower<'_, E> {
    async fn follow<A: AnswerSink>(
        &mut self,
        progress: &mut AnswerProgress,
        sink: &mut A,
    ) -> AttemptEnd {
        let mut shutdown = self.context.shutdown.watch();
        let mut last_event = Instant::now();
        let mut begun = false;
        loop {
            let standing = self.standing();
            let Some(limit) = standing.silence_limit(&self.context.settings) else {
                return AttemptEnd::Failed(AttemptFault::HostMissing);
            };
            let limit = self.with_begin(limit, begun);
            let left = limit.saturating_sub(last_event.elapsed());
            let can_hand_over = sink.can_hand_over();
            let seen = tokio::select! {
                biased;
                () = sink.gone() => FollowStep::Left(AttemptEnd::CallerGone),
                () = shutdown.handing_over(), if can_hand_over => {
                    FollowStep::Left(AttemptEnd::HandOver)
                }
                changed = self.targets.changed() => match changed {
                    Ok(()) => FollowStep::NewView,
                    Err(_) => FollowStep::Left(AttemptEnd::Failed(AttemptFault::HostMissing)),
                },
                event = tokio::time::timeout(left, self.stream.next_event(limit)) => {
                    read_step(event, limit)
                }
            };
            let event = match seen {
                FollowStep::NewView => continue,
                FollowStep::Left(end) => return end,
                FollowStep::Event(event) => event,
            };
            match self.matcher.take(progress, event) {
                // Events of another attempt are no sign that this one lives.
                MatchStep::Drop => continue,
                MatchStep::Known => {}
                MatchStep::Deliver(text) => {
                    if sink.token(text, progress.offset()).await.is_err() {
                        return AttemptEnd::CallerGone;
                    }
                }
                MatchStep::Finished(end) => return AttemptEnd::Finished(end),
                MatchStep::Fault(fault) => return AttemptEnd::Failed(fault.into()),
            }
            last_event = Instant::now();
            begun = true;
            if let Some(slot) = &mut self.slot {
                slot.record_first_token();
            }
        }
    }

    /// A stream may wait in the engine's queue and read a long prompt before its first token; the
    /// request's own deadline bounds that better than the silence between two tokens.
    fn with_begin(&self, limit: Duration, begun: bool) -> Duration {
        if begun {
            return limit;
        }
        limit.max(self.begin_limit)
    }

    fn standing(&mut self) -> ReplicaStanding {
        let view = Arc::clone(&self.targets.borrow_and_update());
        let limit = self.context.settings.max_evidence_age();
        ReplicaStanding::judge(&view, &self.site.plan, Instant::now(), limit)
    }
}

type EventRead = Result<Result<Option<StreamEvent>, web::ClientError>, tokio::time::error::Elapsed>;

fn read_step(read: EventRead, limit: Duration) -> FollowStep {
    let fault = match read {
        Ok(Ok(Some(event))) => return FollowStep::Event(event),
        Ok(Ok(None)) => AttemptFault::Broken("it ended without a final mark".to_owned()),
        Ok(Err(web::ClientError::TimedOut(_))) | Err(_) => AttemptFault::Silent(limit),
        Ok(Err(error)) => AttemptFault::Broken(error.to_string()),
    };
    FollowStep::Left(AttemptEnd::Failed(fault))
}
