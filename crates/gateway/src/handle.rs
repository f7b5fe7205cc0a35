//! Handles a client request from admission to its final response.

use std::rc::Rc;
use std::time::Duration;

use adapter::RequestHeaders;
use bytes::Bytes;
use domain::{FastSet, HostId, RequestId};
use events::{EventCode, LogLine};
use futures::Stream;
use http::{Request, Response, StatusCode};
use http_body_util::{Either, Full};
use hyper::body::Incoming;
use serving::choose::NoTarget;
use serving::retry_budget::RetryPurpose;
use serving::{BarredSet, GatewayConfig, PoisonVerdict, RouteKind};

use crate::admit::{admit, reject_unconfigured};
use crate::admitted::{AdmittedRequest, SelectionError};
use crate::attempt_connection::ConnectionReuse;
use crate::attempt_outcome::AttemptOutcome;
use crate::buffered::{BufferedResponse, buffer_response};
use crate::crash::{ArrivalVerdict, describe_features};
use crate::held::{ClientHold, RelayedStream};
use crate::local_response::LocalResponse;
use crate::node::{GatewayNode, RequestGuard};
use crate::relay::{StreamRelay, StreamSource, StreamTruncated};
use crate::respond::{
    announce_close, announce_idle_timeout, ends_with_connection, local_response, log_response,
    rejected_response,
};
use crate::send::send_attempt;
use crate::target_response::TargetResponse;

/// `Retry-After` if there is no configuration or no replica: about the time it takes to read the
/// configuration or to repair a replica.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_millis(700);

/// `Retry-After` if all targets are full; some slots become free within it.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Part by which clients are told to come back later than a backoff ends, so that they don't all come at once.
const BACKOFF_RETRY_SPREAD: f64 = 0.25;

/// `Retry-After` while the node shuts down; another node can serve the request at once.
const SHUTDOWN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Maximum number of failed connections per request; each one delays the client.
const MAX_CONNECT_FAILURES: usize = 4;

/// Multiple of the target latency after which an idempotent request is retried at another target. A
/// response usually takes a tenth of the target latency.
const ATTEMPT_TIMEOUT_FACTOR: f64 = 1.2;

/// Body of a response: complete, or a stream of events.
type ResponseBody<S> = Either<Full<Bytes>, RelayedStream<S>>;

/// Handles a request and returns the response for the client.
pub async fn handle_request(
    node: Rc<GatewayNode>,
    request: Request<Incoming>,
    running: RequestGuard,
    client: Rc<ClientHold>,
) -> Response<ResponseBody<impl Stream<Item = Result<Bytes, StreamTruncated>>>> {
    let mut response = process_request(&node, request, running, &client).await;
    if node.is_shutting_down() || ends_with_connection(&response) {
        announce_close(&mut response);
    } else {
        announce_idle_timeout(&mut response, node.idle_timeout());
    }
    response
}

async fn process_request(
    node: &Rc<GatewayNode>,
    request: Request<Incoming>,
    running: RequestGuard,
    client: &Rc<ClientHold>,
) -> Response<ResponseBody<impl Stream<Item = Result<Bytes, StreamTruncated>> + use<>>> {
    let headers = RequestHeaders::from(request.headers());
    client.set_request(headers.id.as_ref());
    let Some(config) = node.config() else {
        let response = LocalResponse::NotExecuted(NO_TARGET_RETRY_AFTER);
        let rejection = reject_unconfigured(response, request.into_body()).await;
        return rejected_response(node, &headers, rejection).map(Either::Left);
    };
    let admitted = match admit(node, &config, request, &headers, client).await {
        Ok(admitted) => admitted,
        Err(rejection) => {
            return rejected_response(node, &headers, rejection).map(Either::Left);
        }
    };
    let admitted = match node.judge_arrival(&admitted).await {
        ArrivalVerdict::Clear => Rc::new(admitted),
        ArrivalVerdict::Suspect => Rc::new(admitted.without_retries()),
        ArrivalVerdict::Trial(features) => Rc::new(admitted.on_trial(features)),
        ArrivalVerdict::Barred(set) => {
            node.metrics
                .record_blocked(admitted.labels(), set.is_proved);
            let (response, reason) = bar_request(node, &admitted, &set);
            return local_response(node, &headers, Some(&admitted), response, &reason)
                .map(Either::Left);
        }
    };
    let plan = node.shutdown_plan();
    if plan.is_some_and(|plan| !plan.accepts(admitted.arrived, admitted.deadline)) {
        let response = LocalResponse::NotExecuted(SHUTDOWN_RETRY_AFTER);
        return local_response(
            node,
            &headers,
            Some(&admitted),
            response,
            "node is shutting down",
        )
        .map(Either::Left);
    }
    if let Err(too_large) = admitted.check_memory(&config) {
        let response = LocalResponse::NotExecuted(NO_TARGET_RETRY_AFTER);
        let reason = too_large.to_string();
        return local_response(node, &headers, Some(&admitted), response, &reason)
            .map(Either::Left);
    }
    node.record_arrival(&admitted);
    match run_attempts(node, &config, &admitted, client).await {
        Outcome::Local(response, reason) => {
            local_response(node, &headers, Some(&admitted), response, &reason).map(Either::Left)
        }
        Outcome::Buffered(buffered) => {
            let BufferedResponse { response, origin } = buffered;
            log_response(node, &admitted, &origin, &response);
            response.map(Either::Left)
        }
        Outcome::Stream(source) => {
            let relay = StreamRelay::new(node, config, admitted, *source, client);
            let response = relay.into_response();
            response.map(|events| Either::Right(RelayedStream { events, running }))
        }
    }
}

