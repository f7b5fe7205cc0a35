//! Answers of targets whose status promises that a request has not run, though the answer shows that it ran.

use domain::RequestId;
use events::{EventCode, LogLine};
use http::StatusCode;
use serving::TargetEntry;

use crate::admitted::AdmittedRequest;
use crate::node::GatewayNode;

/// Logs and counts such an answer.
pub fn record_contradiction(
    node: &GatewayNode,
    request: &AdmittedRequest,
    target: &TargetEntry,
    status: StatusCode,
) {
    node.metrics.record_contradiction(request.labels(), status);
    let line = LogLine::new(EventCode::ResponseContradictory)
        .kept()
        .text("request", request.id.as_ref().map_or("", RequestId::as_str))
        .text("route", &request.route)
        .text("service", request.service.as_str())
        .number("status", u64::from(status.as_u16()))
        .number("repeatable", u64::from(request.is_retryable()))
        .text("host", target.id.as_str())
        .text("address", &target.address.to_string())
        .number("boot", target.boot.0);
    node.log(&line);
}
