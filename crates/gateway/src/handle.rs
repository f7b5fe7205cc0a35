//! What becomes of a caller's request, from its head to its final answer.

use std::rc::Rc;
use std::time::Duration;

use adapter::RequestHeaders;
use bytes::Bytes;
use domain::{FastSet, HostId, RequestId};
use events::{EventCode, EventLine};
use http::{Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Either, Full, Limited};
use hyper::body::{Body, Incoming};
use serving::choose::NoTarget;
use serving::{GatewayConfig, PoisonVerdict, RouteKind};

use crate::admit::admit;
use crate::admitted::AdmittedRequest;
use crate::local_reply::LocalReply;
use crate::node::{GatewayNode, RunningRequest};
use crate::relay::{StreamEnd, StreamRelay, StreamSource};
use crate::send::{AttemptEnd, TargetAnswer, send_attempt};

/// Wait before a request comes back that found no configuration or no replica: about the time in
/// which one is read or a replica is repaired.
const ABSENT_WAIT: Duration = Duration::from_millis(700);

/// Wait before a request comes back that found all targets full: some places become free in it.
const FULL_WAIT: Duration = Duration::from_millis(250);

/// Wait before a request comes back that met a stopping node. Another one can serve it at once.
const STOPPING_WAIT: Duration = Duration::from_millis(50);

/// Connections that may fail for one request before it is given up; each costs its caller time.
const MAX_UNSENT: usize = 4;

/// Largest answer that is held whole, in bytes. Only answers of plain services are.
const MAX_ANSWER_BYTES: usize = 32 << 20;

/// Times the target latency that an idempotent request waits for a first answer before it is
/// sent to another target. An answer takes a tenth of it in the usual case.
const REPEAT_AFTER: f64 = 1.2;

