//! Merging the events of several processes.

use domain::{NodeId, RequestId};
use events::page::timeline_page;
use events::{EventCode, EventRecorder, EventSubject, NodeEvents, TimelineFilter, TimelineView};

fn recorder(name: &str, capacity: usize) -> EventRecorder {
    EventRecorder::new(name.parse::<NodeId>().expect("an id"), capacity)
}

fn request(name: &str) -> EventSubject {
    EventSubject::request(&name.parse::<RequestId>().expect("an id"))
}

fn answer(name: &str, recorder: &EventRecorder) -> NodeEvents {
    NodeEvents {
        node: name.to_owned(),
        events: Ok(recorder.recent()),
    }
}

#[test]
fn way_of_request() {
    let (first, second) = (recorder("e1", 100), recorder("e2", 100));
    first.record(EventCode::RequestAdmitted, request("r1"), "trader-help");
    first.record(EventCode::RequestAdmitted, request("r2"), "trader-help");
    let sent = first.clock().next();
    second.clock().observe(sent);
    second.record(EventCode::AttemptStarted, request("r1"), "resumed here");
    let filter = TimelineFilter {
        request: Some("r1".to_owned()),
        ..TimelineFilter::default()
    };
    let view = TimelineView::merge(vec![answer("e2", &second), answer("e1", &first)], &filter);
    let codes: Vec<EventCode> = view.events.iter().map(|event| event.code).collect();
    assert_eq!(
        codes,
        [EventCode::RequestAdmitted, EventCode::AttemptStarted]
    );
}

/// A node died or is cut off while an operator asks for the time line. The rest must be shown at
/// once, with the missing node named, or the operator takes a gap for silence.
#[test]
fn missing_node_named() {
    let first = recorder("e1", 100);
    first.record(EventCode::NodeStarted, EventSubject::default(), "here");
    let gone = NodeEvents {
        node: "e2".to_owned(),
        events: Err("no connection".to_owned()),
    };
    let view = TimelineView::merge(vec![gone, answer("e1", &first)], &TimelineFilter::default());
    assert_eq!(view.events.len(), 1);
    assert!(view.text().contains("missing: e2: no connection"));
    assert!(timeline_page(&view).contains("e2 gave no events: no connection"));
}

#[test]
fn ring_bounded() {
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

/// A caller sends markup where a name is expected and the event quotes it. An operator who opens
/// the page must see the text, not run it.
#[test]
fn markup_escaped() {
    let recorder = recorder("e1", 3);
    let detail = "no model <script>alert(1)</script>";
    recorder.record(EventCode::RequestFailed, EventSubject::default(), detail);
    let view = TimelineView::merge(vec![answer("e1", &recorder)], &TimelineFilter::default());
    assert!(!timeline_page(&view).contains("<script>"));
}
