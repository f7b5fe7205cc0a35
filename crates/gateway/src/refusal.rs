//! Who made a response with a 3xx or 4xx, which tells a client that it need not come back.

use std::net::SocketAddr;
use std::time::Duration;

use domain::{BootNumber, HostId, RequestId};
use events::{EventCode, LogLine};
use http::StatusCode;

use crate::admitted::AdmittedRequest;
use crate::node::GatewayNode;
use crate::refusal_maker::RefusalMaker;
use crate::target_response::TargetResponse;

/// From where a target's response came.
#[derive(Debug, Clone)]
pub struct ResponseOrigin {
    host: HostId,
    address: SocketAddr,
    boot: BootNumber,
}

impl From<&TargetResponse> for ResponseOrigin {
    fn from(response: &TargetResponse) -> Self {
        Self {
            host: response.host.clone(),
            address: response.address,
            boot: response.boot,
        }
    }
}

/// Logs and counts a target's response if it is a 3xx or 4xx. The target has signed it.
pub fn record_relayed(
    node: &GatewayNode,
    admitted: &AdmittedRequest,
    origin: &ResponseOrigin,
    status: StatusCode,
) {
    if !status.is_redirection() && !status.is_client_error() {
        return;
    }
    let maker = RefusalMaker::Target;
    node.metrics.record_refusal(maker, status);
    let line = LogLine::new(EventCode::RefusalRelayed)
        .kept()
        .text(
            "request",
            admitted.id.as_ref().map_or("", RequestId::as_str),
        )
        .text("route", &admitted.route)
        .text("service", admitted.service.as_str())
        .number("status", u64::from(status.as_u16()))
        .text("maker", maker.label())
        .text("host", origin.host.as_str())
        .text("address", &origin.address.to_string())
        .number("boot", origin.boot.0);
    node.log(&line);
}

/// Logs and counts a request that the HTTP library could not read, if the connection ended for that.
pub fn record_unreadable(
    node: &GatewayNode,
    client: Option<SocketAddr>,
    error: &hyper::Error,
    open_for: Duration,
) {
    if !error.is_parse() {
        return;
    }
    let status = library_status(error);
    if let Some(status) = status {
        node.metrics
            .record_refusal(RefusalMaker::HttpLibrary, status);
    }
    let client = client.map(|client| client.to_string());
    let line = LogLine::new(EventCode::RequestUnreadable)
        .kept()
        .number("status", status.map_or(0, |status| status.as_u16().into()))
        .text("maker", RefusalMaker::HttpLibrary.label())
        .text("client", client.as_deref().unwrap_or(""))
        .text("reason", &error.to_string())
        .millis("open_ms", open_for);
    node.log(&line);
}

/// Logs and counts a request whose head has not come in time. The client is told that nothing has run.
pub fn record_late_head(node: &GatewayNode, client: Option<SocketAddr>, open_for: Duration) {
    node.metrics.record_late_head();
    let client = client.map(|client| client.to_string());
    let line = LogLine::new(EventCode::HeadLate)
        .text("client", client.as_deref().unwrap_or(""))
        .millis("open_ms", open_for);
    node.log(&line);
}

/// Status with which the HTTP library responds to a head that it can't read. It tells of a URI that is too
/// long like of other heads that are too large.
fn library_status(error: &hyper::Error) -> Option<StatusCode> {
    if error.is_parse_too_large() {
        return Some(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
    }
    (!error.is_parse_version_h2()).then_some(StatusCode::BAD_REQUEST)
}
