//! Relays event streams to clients and resumes them at another target after a failure.

mod failover;

use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use domain::{FastSet, HostId, RequestId};
use events::{EventCode, LogLine};
use futures::Stream;
use http::{Response, StatusCode};
use http_body_util::BodyExt;
use serving::eventless_time::EventlessTime;
use serving::{EventSplitter, GatewayConfig};

use crate::admitted::AdmittedRequest;
use crate::held::ClientHold;
use crate::node::{GatewayNode, ReplicaLostSignal};
use crate::target_response::TargetResponse;

/// The stream ended before its last event. The client connection is closed without the end of the
/// chunked body, so that the client can detect the truncation.
#[derive(Debug, Clone, Copy)]
pub struct StreamTruncated;

impl fmt::Display for StreamTruncated {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("stream truncated")
    }
}

impl std::error::Error for StreamTruncated {}

/// Response of a stream's first target, and the attempts it took to get it.
#[derive(Debug)]
pub struct StreamSource {
    /// Response whose body is the stream.
    pub response: TargetResponse,
    /// Number of targets that the request was sent to.
    pub attempts: u32,
    /// Targets that were tried, including the current one.
    pub tried: FastSet<HostId>,
}

/// A stream that is being relayed to its client.
pub struct StreamRelay {
    node: Rc<GatewayNode>,
    config: Rc<GatewayConfig>,
    request: Rc<AdmittedRequest>,
    source: Option<TargetResponse>,
    loss_signal: Rc<ReplicaLostSignal>,
    last_host: Option<HostId>,
    splitter: EventSplitter,
    eventless: EventlessTime,
    attempts: u32,
    tried: FastSet<HostId>,
    /// Whether the current target is known to have survived the response.
    is_sound: bool,
    first_event_at: Option<Duration>,
    last_event_at: Duration,
    /// Longest time between two events.
    longest_pause: Duration,
    /// Whether the stream waits for a stalled target because no other one can resume it.
    waits_for_stalled: bool,
    finished: bool,
    client: Rc<ClientHold>,
}

enum SourceEvent {
    Bytes(Bytes),
    End,
    Broken(String),
    /// The replica is stalled, although the connection itself works.
    Stalled,
    TimedOut,
}

impl StreamRelay {
    /// Creates a relay for a stream whose first target has responded.
    pub fn new(
        node: &Rc<GatewayNode>,
        config: Rc<GatewayConfig>,
        request: Rc<AdmittedRequest>,
        source: StreamSource,
        client: &Rc<ClientHold>,
    ) -> Self {
        Self {
            node: Rc::clone(node),
            config,
            splitter: EventSplitter::after(request.last_event),
            eventless: EventlessTime::default(),
            loss_signal: node.loss_signal(&source.response.host),
            last_host: Some(source.response.host.clone()),
            source: Some(source.response),
            attempts: source.attempts,
            tried: source.tried,
            is_sound: false,
            first_event_at: None,
            last_event_at: Duration::ZERO,
            longest_pause: Duration::ZERO,
            waits_for_stalled: false,
            finished: false,
            request,
            client: Rc::clone(client),
        }
    }

    /// Response for the client. Status and headers come from the first target, even if another one
    /// resumes the stream.
    pub fn into_response(self) -> Response<impl Stream<Item = Result<Bytes, StreamTruncated>>> {
        let (status, headers) = match &self.source {
            Some(response) => (response.status, response.headers.clone()),
            None => (StatusCode::BAD_GATEWAY, http::HeaderMap::new()),
        };
        let events = futures::stream::unfold(self, |mut relay| async move {
            let events = relay.next().await?;
            Some((events, relay))
        });
        let mut response = Response::new(events);
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        response
    }

    /// Returns the next complete events, or `None` at the end of the stream.
    async fn next(&mut self) -> Option<Result<Bytes, StreamTruncated>> {
        loop {
            if self.finished {
                return None;
            }
            let failure = match self.read().await {
                SourceEvent::Bytes(bytes) => match self.split(&bytes) {
                    Ok(None) => continue,
                    Ok(Some(events)) => return Some(Ok(events)),
                    Err(reason) => reason,
                },
                SourceEvent::End => match self.check_end().await {
                    Ok(()) => {
                        self.finish();
                        return None;
                    }
                    Err(reason) => self.record_broken(reason),
                },
                SourceEvent::Broken(reason) => self.record_broken(reason),
                SourceEvent::Stalled => {
                    self.fail_over_stalled().await;
                    continue;
                }
                SourceEvent::TimedOut => {
                    self.abort("request deadline exceeded");
                    return Some(Err(StreamTruncated));
                }
            };
            self.source = None;
            if let Err(reason) = self.fail_over(&failure).await {
                self.abort(&format!("{failure}; {reason}"));
                return Some(Err(StreamTruncated));
            }
        }
    }