/// The response to a request that is sent to no target, and the reason. It is final only if a trial has shown
/// that such requests crash targets.
fn bar_request(
    node: &GatewayNode,
    admitted: &AdmittedRequest,
    set: &BarredSet,
) -> (LocalResponse, String) {
    let marks = describe_features(&set.features);
    let reason = format!("targets crashed while they ran requests with {marks}");
    if set.is_proved {
        return (LocalResponse::Blocked, reason);
    }
    let response = LocalResponse::NotExecuted(node.trial_retry_after(set, admitted));
    (response, format!("{reason}, which no trial has shown yet"))
}

enum Outcome {
    Local(LocalResponse, String),
    Buffered(BufferedResponse),
    Stream(Box<StreamSource>),
}

/// Results of the attempts so far.
#[derive(Default)]
struct AttemptState {
    sent: u32,
    connect_failures: usize,
    /// Whether an attempt is being made now, whose outcome is not known yet.
    is_sending: bool,
    may_have_run: bool,
    tried: FastSet<HostId>,
    /// Error response of a target, returned if no later attempt succeeds.
    error_response: Option<BufferedResponse>,
    last_error: String,
}

impl AttemptState {
    /// Records an attempt that may have executed the request.
    fn record_ambiguous(&mut self, reason: String) {
        self.sent += 1;
        self.may_have_run = true;
        self.last_error = reason;
    }

    /// Final outcome once no further attempt is made.
    fn into_outcome(self, retry_after: Duration, timed_out: bool) -> Outcome {
        if let Some(response) = self.error_response {
            return Outcome::Buffered(response);
        }
        let response = match (self.may_have_run, timed_out) {
            (false, _) => LocalResponse::NotExecuted(retry_after),
            (true, true) => LocalResponse::TimedOut,
            (true, false) => LocalResponse::ResponseLost,
        };
        Outcome::Local(response, self.last_error)
    }
}

/// Makes the attempts of a request. If the process has to exit before they end, the client is told what is known: a
/// closed connection would look as if the request had not been read.
async fn run_attempts(
    node: &Rc<GatewayNode>,
    config: &GatewayConfig,
    admitted: &Rc<AdmittedRequest>,
    client: &Rc<ClientHold>,
) -> Outcome {
    let mut state = AttemptState::default();
    let ended = tokio::select! {
        biased;
        ended = make_attempts(node, config, admitted, client, &mut state) => Some(ended),
        () = node.requests_given_up() => None,
    };
    match ended {
        Some(AttemptsEnd::Outcome(outcome)) => outcome,
        Some(AttemptsEnd::Exhausted {
            retry_after,
            timed_out,
        }) => state.into_outcome(retry_after, timed_out),
        None => {
            state.may_have_run |= state.is_sending;
            "the node is stopping".clone_into(&mut state.last_error);
            state.into_outcome(SHUTDOWN_RETRY_AFTER, true)
        }
    }
}

