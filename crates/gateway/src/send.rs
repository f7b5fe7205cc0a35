//! Sends a request to one target (one attempt).

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use adapter::{FaultyTarget, ForwardHeaders, ResponseHeaders};
use domain::{BootNumber, CustomerId, HostId, ServiceName};
use http::{HeaderMap, Request, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use serving::poison::{COMPLETE_ANSWER_AGE, SOUND_ANSWER_AGE};
use serving::{TargetEntry, TargetProcess, TargetState};
use web::{ConnectionError, is_close_delimited};

use crate::admitted::AdmittedRequest;
use crate::attempt_connection::{
    ConnectionPath, ConnectionReuse, acquire_connection, connect, record_unreachable, send_watched,
};
use crate::crash::{InterruptedRequest, has_exited, record_interrupted};
use crate::hints::LoadHint;
use crate::node::{FailureKind, GatewayNode};
use crate::probe::refresh_refusing;
use crate::tunnel::TargetConnection;

/// Counts a request as in flight at a target until dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    node: Rc<GatewayNode>,
    host: HostId,
    /// Whether the target is the head of a replica. Only heads are probed for lack of progress: a
    /// call to a plain service sends nothing until its end, however long it runs.
    is_head: bool,
    service: ServiceName,
    customer: Option<CustomerId>,
}

impl InFlightGuard {
    fn new(node: &Rc<GatewayNode>, request: &AdmittedRequest, target: &TargetEntry) -> Self {
        let now = node.now();
        if let Some(customer) = &request.customer {
            node.with_customer_shares(&request.service, |shares| shares.record_sent(customer));
        }
        let is_head = target.membership.is_some();
        node.with_load(&target.id, serving::TargetLoad::record_sent);
        if is_head {
            node.with_stall_detector(&target.id, |detector| detector.request_started(now));
            record_sent_prompt(node, request, &target.id);
        }
        Self {
            node: Rc::clone(node),
            host: target.id.clone(),
            is_head,
            service: request.service.clone(),
            customer: request.customer.clone(),
        }
    }

    /// Records that response bytes arrived.
    pub fn record_progress(&self) {
        let now = self.node.now();
        if self.is_head {
            self.node
                .with_stall_detector(&self.host, |detector| detector.record_progress(now));
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.node
            .with_load(&self.host, serving::TargetLoad::record_end);
        if let Some(customer) = &self.customer {
            self.node
                .with_customer_shares(&self.service, |shares| shares.record_ended(customer));
        }
        if self.is_head {
            self.node
                .with_stall_detector(&self.host, serving::stall::StallDetector::request_ended);
        }
    }
}

fn record_sent_prompt(node: &GatewayNode, request: &AdmittedRequest, head: &HostId) {
    let rate = node.config().and_then(|config| {
        let service = config.services.get(&request.service)?;
        Some(request.prefill_rate(service))
    });
    node.record_prompt(head, request.prompt_tokens, rate.unwrap_or(0.0));
    node.hints.send(LoadHint::Sent {
        head: head.into(),
        tokens: request.prompt_tokens,
    });
}

/// A target's response whose body has not been read yet.
#[derive(Debug)]
pub struct TargetResponse {
    /// Target that sent the response.
    pub host: HostId,
    /// Boot number of the target's process.
    pub boot: BootNumber,
    /// Time at which the response head arrived, measured from process start.
    pub started_at: Duration,
    /// HTTP status code, which need not be a success.
    pub status: StatusCode,
    /// Response headers without hop-by-hop headers.
    pub headers: HeaderMap,
    /// Platform-specific headers, parsed.
    pub parsed_headers: ResponseHeaders,
    /// Whether the body has neither a length nor chunks and ends with its connection.
    pub is_close_delimited: bool,
    /// When the first bytes of the body arrived, measured from process start.
    pub first_bytes_at: Cell<Option<Duration>>,
    /// Unread response body.
    pub body: Incoming,
    /// Connection of the response, returned to the pool at the end of the body.
    pub connection: TargetConnection,
    /// Counts the request as in flight at the target.
    pub in_flight: InFlightGuard,
}

/// Outcome of an attempt.
#[derive(Debug)]
pub enum AttemptOutcome {
    /// The target sent a response head.
    Responded(Box<TargetResponse>),
    /// No byte of the request reached the target.
    Unsent(String),
    /// The target reported that it did not execute the request.
    NotExecuted(StatusCode),
    /// The request may have been executed, but there is no usable response.
    Ambiguous(String),
    /// The request may have been executed; no response head came before the attempt timeout.
    TimedOut,
}

impl AttemptOutcome {
    fn label(&self) -> &'static str {
        match self {
            Self::Responded(_) => "answered",
            Self::Unsent(_) => "unsent",
            Self::NotExecuted(_) => "not_run",
            Self::Ambiguous(_) => "lost",
            Self::TimedOut => "timed_out",
        }
    }
}

