//! Builds, logs and counts the responses to clients.

use std::time::Duration;

use adapter::RequestHeaders;
use bytes::Bytes;
use domain::RequestId;
use events::{EventCode, LogLine};
use http::{HeaderName, HeaderValue, Response, Version, header};
use http_body_util::Full;

use crate::admit::Rejection;
use crate::admitted::AdmittedRequest;
use crate::local_response::LocalResponse;
use crate::node::GatewayNode;
use crate::refusal::{ResponseOrigin, record_relayed};
use crate::refusal_maker::RefusalMaker;

/// Header with the idle timeout of a connection, in seconds.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Makes a response end with its connection, as that of its target did: nobody can tell whether it is whole,
/// and a length would say that it is. The HTTP library writes such a body in responses of HTTP/1.0 alone.
pub(crate) fn end_with_connection<B>(response: &mut Response<B>) {
    *response.version_mut() = Version::HTTP_10;
}

/// Whether a response ends with its connection.
pub(crate) fn ends_with_connection<B>(response: &Response<B>) -> bool {
    response.version() == Version::HTTP_10
}

/// Announces that the connection closes after this response.
pub(crate) fn announce_close<B>(response: &mut Response<B>) {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(header::CONNECTION, close);
}

/// Announces how long the connection stays open while it is idle, unless it closes anyway.
pub(crate) fn announce_idle_timeout<B>(response: &mut Response<B>, timeout: Duration) {
    let headers = response.headers_mut();
    if headers.contains_key(header::CONNECTION) {
        return;
    }
    let text = format!("timeout={}", timeout.as_secs());
    if let Ok(value) = HeaderValue::from_str(&text) {
        headers.insert(KEEP_ALIVE, value);
    }
}

/// Logs a rejected request and builds its response.
pub(crate) fn rejected_response(
    node: &GatewayNode,
    headers: &RequestHeaders,
    rejection: Rejection,
) -> Response<Full<Bytes>> {
    let Rejection {
        response, reason, ..
    } = rejection;
    let mut response = local_response(node, headers, None, response, reason);
    if !rejection.is_read {
        announce_close(&mut response);
    }
    response
}

/// Logs a request without a response of a target, and builds the response for its client.
pub(crate) fn local_response(
    node: &GatewayNode,
    headers: &RequestHeaders,
    admitted: Option<&AdmittedRequest>,
    response: LocalResponse,
    reason: &str,
) -> Response<Full<Bytes>> {
    let is_not_executed = matches!(
        response,
        LocalResponse::NotExecuted(_) | LocalResponse::LateBody
    );
    let code = if is_not_executed {
        EventCode::GatewayRefused
    } else {
        EventCode::RequestFailed
    };
    let status = response.status();
    let mut line = LogLine::new(code)
        .text("request", headers.id.as_ref().map_or("", RequestId::as_str))
        .number("status", u64::from(status.as_u16()))
        .text("reason", reason)
        .number("revision", revision(node))
        .millis("registry_age_ms", node.registry_age())
        .millis("config_age_ms", node.feed.config_age(node.now()))
        .number("era", node.eras.current().0)
        .text("config_source", &node.feed.config_origin().to_string());
    if let Some(maker) = RefusalMaker::of_local(response) {
        node.metrics.record_refusal(maker, status);
        line = line.kept().text("maker", maker.label());
    }
    if let Some(admitted) = admitted {
        let elapsed = node.now().saturating_sub(admitted.arrived);
        line = line
            .text("route", &admitted.route)
            .text("service", admitted.service.as_str())
            .millis("held_ms", elapsed);
        node.metrics
            .record_request(admitted.labels(), status, elapsed);
    }
    node.log(&line);
    response.into_http(headers.id.as_ref())
}

fn revision(node: &GatewayNode) -> u64 {
    node.config().map_or(0, |config| config.revision.0)
}

/// Logs a response of a target.
pub(crate) fn log_response(
    node: &GatewayNode,
    admitted: &AdmittedRequest,
    origin: &ResponseOrigin,
    response: &Response<Full<Bytes>>,
) {
    record_relayed(node, admitted, origin, response.status());
    let elapsed = node.now().saturating_sub(admitted.arrived);
    node.metrics
        .record_request(admitted.labels(), response.status(), elapsed);
    let line = LogLine::new(EventCode::GatewayAnswered)
        .text(
            "request",
            admitted.id.as_ref().map_or("", RequestId::as_str),
        )
        .text("route", &admitted.route)
        .number("status", u64::from(response.status().as_u16()))
        .millis("took_ms", elapsed);
    node.log(&line);
}