/// Answers a request.
pub async fn handle_request(
    node: Rc<GatewayNode>,
    request: Request<Incoming>,
    running: RunningRequest,
) -> Response<Either<Full<Bytes>, impl Body<Data = Bytes, Error = StreamEnd>>> {
    let mut response = answer_request(&node, request, running).await;
    if node.is_stopping() {
        let close = http::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

async fn answer_request(
    node: &Rc<GatewayNode>,
    request: Request<Incoming>,
    running: RunningRequest,
) -> Response<Either<Full<Bytes>, impl Body<Data = Bytes, Error = StreamEnd> + use<>>> {
    let facts = RequestHeaders::from(request.headers());
    let Some(config) = node.config() else {
        let answer = LocalReply::NotExecuted(ABSENT_WAIT);
        return own(node, &facts, None, answer, "no configuration yet").map(Either::Left);
    };
    let forward = match admit(node, &config, request, &facts).await {
        Ok(forward) => forward,
        Err((answer, reason)) => {
            return own(node, &facts, None, answer, reason).map(Either::Left);
        }
    };
    let forward = match node.blame_standing(&forward) {
        PoisonVerdict::Clear => Rc::new(forward),
        PoisonVerdict::Suspect => Rc::new(forward.without_retries()),
        PoisonVerdict::Barred => {
            let answer = LocalReply::Blocked;
            let reason = "targets end under it";
            return own(node, &facts, Some(&forward), answer, reason).map(Either::Left);
        }
    };
    let stop = node.stop_plan();
    if stop.is_some_and(|stop| !stop.accepts(forward.arrived, forward.deadline)) {
        let answer = LocalReply::NotExecuted(STOPPING_WAIT);
        return own(node, &facts, Some(&forward), answer, "the node stops").map(Either::Left);
    }
    node.note_arrival(&forward);
    match run_attempts(node, &config, &forward).await {
        Outcome::Own(answer, reason) => {
            own(node, &facts, Some(&forward), answer, &reason).map(Either::Left)
        }
        Outcome::Whole(response) => {
            log_answered(node, &forward, &response);
            response.map(Either::Left)
        }
        Outcome::Stream(source) => {
            let relay = StreamRelay::new(node, config, forward, *source, running);
            relay.into_response().map(Either::Right)
        }
    }
}

fn own(
    node: &GatewayNode,
    facts: &RequestHeaders,
    forward: Option<&AdmittedRequest>,
    answer: LocalReply,
    reason: &str,
) -> Response<Full<Bytes>> {
    let not_run = matches!(answer, LocalReply::NotExecuted(_));
    let code = if not_run {
        EventCode::GatewayRefused
    } else {
        EventCode::RequestFailed
    };
    let status = answer.status();
    let mut line = EventLine::new(code)
        .text("request", facts.id.as_ref().map_or("", RequestId::as_str))
        .number("status", u64::from(status.as_u16()))
        .text("reason", reason)
        .number("revision", revision(node))
        .millis("registry_age_ms", node.registry_age());
    if let Some(forward) = forward {
        let held = node.now().saturating_sub(forward.arrived);
        line = line
            .text("route", &forward.route)
            .text("service", forward.service.as_str())
            .millis("held_ms", held);
        node.metrics.record_request(forward.labels(), status, held);
    }
    node.log(&line);
    answer.response(facts.id.as_ref())
}

fn revision(node: &GatewayNode) -> u64 {
    node.config().map_or(0, |config| config.revision.0)
}

fn log_answered(node: &GatewayNode, forward: &AdmittedRequest, response: &Response<Full<Bytes>>) {
    let held = node.now().saturating_sub(forward.arrived);
    node.metrics
        .record_request(forward.labels(), response.status(), held);
    let line = EventLine::new(EventCode::GatewayAnswered)
        .text("request", forward.id.as_ref().map_or("", RequestId::as_str))
        .text("route", &forward.route)
        .number("status", u64::from(response.status().as_u16()))
        .millis("took_ms", held);
    node.log(&line);
}

enum Outcome {
    Own(LocalReply, String),
    Whole(Response<Full<Bytes>>),
    Stream(Box<StreamSource>),
}

/// What is known after the attempts so far.
#[derive(Default)]
struct AttemptTally {
    sent: u32,
    unsent: usize,
    may_have_run: bool,
    tried: FastSet<HostId>,
    /// Failure that a target answered, kept while another target is tried.
    failure: Option<Response<Full<Bytes>>>,
    last: String,
}

impl AttemptTally {
    /// Notes an attempt after which the request may have run.
    fn may_have_run(&mut self, reason: String) {
        self.sent += 1;
        self.may_have_run = true;
        self.last = reason;
    }

    /// The final answer once no further attempt is made.
    fn give_up(self, wait: Duration, timed_out: bool) -> Outcome {
        if let Some(failure) = self.failure {
            return Outcome::Whole(failure);
        }
        let answer = match (self.may_have_run, timed_out) {
            (false, _) => LocalReply::NotExecuted(wait),
            (true, true) => LocalReply::TimedOut,
            (true, false) => LocalReply::ResponseLost,
        };
        Outcome::Own(answer, self.last)
    }
}

async fn run_attempts(
    node: &Rc<GatewayNode>,
    config: &GatewayConfig,
    forward: &Rc<AdmittedRequest>,
) -> Outcome {
    let mut tally = AttemptTally::default();
    loop {
        let now = node.now();
        if forward.time_left(now).is_zero() {
            return tally.give_up(FULL_WAIT, true);
        }
        let repeat_left = tally.sent < forward.max_attempts && tally.unsent < MAX_UNSENT;
        if !repeat_left {
            return tally.give_up(FULL_WAIT, false);
        }
        let target = match forward.select_target(node, config, &tally.tried, forward.target_latency)
        {
            Ok(target) => target,
            Err(failure) => {
                if tally.last.is_empty() {
                    tally.last = failure.to_string();
                }
                let wait = match failure.reason {
                    NoTarget::Absent => ABSENT_WAIT,
                    NoTarget::Full => FULL_WAIT,
                };
                return tally.give_up(wait, false);
            }
        };
        if tally.sent > 0 && node.blame_standing(forward) != PoisonVerdict::Clear {
            tally.last.push_str("; targets may end under it");
            return tally.give_up(FULL_WAIT, false);
        }
        let allowed = tally.sent == 0 || {
            let nodes = node.node_count();
            node.with_budget(&forward.service, |budget| budget.take(now, nodes))
        };
        if !allowed {
            tally.last.push_str("; no repeats left");
            return tally.give_up(FULL_WAIT, false);
        }
        if tally.tried.is_empty() {
            let held = now.saturating_sub(forward.arrived);
            node.metrics.record_first_send(forward.labels(), held);
        }
        tally.tried.insert(target.id.clone());
        let limit = attempt_limit(forward, &tally, now);
        let end = send_attempt(node, forward, &target, None, limit).await;
        match end {
            AttemptEnd::Answered(answer) => {
                tally.sent += 1;
                let outcome = take_answer(node, forward, *answer, &mut tally).await;
                if let Some(outcome) = outcome {
                    return outcome;
                }
            }
            AttemptEnd::Unsent(reason) => {
                tally.unsent += 1;
                tally.last = reason;
            }
            AttemptEnd::NotExecuted(status) => {
                tally.sent += 1;
                tally.last = format!("the target is full: {status}");
            }
            AttemptEnd::Lost(reason) => {
                tally.may_have_run(reason);
                log_failed(node, forward, &target.id, &tally.last);
                if !forward.is_retryable() {
                    return tally.give_up(FULL_WAIT, false);
                }
            }
            AttemptEnd::TimedOut => {
                tally.may_have_run("no answer in time".to_owned());
                log_failed(node, forward, &target.id, &tally.last);
                // Only a request that may be repeated gets less than all of its time.
                if !forward.is_retryable() {
                    return tally.give_up(FULL_WAIT, true);
                }
            }
        }
    }
}

fn log_failed(node: &GatewayNode, forward: &AdmittedRequest, host: &HostId, reason: &str) {
    let line = EventLine::new(EventCode::GatewayAttemptFailed)
        .text("request", forward.id.as_ref().map_or("", RequestId::as_str))
        .text("route", &forward.route)
        .text("host", host.as_str())
        .text("reason", reason)
        .millis("after_ms", node.now().saturating_sub(forward.arrived));
    node.log(&line);
}

/// How long one attempt may take to its answer's head. Only a request that may be repeated, and
/// still can be, is taken back early from a target that hangs.
fn attempt_limit(forward: &AdmittedRequest, tally: &AttemptTally, now: Duration) -> Duration {
    let left = forward.time_left(now);
    let repeatable = forward.kind == RouteKind::Idempotent && tally.sent + 1 < forward.max_attempts;
    if !repeatable {
        return left;
    }
    let early = forward.target_latency.mul_f64(REPEAT_AFTER);
    left.min(early)
}

/// Reads an answer, or hands a stream on; `None` if another attempt should follow.
async fn take_answer(
    node: &Rc<GatewayNode>,
    forward: &Rc<AdmittedRequest>,
    answer: TargetAnswer,
    tally: &mut AttemptTally,
) -> Option<Outcome> {
    let is_stream = matches!(forward.kind, RouteKind::Streaming { .. });
    if is_stream && answer.status == StatusCode::OK {
        let tried = std::mem::take(&mut tally.tried);
        let source = StreamSource {
            answer,
            attempts: tally.sent,
            tried,
        };
        return Some(Outcome::Stream(Box::new(source)));
    }
    let host = answer.host.clone();
    match read_whole(node, forward, answer).await {
        Ok(response) => {
            let failed = response.status().is_server_error();
            if failed && forward.is_retryable() && tally.sent < forward.max_attempts {
                tally.last = format!("the target failed with {}", response.status());
                log_failed(node, forward, &host, &tally.last);
                tally.may_have_run = true;
                tally.failure = Some(response);
                return None;
            }
            Some(Outcome::Whole(response))
        }
        Err(reason) => {
            log_failed(node, forward, &host, &reason);
            tally.may_have_run = true;
            tally.last = reason;
            if forward.is_retryable() {
                return None;
            }
            let over = forward.time_left(node.now()).is_zero();
            let answer = if over {
                LocalReply::TimedOut
            } else {
                LocalReply::ResponseLost
            };
            Some(Outcome::Own(answer, tally.last.clone()))
        }
    }
}

async fn read_whole(
    node: &Rc<GatewayNode>,
    forward: &AdmittedRequest,
    mut answer: TargetAnswer,
) -> Result<Response<Full<Bytes>>, String> {
    let left = forward.time_left(node.now());
    let reading = Limited::new(&mut answer.body, MAX_ANSWER_BYTES).collect();
    let bytes = match tokio::time::timeout(left, reading).await {
        Ok(Ok(collected)) => collected.to_bytes(),
        Ok(Err(error)) => {
            answer.note_broken(node, forward);
            return Err(format!("the answer broke off: {error}"));
        }
        Err(_) => return Err("the answer did not end in time".to_owned()),
    };
    let mut response = Response::new(Full::new(bytes));
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers.clone();
    answer.finish(node);
    Ok(response)
}