/// Sends a request to a target and waits for the response head, at most for `limit`.
pub async fn send_attempt(
    node: &Rc<GatewayNode>,
    request: &AdmittedRequest,
    target: &TargetEntry,
    last_event: Option<u64>,
    reuse: ConnectionReuse,
    limit: Duration,
) -> AttemptOutcome {
    let id = &target.id;
    let in_flight = InFlightGuard::new(node, request, target);
    let signal = node.loss_signal(id);
    let attempt = async {
        tokio::select! {
            outcome = send_request(node, request, target, last_event, reuse) => outcome,
            () = signal.lost() => Err(AttemptOutcome::Ambiguous("replica stalled".to_owned())),
        }
    };
    let exchange = match tokio::time::timeout(limit, attempt).await {
        Ok(Ok(exchange)) => exchange,
        Ok(Err(outcome)) => return record_failure(node, request, id, outcome),
        Err(_) => return record_failure(node, request, id, AttemptOutcome::TimedOut),
    };
    in_flight.record_progress();
    if !exchange.connection.is_tunnelled {
        node.record_path_received(id);
    }
    let outcome = classify_response(node, request, exchange, in_flight, target);
    node.metrics
        .record_attempt(request.service.as_str(), outcome.label());
    outcome
}

struct Exchange {
    connection: TargetConnection,
    response: http::Response<Incoming>,
}

async fn send_request(
    node: &Rc<GatewayNode>,
    request: &AdmittedRequest,
    target: &TargetEntry,
    last_event: Option<u64>,
    reuse: ConnectionReuse,
) -> Result<Exchange, AttemptOutcome> {
    let mut connection = match acquire_connection(node, request, target, reuse).await {
        Ok(connection) => connection,
        Err(error) => return Err(record_unreachable(node, target, &error)),
    };
    let forward_headers = ForwardHeaders {
        time_left: request.time_left(node.now()),
        host: &target.id,
        customer: request.customer.as_ref(),
        priority: request.priority,
        last_event,
    };
    let headers = forward_headers.apply(&request.headers);
    let outgoing = || {
        let mut outgoing = Request::new(Full::new(request.body.clone()));
        *outgoing.method_mut() = request.method.clone();
        *outgoing.uri_mut() = request.uri.clone();
        *outgoing.headers_mut() = headers.clone();
        outgoing
    };
    let sent_at = node.now();
    let mut sent = send_watched(node, request, target, &mut connection, outgoing()).await?;
    if matches!(sent, Err(ConnectionError::Unsent)) {
        // The target had closed the idle connection. Nothing was written, so a new connection is
        // used. If this counted as a failure, a target that closes connections early would fail
        // every request that reuses one.
        connection = match connect(node, request, target).await {
            Ok(connection) => connection,
            Err(error) => return Err(record_unreachable(node, target, &error)),
        };
        sent = send_watched(node, request, target, &mut connection, outgoing()).await?;
    }
    match sent {
        Ok(response) => Ok(Exchange {
            connection,
            response,
        }),
        Err(error) if error.is_unsent() => Err(AttemptOutcome::Unsent(error.to_string())),
        Err(error) => {
            // A call to a plain service runs from the moment it is sent, a stream from its first
            // event.
            if !connection.is_tunnelled {
                node.record_connection_broken(&target.id);
            }
            let is_plain = target.membership.is_none();
            let response_age = is_plain.then(|| node.now().saturating_sub(sent_at));
            let process = TargetProcess {
                host: target.id.clone(),
                boot: target.boot,
            };
            let interrupted = InterruptedRequest {
                response_age,
                is_outlived: false,
                ..InterruptedRequest::new(request)
            };
            record_interrupted(node, process, interrupted);
            Err(AttemptOutcome::Ambiguous(error.to_string()))
        }
    }
}