/// How the attempts of a request ended.
enum AttemptsEnd {
    /// With a response.
    Outcome(Outcome),
    /// Without one; the client may come back after `retry_after` if nothing has run.
    Exhausted {
        retry_after: Duration,
        timed_out: bool,
    },
}

impl AttemptsEnd {
    fn exhausted(retry_after: Duration, timed_out: bool) -> Self {
        Self::Exhausted {
            retry_after,
            timed_out,
        }
    }
}

async fn make_attempts(
    node: &Rc<GatewayNode>,
    config: &GatewayConfig,
    admitted: &Rc<AdmittedRequest>,
    client: &Rc<ClientHold>,
    state: &mut AttemptState,
) -> AttemptsEnd {
    if let Some(service) = config.services.get(&admitted.service) {
        admitted.record_offered(node, service);
    }
    loop {
        let now = node.now();
        if admitted.time_left(now).is_zero() {
            return AttemptsEnd::exhausted(OVERLOAD_RETRY_AFTER, true);
        }
        let attempts_left =
            state.sent < admitted.max_attempts && state.connect_failures < MAX_CONNECT_FAILURES;
        if !attempts_left {
            return AttemptsEnd::exhausted(OVERLOAD_RETRY_AFTER, false);
        }
        let target =
            match admitted.select_target(node, config, &state.tried, admitted.target_latency) {
                Ok(target) => target,
                Err(failure) => {
                    if failure.is_late {
                        let service = admitted.service.as_str();
                        node.metrics.record_late(service, "rejected");
                    }
                    if state.last_error.is_empty() {
                        state.last_error = failure.to_string();
                    }
                    let retry_after = retry_after(node, config, admitted, &failure);
                    return AttemptsEnd::exhausted(retry_after, false);
                }
            };
        if state.sent > 0 && node.crashes.verdict(admitted) != PoisonVerdict::Clear {
            state.last_error.push_str("; suspected of crashing targets");
            return AttemptsEnd::exhausted(OVERLOAD_RETRY_AFTER, false);
        }
        if state.sent == 0 && state.connect_failures > 0 {
            node.record_free_attempt(admitted, &state.last_error);
        }
        let mut ticket = None;
        if state.sent > 0 {
            ticket = node.take_retry(admitted, RetryPurpose::Start, &state.last_error);
            if ticket.is_none() {
                state.last_error.push_str("; retry budget exhausted");
                return AttemptsEnd::exhausted(OVERLOAD_RETRY_AFTER, false);
            }
        }
        if state.tried.is_empty() {
            record_first_send(node, config, admitted, now);
        }
        state.tried.insert(target.id.clone());
        let timeout = attempt_timeout(admitted, state, now);
        let reuse = ConnectionReuse::now(node);
        state.is_sending = true;
        let outcome = send_attempt(node, admitted, &target, None, reuse, timeout).await;
        match outcome {
            AttemptOutcome::Responded(response) => {
                state.sent += 1;
                let outcome = handle_response(node, admitted, client, *response, state).await;
                if let Some(outcome) = outcome {
                    return AttemptsEnd::Outcome(outcome);
                }
            }
            AttemptOutcome::Unsent(reason) => {
                if let Some(ticket) = ticket {
                    node.return_retry(admitted, ticket, &reason);
                }
                state.connect_failures += 1;
                state.last_error = reason;
            }
            AttemptOutcome::Barred(barrier) => {
                state.last_error = barrier.to_string();
                if let Some(ticket) = ticket {
                    node.return_retry(admitted, ticket, &state.last_error);
                }
            }
            AttemptOutcome::NotExecuted(status) => {
                state.sent += 1;
                state.last_error = format!("target did not execute the request: {status}");
            }
            AttemptOutcome::Ambiguous(reason) => {
                state.record_ambiguous(reason);
                log_failed_attempt(node, admitted, &target.id, &state.last_error);
                if !admitted.is_retryable() {
                    return AttemptsEnd::exhausted(OVERLOAD_RETRY_AFTER, false);
                }
            }
            AttemptOutcome::TimedOut => {
                state.record_ambiguous("no response before the attempt timeout".to_owned());
                log_failed_attempt(node, admitted, &target.id, &state.last_error);
                // Only retryable requests get an attempt timeout shorter than the remaining time.
                if !admitted.is_retryable() {
                    return AttemptsEnd::exhausted(OVERLOAD_RETRY_AFTER, true);
                }
            }
        }
        state.is_sending = false;
    }
}

