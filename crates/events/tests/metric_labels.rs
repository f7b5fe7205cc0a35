//! Metrics: their text, and the bound on their series.

use std::time::Duration;

use events::metrics::{MAX_LABEL_NAMES, NodeGauge};
use events::{EventCode, NodeMetrics};

#[test]
fn text_written() {
    let metrics = NodeMetrics::new().expect("an exporter");
    metrics.count_event(EventCode::RequestAnswered);
    metrics.set_gauge(NodeGauge::StrandedHosts, 3.0);
    let text = metrics.text().expect("text");
    assert!(
        text.contains("bramleyspring_event_count_total{event=\"request_answered\""),
        "{text}"
    );
    assert!(text.contains("bramleyspring_host_stranded"), "{text}");
}

/// Model names come from operators and may be renamed daily. Without a bound the series, and with
/// them the node's memory, grow until the node is killed.
#[test]
fn names_bounded() {
    let metrics = NodeMetrics::new().expect("an exporter");
    for number in 0..MAX_LABEL_NAMES * 3 {
        metrics.record_first_token(&format!("model-{number}"), Duration::from_millis(5));
    }
    let text = metrics.text().expect("text");
    let series = text
        .lines()
        .filter(|line| line.contains("first_token_duration_seconds_count"));
    assert_eq!(series.count(), MAX_LABEL_NAMES + 1);
}