fn record_failure(
    node: &GatewayNode,
    request: &AdmittedRequest,
    id: &HostId,
    outcome: AttemptOutcome,
) -> AttemptOutcome {
    if matches!(
        outcome,
        AttemptOutcome::Ambiguous(_) | AttemptOutcome::TimedOut
    ) {
        let now = node.now();
        node.with_load(id, |load| load.record_failure(now));
    }
    node.metrics
        .record_attempt(request.service.as_str(), outcome.label());
    outcome
}

fn classify_response(
    node: &Rc<GatewayNode>,
    request: &AdmittedRequest,
    exchange: Exchange,
    in_flight: InFlightGuard,
    target: &TargetEntry,
) -> AttemptOutcome {
    let id = &target.id;
    let (head, body) = exchange.response.into_parts();
    let parsed_headers = ResponseHeaders::from(&head.headers);
    let request_id = request.id.as_ref().map(domain::RequestId::as_str);
    // Response to another request: the target sent one too many on this connection.
    if parsed_headers.request.is_some() && parsed_headers.request.as_deref() != request_id {
        return AttemptOutcome::Ambiguous("response belongs to another request".to_owned());
    }
    if let Some(load) = parsed_headers.load {
        let now = node.now();
        node.with_load(id, |known| known.record_report(load, now));
        if target.membership.is_some() {
            node.share_load(id, load, head.status.is_success());
        }
    }
    if parsed_headers.not_executed || head.status == StatusCode::MISDIRECTED_REQUEST {
        // Without a load, a head that rejects all requests would look free to every node.
        if parsed_headers.load.is_none() && target.membership.is_some() {
            node.share_silence(id);
        }
        let misdirected = head.status == StatusCode::MISDIRECTED_REQUEST;
        match &parsed_headers.faulty_target {
            Some(FaultyTarget::Id(faulty)) if faulty != id => {
                node.suspect(
                    faulty,
                    FailureKind::Refused,
                    "reported missing by its replica head",
                );
            }
            Some(FaultyTarget::Address(address)) if *address != target.address => {
                if let Some(faulty) = node.target_at(*address) {
                    node.suspect(
                        &faulty,
                        FailureKind::Refused,
                        "reported missing by its replica head",
                    );
                }
            }
            // The target is no longer the head of a serving replica, or another target has its
            // address.
            _ if misdirected && target.membership.is_some() => refresh_refusing(node, id),
            _ if misdirected => {
                node.suspect(
                    id,
                    FailureKind::Unresponsive,
                    "address belongs to another target",
                );
            }
            _ => {}
        }
        return AttemptOutcome::NotExecuted(head.status);
    }
    let success = head.status.is_success();
    if success && !parsed_headers.signed {
        let now = node.now();
        node.with_load(id, |load| load.record_failure(now));
        return AttemptOutcome::Ambiguous("response is not signed".to_owned());
    }
    if success {
        node.with_load(id, serving::TargetLoad::record_success);
    } else {
        let now = node.now();
        node.with_load(id, |load| load.record_failure(now));
    }
    let response = TargetResponse {
        host: id.clone(),
        boot: target.boot,
        started_at: node.now(),
        status: head.status,
        headers: adapter::headers::without_hop_by_hop_headers(&head.headers),
        parsed_headers,
        is_close_delimited: is_close_delimited(&head.headers),
        first_bytes_at: Cell::default(),
        body,
        connection: exchange.connection,
        in_flight,
    };
    node.crashes
        .record_alive(&response.process(), node.evidence_time());
    AttemptOutcome::Responded(Box::new(response))
}