fn record_first_send(
    node: &GatewayNode,
    config: &GatewayConfig,
    admitted: &AdmittedRequest,
    now: Duration,
) {
    let elapsed = now.saturating_sub(admitted.arrived);
    node.metrics.record_first_send(admitted.labels(), elapsed);
    let service = config.services.get(&admitted.service);
    if service.is_some_and(|service| admitted.is_late(service)) {
        let service = admitted.service.as_str();
        node.metrics.record_late(service, "admitted");
    }
}

/// When a client may come back that no target was found for.
fn retry_after(
    node: &GatewayNode,
    config: &GatewayConfig,
    admitted: &AdmittedRequest,
    failure: &SelectionError,
) -> Duration {
    if let Some(left) = failure.backoff_left {
        let spread = BACKOFF_RETRY_SPREAD * admitted.client_draw();
        return left.mul_f64(1.0 + spread).max(OVERLOAD_RETRY_AFTER);
    }
    match failure.reason {
        NoTarget::Absent => NO_TARGET_RETRY_AFTER,
        NoTarget::Full => {
            let service = config.services.get(&admitted.service);
            let returns = service
                .and_then(|service| admitted.return_time(node, service, OVERLOAD_RETRY_AFTER));
            returns.unwrap_or(OVERLOAD_RETRY_AFTER)
        }
    }
}

fn log_failed_attempt(node: &GatewayNode, admitted: &AdmittedRequest, host: &HostId, reason: &str) {
    let line = LogLine::new(EventCode::GatewayAttemptFailed)
        .text(
            "request",
            admitted.id.as_ref().map_or("", RequestId::as_str),
        )
        .text("route", &admitted.route)
        .text("host", host.as_str())
        .text("reason", reason)
        .millis("after_ms", node.now().saturating_sub(admitted.arrived));
    node.log(&line);
}

/// Time limit for receiving a response head in one attempt. Shorter than the remaining time only if
/// the request is retryable and has attempts left, so that a hanging target can be replaced.
fn attempt_timeout(admitted: &AdmittedRequest, state: &AttemptState, now: Duration) -> Duration {
    let left = admitted.time_left(now);
    let retryable =
        admitted.kind == RouteKind::Idempotent && state.sent + 1 < admitted.max_attempts;
    if !retryable {
        return left;
    }
    let shortened = admitted.target_latency.mul_f64(ATTEMPT_TIMEOUT_FACTOR);
    left.min(shortened)
}

/// Buffers a response or passes a stream on; `None` if another attempt should follow.
async fn handle_response(
    node: &Rc<GatewayNode>,
    admitted: &Rc<AdmittedRequest>,
    client: &Rc<ClientHold>,
    response: TargetResponse,
    state: &mut AttemptState,
) -> Option<Outcome> {
    let is_stream = matches!(admitted.kind, RouteKind::Streaming { .. });
    if is_stream && response.status == StatusCode::OK {
        let tried = std::mem::take(&mut state.tried);
        let source = StreamSource {
            response,
            attempts: state.sent,
            tried,
        };
        return Some(Outcome::Stream(Box::new(source)));
    }
    let host = response.host.clone();
    match buffer_response(node, admitted, client, response).await {
        Ok(buffered) => {
            let status = buffered.response.status();
            let failed = status.is_server_error();
            if failed && admitted.is_retryable() && state.sent < admitted.max_attempts {
                state.last_error = format!("target returned {status}");
                log_failed_attempt(node, admitted, &host, &state.last_error);
                state.may_have_run = true;
                state.error_response = Some(buffered);
                return None;
            }
            Some(Outcome::Buffered(buffered))
        }
        Err(reason) => {
            log_failed_attempt(node, admitted, &host, &reason);
            state.may_have_run = true;
            state.last_error = reason;
            if admitted.is_retryable() {
                return None;
            }
            let expired = admitted.time_left(node.now()).is_zero();
            let response = if expired {
                LocalResponse::TimedOut
            } else {
                LocalResponse::ResponseLost
            };
            Some(Outcome::Local(response, state.last_error.clone()))
        }
    }
}
