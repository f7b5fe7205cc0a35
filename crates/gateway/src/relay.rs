//! Streams: passing whole events on, and going on at another target when one is lost.

use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use domain::{FastSet, HostId, RequestId};
use events::{EventCode, EventLine};
use http::{Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Body, Frame};
use serving::{EventSplitter, GatewayConfig, PoisonVerdict, RouteKind};

use crate::admitted::AdmittedRequest;
use crate::node::{GatewayNode, LossSignal, RunningRequest};
use crate::send::{AttemptOutcome, TargetResponse, send_attempt};

/// Tries to find another target for a stream that lost its own.
const MOVE_TRIES: u32 = 6;

/// Pause between two of them. A lost replica's neighbours are briefly full with its streams.
const MOVE_PAUSE: Duration = Duration::from_millis(150);

/// Longest wait for the first event at the other target. Callers leave a stream after a pause of
/// two seconds.
const MOVE_LIMIT: Duration = Duration::from_millis(1800);

/// The stream ends before its last event. The connection to the caller is closed without the
/// mark of a whole answer, so the caller sees that something is missing.
#[derive(Debug, Clone, Copy)]
pub struct StreamEnd;

impl fmt::Display for StreamEnd {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("the stream was cut off")
    }
}

impl std::error::Error for StreamEnd {}

/// A stream's first target, and what finding it took.
#[derive(Debug)]
pub struct StreamSource {
    /// Its answer.
    pub response: TargetResponse,
    /// Targets that the request was sent to.
    pub attempts: u32,
    /// The targets.
    pub tried: FastSet<HostId>,
}

/// A stream on its way to its caller.
pub struct StreamRelay {
    node: Rc<GatewayNode>,
    config: Rc<GatewayConfig>,
    forward: Rc<AdmittedRequest>,
    source: Option<TargetResponse>,
    signal: Rc<LossSignal>,
    last_host: Option<HostId>,
    splitter: EventSplitter,
    attempts: u32,
    tried: FastSet<HostId>,
    first_event: Option<Duration>,
    last_moved: Duration,
    /// Longest pause between two events.
    longest_pause: Duration,
    /// Whether it waits for a target that stands still, because no other can go on.
    stays: bool,
    ended: bool,
    _running: RunningRequest,
}

enum SourceEvent {
    Bytes(Bytes),
    End,
    Broken(String),
    /// Its replica stands still; the connection itself is sound.
    Stalled,
    TimedOut,
}

impl StreamRelay {
    /// A relay whose first target has answered.
    pub fn new(
        node: &Rc<GatewayNode>,
        config: Rc<GatewayConfig>,
        forward: Rc<AdmittedRequest>,
        source: StreamSource,
        running: RunningRequest,
    ) -> Self {
        Self {
            node: Rc::clone(node),
            config,
            splitter: EventSplitter::after(forward.last_event),
            signal: node.loss_signal(&source.response.host),
            last_host: Some(source.response.host.clone()),
            source: Some(source.response),
            attempts: source.attempts,
            tried: source.tried,
            first_event: None,
            last_moved: Duration::ZERO,
            longest_pause: Duration::ZERO,
            stays: false,
            ended: false,
            forward,
            _running: running,
        }
    }

    /// The answer to the caller. Its head stays that of the first target, whoever goes on.
    pub fn into_response(self) -> Response<impl Body<Data = Bytes, Error = StreamEnd>> {
        let (status, headers) = match &self.source {
            Some(response) => (response.status, response.headers.clone()),
            None => (StatusCode::BAD_GATEWAY, http::HeaderMap::new()),
        };
        let frames = futures::stream::unfold(self, |mut relay| async move {
            let frame = relay.next().await?;
            Some((frame.map(Frame::data), relay))
        });
        let mut response = Response::new(StreamBody::new(frames));
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        response
    }

    /// The next whole events, or the end.
    async fn next(&mut self) -> Option<Result<Bytes, StreamEnd>> {
        loop {
            if self.ended {
                return None;
            }
            let broken = match self.read().await {
                SourceEvent::Bytes(bytes) => match self.splitter.push(&bytes) {
                    Ok(None) => continue,
                    Ok(Some(events)) => {
                        self.note_event();
                        return Some(Ok(events));
                    }
                    Err(_) => "an event is too large".to_owned(),
                },
                SourceEvent::End if !self.splitter.has_partial() => {
                    self.finish();
                    return None;
                }
                SourceEvent::End => "the stream ended inside an event".to_owned(),
                SourceEvent::Broken(reason) => {
                    if let Some(source) = &self.source {
                        source.record_broken(&self.node, &self.forward);
                    }
                    reason
                }
                SourceEvent::Stalled => {
                    self.leave_stalled().await;
                    continue;
                }
                SourceEvent::TimedOut => {
                    self.cut("its time is over");
                    return Some(Err(StreamEnd));
                }
            };
            self.source = None;
            if let Err(reason) = self.go_elsewhere(&broken).await {
                self.cut(&format!("{broken}; {reason}"));
                return Some(Err(StreamEnd));
            }
        }
    }

    fn note_event(&mut self) {
        let now = self.node.now();
        if self.first_event.is_some() {
            let pause = now.saturating_sub(self.last_moved);
            self.longest_pause = self.longest_pause.max(pause);
        }
        self.first_event.get_or_insert(now);
        self.last_moved = now;
    }

    async fn read(&mut self) -> SourceEvent {
        let left = self.forward.time_left(self.node.now());
        let Some(source) = &mut self.source else {
            return SourceEvent::Broken("no target".to_owned());
        };
        tokio::select! {
            biased;
            frame = source.body.frame() => match frame {
                None => SourceEvent::End,
                Some(Err(error)) => SourceEvent::Broken(error.to_string()),
                Some(Ok(frame)) => {
                    source.in_flight.record_progress();
                    SourceEvent::Bytes(frame.into_data().unwrap_or_default())
                }
            },
            () = self.signal.lost(), if !self.stays => SourceEvent::Stalled,
            () = tokio::time::sleep(left) => SourceEvent::TimedOut,
        }
    }

