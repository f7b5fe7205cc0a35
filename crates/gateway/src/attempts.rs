//! The attempts of an admitted request, up to the response that its client gets.

use std::rc::Rc;
use std::time::Duration;

use domain::{FastSet, HostId, RequestId};
use events::{EventCode, LogLine};
use http::StatusCode;
use serving::choose::NoTarget;
use serving::retry_budget::RetryPurpose;
use serving::{GatewayConfig, PoisonVerdict, RouteKind};

use crate::admitted::{AdmittedRequest, SelectionError};
use crate::attempt_connection::ConnectionReuse;
use crate::attempt_outcome::AttemptOutcome;
use crate::buffered::{BufferedResponse, buffer_response};
use crate::held::ClientHold;
use crate::local_response::LocalResponse;
use crate::node::GatewayNode;
use crate::relay::StreamSource;
use crate::send::send_attempt;
use crate::target_response::TargetResponse;

/// `Retry-After` if there is no configuration or no replica: about the time it takes to read the
/// configuration or to repair a replica.
pub const NO_TARGET_RETRY_AFTER: Duration = Duration::from_millis(700);

/// `Retry-After` if all targets, or the node, are full; some slots become free within it.
pub const OVERLOAD_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Part by which clients are told to come back later than a backoff ends, so that they don't all come at once.
const BACKOFF_RETRY_SPREAD: f64 = 0.25;

/// `Retry-After` while the node shuts down; another node can serve the request at once.
pub const SHUTDOWN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Maximum number of failed connections per request; each one delays the client.
const MAX_CONNECT_FAILURES: usize = 4;

/// Multiple of the target latency after which an idempotent request is retried at another target. A
/// response usually takes a tenth of the target latency.
const ATTEMPT_TIMEOUT_FACTOR: f64 = 1.2;

/// What a client gets.
pub enum RequestOutcome {
    /// A response of this node, and the reason.
    Local(LocalResponse, String),
    /// The complete response of a target.
    Buffered(BufferedResponse),
    /// The stream of a target.
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
    fn into_outcome(self, retry_after: Duration, timed_out: bool) -> RequestOutcome {
        if let Some(response) = self.error_response {
            return RequestOutcome::Buffered(response);
        }
        let response = match (self.may_have_run, timed_out) {
            (false, _) => LocalResponse::NotExecuted(retry_after),
            (true, true) => LocalResponse::TimedOut,
            (true, false) => LocalResponse::ResponseLost,
        };
        RequestOutcome::Local(response, self.last_error)
    }
}

/// Makes the attempts of a request. If the process has to exit before they end, the client is told what is known: a
/// closed connection would look as if the request had not been read.
pub async fn run_attempts(
    node: &Rc<GatewayNode>,
    config: &GatewayConfig,
    admitted: &Rc<AdmittedRequest>,
    client: &Rc<ClientHold>,
) -> RequestOutcome {
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
    Outcome(RequestOutcome),
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
) -> Option<RequestOutcome> {
    let is_stream = matches!(admitted.kind, RouteKind::Streaming { .. });
    if is_stream && response.status == StatusCode::OK {
        let tried = std::mem::take(&mut state.tried);
        let source = StreamSource {
            response,
            attempts: state.sent,
            tried,
        };
        return Some(RequestOutcome::Stream(Box::new(source)));
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
            Some(RequestOutcome::Buffered(buffered))
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
            Some(RequestOutcome::Local(response, state.last_error.clone()))
        }
    }
}
