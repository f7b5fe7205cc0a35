//! Counters and histograms of a gateway.

use std::time::Duration;

use http::StatusCode;

/// Metrics of a gateway.
#[derive(Debug, Default)]
pub struct GatewayMetrics {}

impl GatewayMetrics {
    /// A request ended.
    pub fn end(&self, _route: &str, _status: StatusCode, _took: Duration) {}

    /// The first event of a stream was passed on.
    pub fn first_event(&self, _route: &str, _after: Duration) {}
}
