//! Prometheus export, and the limit on the number of time series.

use std::time::Duration;

use events::metrics::{MAX_LABEL_VALUES, NodeGauge};
use events::{EventCode, NodeMetrics};

#[test]
fn metrics_are_exported_as_text() {
    let metrics = NodeMetrics::new().expect("metrics");
    metrics.count_event(EventCode::RequestAnswered);
    metrics.set_gauge(NodeGauge::StrandedHosts, 3.0);
    let text = metrics.text().expect("encoded metrics");
    assert!(
        text.contains("bramleyspring_event_count_total{event=\"request_answered\""),
        "{text}"
    );
    assert!(text.contains("bramleyspring_host_stranded"), "{text}");
}

/// Operators choose model names and may change them daily. Without a limit, the number of time series
/// and thus the memory usage would grow until the node is killed.
#[test]
fn model_names_are_limited() {
    let metrics = NodeMetrics::new().expect("metrics");
    for number in 0..MAX_LABEL_VALUES * 3 {
        metrics.record_first_token(&format!("model-{number}"), Duration::from_millis(5));
    }
    let text = metrics.text().expect("encoded metrics");
    let series = text
        .lines()
        .filter(|line| line.contains("first_token_duration_seconds_count"));
    assert_eq!(series.count(), MAX_LABEL_VALUES + 1);
}
