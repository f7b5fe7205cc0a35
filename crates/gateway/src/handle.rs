//! Handles a client request from admission to its final response.

use std::rc::Rc;

use adapter::RequestHeaders;
use bytes::Bytes;
use futures::Stream;
use http::{Request, Response};
use http_body_util::{Either, Full};
use hyper::body::Incoming;
use serving::BarredSet;

use crate::admit::{admit, reject_unconfigured};
use crate::admitted::AdmittedRequest;
use crate::attempts::{
    NO_TARGET_RETRY_AFTER, OVERLOAD_RETRY_AFTER, RequestOutcome, SHUTDOWN_RETRY_AFTER, run_attempts,
};
use crate::buffered::BufferedResponse;
use crate::crash::{ArrivalVerdict, describe_features};
use crate::held::{ClientHold, RelayedStream};
use crate::local_response::LocalResponse;
use crate::node::{GatewayNode, RequestGuard};
use crate::relay::{StreamRelay, StreamTruncated};
use crate::respond::{
    announce_close, announce_idle_timeout, ends_with_connection, local_response, log_response,
    rejected_response,
};

/// Body of a response: complete, or a stream of events.
type ResponseBody<S> = Either<Full<Bytes>, RelayedStream<S>>;

/// Handles a request and returns the response for the client.
pub async fn handle_request(
    node: Rc<GatewayNode>,
    request: Request<Incoming>,
    running: Rc<RequestGuard>,
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
    running: Rc<RequestGuard>,
    client: &Rc<ClientHold>,
) -> Response<ResponseBody<impl Stream<Item = Result<Bytes, StreamTruncated>> + use<>>> {
    let headers = RequestHeaders::from(request.headers());
    client.set_request(headers.id.as_ref());
    let Some(config) = node.config() else {
        let response = LocalResponse::NotExecuted(NO_TARGET_RETRY_AFTER);
        let rejection = reject_unconfigured(response, request.into_body(), client).await;
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
    if !running.take_place() {
        let response = LocalResponse::NotExecuted(OVERLOAD_RETRY_AFTER);
        let reason = "as many requests run at this node as may at once";
        return local_response(node, &headers, Some(&admitted), response, reason).map(Either::Left);
    }
    match run_attempts(node, &config, &admitted, client).await {
        RequestOutcome::Local(response, reason) => {
            local_response(node, &headers, Some(&admitted), response, &reason).map(Either::Left)
        }
        RequestOutcome::Buffered(buffered) => {
            let BufferedResponse { response, origin } = buffered;
            log_response(node, &admitted, &origin, &response);
            response.map(Either::Left)
        }
        RequestOutcome::Stream(source) => {
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