    /// Tries another target for a stream whose replica stands still. Where none goes on, the
    /// stream stays: silence is no reason to cut off an answer that may still come.
    async fn leave_stalled(&mut self) {
        if let Err(reason) = self.go_elsewhere("the replica stands still").await {
            self.stays = true;
            let line = self.line(EventCode::StreamStays).text("reason", &reason);
            self.node.log(&line);
        }
    }

    /// How long the caller still waits for the next event.
    ///
    /// Its answer is late already and half of it is there. Held to the few places in which a new
    /// request begins in time, a stream whose replica was lost found all others full and lost the
    /// rest; a new caller can come back instead.
    fn patience(&self) -> Duration {
        let heard = self.last_moved.max(self.forward.arrived);
        let silent = self.node.now().saturating_sub(heard);
        let left = MOVE_LIMIT.saturating_sub(silent);
        left.max(self.forward.target_latency)
    }

    /// Lets another target go on after the last whole event.
    async fn go_elsewhere(&mut self, lost: &str) -> Result<(), String> {
        if self.forward.kind != (RouteKind::Streaming { resumable: true }) {
            return Err("it may not be resumed".to_owned());
        }
        let mut reason = "no attempts left".to_owned();
        for trial in 0..MOVE_TRIES {
            if self.attempts >= self.forward.max_attempts {
                return Err(reason);
            }
            if trial > 0 {
                tokio::time::sleep(MOVE_PAUSE).await;
            }
            if self.node.blame_standing(&self.forward) != PoisonVerdict::Clear {
                return Err("targets may end under it".to_owned());
            }
            let patience = self.patience();
            let chosen =
                self.forward
                    .select_target(&self.node, &self.config, &self.tried, patience);
            let target = match chosen {
                Ok(target) => target,
                Err(none) => {
                    reason = none.to_string();
                    continue;
                }
            };
            let now = self.node.now();
            let nodes = self.node.node_count();
            let service = &self.forward.service;
            if !self
                .node
                .with_budget(service, |budget| budget.take(now, nodes))
            {
                return Err("no repeats left".to_owned());
            }
            let limit = self.forward.time_left(now).min(MOVE_LIMIT);
            self.tried.insert(target.id.clone());
            let after = self.splitter.last_id();
            let end = send_attempt(&self.node, &self.forward, &target, after, limit).await;
            match end {
                AttemptOutcome::Responded(response) if response.status == StatusCode::OK => {
                    self.attempts += 1;
                    self.signal = self.node.loss_signal(&response.host);
                    self.last_host = Some(response.host.clone());
                    self.log_move(lost, &response.host);
                    // What the first target left of an event is not joined with the other's.
                    self.splitter.drop_partial();
                    self.source = Some(*response);
                    return Ok(());
                }
                AttemptOutcome::Responded(response) => {
                    self.attempts += 1;
                    reason = format!("the other target answered {}", response.status);
                }
                AttemptOutcome::Unsent(why) => reason = why,
                AttemptOutcome::NotExecuted(status) => {
                    reason = format!("the other target said {status}")
                }
                AttemptOutcome::Ambiguous(why) => {
                    self.attempts += 1;
                    reason = why;
                }
                AttemptOutcome::TimedOut => {
                    self.attempts += 1;
                    "the other target did not answer in time".clone_into(&mut reason);
                }
            }
        }
        Err(reason)
    }

    fn finish(&mut self) {
        self.ended = true;
        if let Some(source) = self.source.take() {
            source.release_connection(&self.node);
        }
        self.note_end(StatusCode::OK);
        let line = self.line(EventCode::GatewayAnswered);
        self.node.log(&line);
    }

    fn cut(&mut self, reason: &str) {
        self.ended = true;
        self.source = None;
        self.note_end(StatusCode::BAD_GATEWAY);
        let line = self.line(EventCode::StreamCut).text("reason", reason);
        self.node.log(&line);
    }

    fn note_end(&self, status: StatusCode) {
        let took = self.node.now().saturating_sub(self.forward.arrived);
        let first = self
            .first_event
            .map(|at| at.saturating_sub(self.forward.arrived));
        self.node
            .metrics
            .record_request(self.forward.labels(), status, took);
        if let Some(first) = first {
            self.node
                .metrics
                .record_first_event(self.forward.labels(), first);
        }
    }

    fn log_move(&self, lost: &str, host: &HostId) {
        let line = self
            .line(EventCode::StreamMoved)
            .text("to", host.as_str())
            .text("reason", lost);
        self.node.log(&line);
    }

    fn line(&self, code: EventCode) -> EventLine {
        let since = |at: Duration| at.saturating_sub(self.forward.arrived);
        let line = EventLine::new(code)
            .text(
                "request",
                self.forward.id.as_ref().map_or("", RequestId::as_str),
            )
            .text("route", &self.forward.route)
            .number("status", 200)
            .number("attempts", u64::from(self.attempts))
            .number("last_event", self.splitter.last_id().unwrap_or(0))
            .millis("took_ms", since(self.node.now()));
        let line = match &self.last_host {
            Some(host) => line.text("host", host.as_str()),
            None => line,
        };
        match self.first_event {
            Some(at) => line
                .millis("first_ms", since(at))
                .millis("pause_ms", self.longest_pause),
            None => line,
        }
    }
}

impl Drop for StreamRelay {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let line = self.line(EventCode::CallerLeft);
        self.node.log(&line);
    }
}
