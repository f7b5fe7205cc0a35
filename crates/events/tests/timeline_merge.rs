//! Merging and rendering the events of several processes.

use domain::{NodeId, RequestId};
use events::page::timeline_page;
use events::{EventCode, EventRecorder, EventSubject, NodeEvents, TimelineFilter, TimelineView};

fn recorder(name: &str, capacity: usize) -> EventRecorder {
    EventRecorder::new(name.parse::<NodeId>().expect("valid id"), capacity)
}

fn request(name: &str) -> EventSubject {
    EventSubject::request(&name.parse::<RequestId>().expect("valid id"))
}

fn node_events(name: &str, recorder: &EventRecorder) -> NodeEvents {
    NodeEvents {
        node: name.to_owned(),
        events: Ok(recorder.recent()),
    }
}

#[test]
fn filter_by_request_across_nodes() {
    let (first, second) = (recorder("e1", 100), recorder("e2", 100));
    first.record(EventCode::RequestAdmitted, request("r1"), "trader-help");
    first.record(EventCode::RequestAdmitted, request("r2"), "trader-help");
    let timestamp = first.clock().next();
    second.clock().observe(timestamp);
    second.record(EventCode::AttemptStarted, request("r1"), "resumed here");
    let filter = TimelineFilter {
        request: Some("r1".to_owned()),
        ..TimelineFilter::default()
    };
    let view = TimelineView::merge(
        vec![node_events("e2", &second), node_events("e1", &first)],
        &filter,
    );
    let codes: Vec<EventCode> = view.events.iter().map(|event| event.code).collect();
    assert_eq!(
        codes,
        [EventCode::RequestAdmitted, EventCode::AttemptStarted]
    );
}

/// A node is down or unreachable when an operator requests the timeline. The events of the others
/// must be shown together with the name of the missing node, or the operator would assume that
/// nothing happened there.
#[test]
fn missing_nodes_are_listed() {
    let first = recorder("e1", 100);
    first.record(EventCode::NodeStarted, EventSubject::default(), "here");
    let missing = NodeEvents {
        node: "e2".to_owned(),
        events: Err("no connection".to_owned()),
    };
    let view = TimelineView::merge(
        vec![missing, node_events("e1", &first)],
        &TimelineFilter::default(),
    );
    assert_eq!(view.events.len(), 1);
    assert!(view.text().contains("missing: e2: no connection"));
    assert!(timeline_page(&view).contains("e2 returned no events: no connection"));
}

#[test]
fn recorder_keeps_most_recent_events() {
    let recorder = recorder("e1", 3);
    for number in 0..10 {
        recorder.record(
            EventCode::RequestAdmitted,
            EventSubject::default(),
            number.to_string(),
        );
    }
    let sequences: Vec<u64> = recorder
        .recent()
        .iter()
        .map(|event| event.sequence)
        .collect();
    assert_eq!(sequences, [7, 8, 9]);
}

/// A client sends HTML as a model name, and an event quotes it. An operator's browser must display
/// the text instead of running the script.
#[test]
fn html_is_escaped() {
    let recorder = recorder("e1", 3);
    let detail = "no model <script>alert(1)</script>";
    recorder.record(EventCode::RequestFailed, EventSubject::default(), detail);
    let view = TimelineView::merge(
        vec![node_events("e1", &recorder)],
        &TimelineFilter::default(),
    );
    assert!(!timeline_page(&view).contains("<script>"));
}
