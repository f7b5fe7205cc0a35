//! Sends a request to one target (one attempt).

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use adapter::{FaultyTarget, ForwardHeaders, ResponseHeaders};
use domain::HostId;
use http::{Request, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use serving::TargetEntry;
use serving::answer_proof::{AnswerMarks, AnswerProof, RequestEcho};
use web::{ConnectionError, is_close_delimited};

use crate::admitted::AdmittedRequest;
use crate::attempt_connection::{
    ConnectionReuse, acquire_connection, connect, record_unreachable, send_watched,
};
use crate::attempt_outcome::AttemptOutcome;
use crate::contradiction::record_contradiction;
use crate::crash::{InterruptedRequest, record_interrupted};
use crate::identity::record_unproved;
use crate::in_flight::InFlightGuard;
use crate::node::{FailureKind, GatewayNode};
use crate::probe::refresh_refusing;
use crate::statements::record_statements;
use crate::target_response::TargetResponse;
use crate::tunnel::{TargetConnection, tell_relay};

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
    if !exchange.connection.is_tunnelled() {
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
    /// When the request was sent, measured from process start.
    sent_at: Duration,
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
    node.take_send(target).map_err(AttemptOutcome::Barred)?;
    let mut sent = send_watched(node, request, target, &mut connection, outgoing()).await?;
    if matches!(sent, Err(ConnectionError::Unsent)) {
        // The target had closed the idle connection. Nothing was written, so a new connection is
        // used. If this counted as a failure, a target that closes connections early would fail
        // every request that reuses one.
        node.record_free_attempt(request, "idle connection was closed");
        connection = match connect(node, request, target).await {
            Ok(connection) => connection,
            Err(error) => return Err(record_unreachable(node, target, &error)),
        };
        node.recheck_send(target).map_err(AttemptOutcome::Barred)?;
        sent = send_watched(node, request, target, &mut connection, outgoing()).await?;
    }
    match sent {
        Ok(response) => Ok(Exchange {
            connection,
            response,
            sent_at,
        }),
        Err(error) if error.is_unsent() => Err(AttemptOutcome::Unsent(error.to_string())),
        Err(error) => {
            // A call to a plain service runs from the moment it is sent, a stream from its first
            // event.
            if !connection.is_tunnelled() {
                node.record_connection_broken(&target.id);
            }
            let is_plain = target.membership.is_none();
            let response_age = is_plain.then(|| node.now().saturating_sub(sent_at));
            let interrupted = InterruptedRequest {
                response_age,
                is_outlived: false,
                ..InterruptedRequest::new(request)
            };
            record_interrupted(node, target.process(), interrupted);
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
    // The client's own text: an id that is no identifier here is repeated by targets all the same.
    let request_id = adapter::headers::request_id_text(&request.headers);
    let marks = AnswerMarks {
        echo: RequestEcho::of(parsed_headers.request.as_deref(), request_id),
        is_signed: parsed_headers.signed,
        is_not_run: parsed_headers.not_executed || head.status == StatusCode::MISDIRECTED_REQUEST,
    };
    let proof = marks.proof();
    if let AnswerProof::Missing(gap) = proof {
        // The connection is dropped: what follows on it is not known to be the target's either.
        record_unproved(node, request, target, (head.status, &head.headers), gap);
        return AttemptOutcome::Ambiguous(gap.to_string());
    }
    in_flight.record_progress();
    let is_head = target.membership.is_some();
    let has_backoff = parsed_headers.statements.backoff(head.status).is_some();
    if let Some(load) = parsed_headers.load {
        let now = node.now();
        node.with_load(id, |known| known.record_report(load, now));
        // In its backoff a head may say that it runs few.
        if is_head && !has_backoff {
            node.share_load(id, load, head.status.is_success());
        }
    }
    if is_head && has_backoff {
        node.share_backoff(id);
    }
    record_statements(node, target, head.status, &parsed_headers, exchange.sent_at);
    if let Some(relay) = &exchange.connection.relay {
        let stated = (head.status, &parsed_headers.statements);
        tell_relay(node, relay, &target.process(), stated);
    }
    if proof == AnswerProof::NotRun {
        // Without a load, a head that rejects all requests would look free to every node.
        if is_head && parsed_headers.load.is_none() && !has_backoff {
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
            _ if misdirected && is_head => refresh_refusing(node, id),
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
    if head.status.is_success() {
        node.with_load(id, serving::TargetLoad::record_success);
    } else {
        let now = node.now();
        node.with_load(id, |load| load.record_failure(now));
    }
    if proof.contradicts(head.status.as_u16()) {
        record_contradiction(node, request, target, head.status);
    }
    let process = target.process();
    node.crashes.record_alive(&process, node.evidence_time());
    if proof.misleads(head.status.as_u16(), request.kind) {
        // The client can't be told more than that its request may have run, and learns it at once: the connection is
        // dropped with the rest of the answer.
        return AttemptOutcome::Ambiguous(format!(
            "target ran the request and returned {}, which promises that it has not run",
            head.status
        ));
    }
    let response = TargetResponse {
        host: id.clone(),
        address: target.address,
        boot: target.boot,
        membership: target.membership_key(),
        started_at: node.now(),
        status: head.status,
        headers: adapter::headers::without_hop_by_hop_headers(&head.headers),
        parsed_headers,
        is_close_delimited: is_close_delimited(&head.headers),
        first_event_at: Cell::default(),
        listener: Rc::default(),
        body,
        connection: exchange.connection,
        in_flight,
    };
    AttemptOutcome::Responded(Box::new(response))
}