    /// Adds bytes of the body; returns the events that they complete.
    ///
    /// # Errors
    ///
    /// Why the stream counts as broken, although the connection works.
    fn split(&mut self, bytes: &[u8]) -> Result<Option<Bytes>, String> {
        let last_id = self.splitter.last_id();
        let events = self
            .splitter
            .push(bytes)
            .map_err(|_| "event too large".to_owned())?;
        if self.splitter.last_id() != last_id {
            self.record_event();
        }
        let without_id = self.splitter.bytes_without_id();
        if self.eventless.record_bytes(self.node.now(), without_id) {
            return Err("bytes without events".to_owned());
        }
        Ok(events)
    }

    /// Checks that the end of the body is that of the stream.
    ///
    /// # Errors
    ///
    /// Why it is not.
    async fn check_end(&self) -> Result<(), String> {
        if self.splitter.has_partial() {
            return Err("stream ended inside an event".to_owned());
        }
        match &self.source {
            Some(source) if source.is_cut_empty() => {
                Err("stream ended with its connection before its first event".to_owned())
            }
            Some(source) if source.may_be_cut(&self.node).await => {
                Err("stream cut off at the end of its connection".to_owned())
            }
            _ => Ok(()),
        }
    }

    fn record_broken(&self, reason: String) -> String {
        if let Some(source) = &self.source {
            source.record_broken(&self.node, &self.request);
        }
        reason
    }

    fn record_event(&mut self) {
        let now = self.node.now();
        if self.first_event_at.is_some() {
            let pause = now.saturating_sub(self.last_event_at);
            self.longest_pause = self.longest_pause.max(pause);
        }
        if self.first_event_at.is_none() {
            self.first_event_at = Some(now);
        }
        self.last_event_at = now;
        self.eventless.record_event(now);
        let Some(source) = &self.source else { return };
        source.record_event(&self.node);
        if !self.is_sound {
            self.is_sound = source.record_if_sound(&self.node, &self.request);
        }
    }

    async fn read(&mut self) -> SourceEvent {
        let left = self.request.time_left(self.node.now());
        let Some(source) = &mut self.source else {
            return SourceEvent::Broken("no target connection".to_owned());
        };
        // The bytes of a stream that never ends may always be there; nothing else would be polled then.
        if left.is_zero() {
            return SourceEvent::TimedOut;
        }
        let path = source.path();
        tokio::select! {
            biased;
            frame = source.body.frame() => match frame {
                None => SourceEvent::End,
                Some(Err(error)) => SourceEvent::Broken(error.to_string()),
                Some(Ok(frame)) => {
                    source.record_bytes(&self.node);
                    SourceEvent::Bytes(frame.into_data().unwrap_or_default())
                }
            },
            () = self.loss_signal.lost(), if !self.waits_for_stalled => SourceEvent::Stalled,
            () = path.silent(&self.node), if !self.waits_for_stalled => SourceEvent::Stalled,
            () = tokio::time::sleep(left) => SourceEvent::TimedOut,
        }
    }

    fn finish(&mut self) {
        self.finished = true;
        if let Some(source) = self.source.take() {
            source.record_complete(&self.node, &self.request);
            source.release_connection(&self.node);
        }
        self.record_end(StatusCode::OK);
        let line = self.log_line(EventCode::GatewayAnswered);
        self.node.log(&line);
    }

    fn abort(&mut self, reason: &str) {
        self.finished = true;
        self.source = None;
        self.record_end(StatusCode::BAD_GATEWAY);
        let line = self.log_line(EventCode::StreamCut).text("reason", reason);
        self.node.log(&line);
    }

    fn record_end(&self, status: StatusCode) {
        let took = self.node.now().saturating_sub(self.request.arrived);
        let first = self
            .first_event_at
            .map(|at| at.saturating_sub(self.request.arrived));
        self.node
            .metrics
            .record_request(self.request.labels(), status, took);
        if let Some(first) = first {
            self.node
                .metrics
                .record_first_event(self.request.labels(), first);
        }
    }

    fn log_line(&self, code: EventCode) -> LogLine {
        let since = |at: Duration| at.saturating_sub(self.request.arrived);
        let line = LogLine::new(code)
            .text(
                "request",
                self.request.id.as_ref().map_or("", RequestId::as_str),
            )
            .text("route", &self.request.route)
            .number("status", 200)
            .number("attempts", u64::from(self.attempts))
            .number("last_event", self.splitter.last_id().unwrap_or(0))
            .millis("took_ms", since(self.node.now()));
        let line = match &self.last_host {
            Some(host) => line.text("host", host.as_str()),
            None => line,
        };
        match self.first_event_at {
            Some(at) => line
                .millis("first_ms", since(at))
                .millis("pause_ms", self.longest_pause),
            None => line,
        }
    }
}

impl Drop for StreamRelay {
    fn drop(&mut self) {
        if self.finished {
            return;
        }
        if self.client.is_cut() {
            // It has its own log line.
            self.record_end(StatusCode::BAD_GATEWAY);
            return;
        }
        let line = self.log_line(EventCode::CallerLeft);
        self.node.log(&line);
    }
}