impl TargetResponse {
    /// Whether the end of the body may be that of its target: the body ends with its connection, and the
    /// target's process has exited. A target that leaves ends what it has begun, though it accepts no new
    /// connections.
    pub async fn has_died(&self, node: &GatewayNode) -> bool {
        let is_leaving = || {
            node.registry(|registry| {
                let entry = registry.get(&self.host);
                entry.is_none_or(|entry| entry.state == TargetState::Draining)
            })
        };
        self.is_close_delimited && !is_leaving() && has_exited(node, &self.process()).await
    }

    /// Records that bytes of the body arrived.
    pub fn record_progress(&self, node: &GatewayNode) {
        self.in_flight.record_progress();
        if self.first_bytes_at.get().is_none() {
            self.first_bytes_at.set(Some(node.now()));
        }
        if !self.connection.is_tunnelled {
            node.record_path_received(&self.host);
        }
    }

    /// Path of the response's connection.
    #[must_use]
    pub fn path(&self) -> ConnectionPath {
        ConnectionPath::of(&self.host, &self.connection)
    }

    /// Records that the connection broke before the end of the body.
    pub fn record_broken(&self, node: &Rc<GatewayNode>, request: &AdmittedRequest) {
        if !self.connection.is_tunnelled {
            node.record_connection_broken(&self.host);
        }
        let interrupted = InterruptedRequest {
            response_age: Some(node.now().saturating_sub(self.started_at)),
            is_outlived: self.is_outlived(node),
            ..InterruptedRequest::new(request)
        };
        record_interrupted(node, self.process(), interrupted);
    }

    fn process(&self) -> TargetProcess {
        TargetProcess {
            host: self.host.clone(),
            boot: self.boot,
        }
    }

    /// Whether the target has sent bytes of the body for long enough to have survived it.
    fn is_outlived(&self, node: &GatewayNode) -> bool {
        self.written_for(node) >= SOUND_ANSWER_AGE
    }

    /// Time since the first bytes of the body arrived; zero if none have.
    fn written_for(&self, node: &GatewayNode) -> Duration {
        let first = self.first_bytes_at.get();
        first.map_or(Duration::ZERO, |first| node.now().saturating_sub(first))
    }

    /// Records that the target survived the response, if it has lasted long enough to show that; returns
    /// whether it has.
    pub fn record_if_sound(&self, node: &GatewayNode, request: &AdmittedRequest) -> bool {
        let Some(begun_at) = self.first_bytes_at.get().filter(|_| self.is_outlived(node)) else {
            return false;
        };
        let crashes = &node.crashes;
        crashes.record_sound(&request.shared_parts, node.evidence_time_at(begun_at));
        crashes.record_alive(&self.process(), node.evidence_time());
        true
    }

    /// Records that the response has ended as its target made it. Whether the target survives it may show
    /// later.
    pub fn record_complete(&self, node: &GatewayNode, request: &AdmittedRequest) {
        let begun_at = self.first_bytes_at.get().unwrap_or(self.started_at);
        let begun_at = node.evidence_time_at(begun_at);
        node.crashes.record_complete(request, begun_at);
        let parts = &request.shared_parts;
        if self.written_for(node) >= COMPLETE_ANSWER_AGE {
            node.crashes.record_sound(parts, begun_at);
        } else {
            node.crashes.watch_answer(self.process(), begun_at, parts);
        }
    }

    /// Returns the connection to the pool after the end of the body.
    pub fn release_connection(self, node: &GatewayNode) {
        let is_kept = !self.parsed_headers.connection_close && !self.is_close_delimited;
        if is_kept && !self.connection.is_tunnelled {
            node.pool.release(
                &self.host,
                self.connection.http,
                self.parsed_headers.keep_alive_timeout,
            );
        }
    }
}
