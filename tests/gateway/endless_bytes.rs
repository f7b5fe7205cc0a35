//! Targets that send bytes without end, in small pieces.

use std::time::Duration;

use http::StatusCode;
use standin::site::{EndlessInstance, EndlessKind};

use crate::node::{TestNode, wait_for};
use crate::request::{TestRequest, complete_stream};
use crate::site::TestSite;

/// Requests that are sent at once.
const REQUESTS: usize = 24;

/// Memory that a node may use, in KiB: what control may take on a machine.
const MAX_MEMORY_KIB: u64 = 128 << 10;

/// Bytes without events that a client may be passed: the longest event.
const MAX_PASSED: usize = 1 << 20;

/// Most memory that the process of a node has used, in KiB.
fn peak_memory(node: &TestNode) -> u64 {
    let process = node.child.as_ref().expect("process was started").id();
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).expect("it runs");
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number
        .and_then(|number| number.parse().ok())
        .expect("a number")
}

/// The events that have an id. An empty line that follows another one ends no event: clients skip it.
fn events_with_id(text: &str) -> String {
    let events = text.split_inclusive("\n\n");
    let events = events.map(|event| event.trim_start_matches('\n'));
    events.filter(|event| event.starts_with("id: ")).collect()
}

/// Sends requests at once; each gets a response by its deadline. Returns how many succeeded.
async fn send_all(node: &TestNode, name: &str) -> usize {
    let sending = (0..REQUESTS).map(|number| async move {
        let request = TestRequest::new("/look/x", &format!("{name}-{number}"));
        let request = request.header("x-deadline-ms", "3000");
        let response = tokio::time::timeout(Duration::from_secs(20), request.send(node)).await;
        let status = response.expect("a response by the deadline").status;
        usize::from(status == StatusCode::OK)
    });
    futures::future::join_all(sending).await.into_iter().sum()
}

async fn play(kind: EndlessKind) {
    let site = TestSite::start(0, 2);
    let endless = EndlessInstance::start(&site.store, "endless", kind).expect("a port is free");
    let node = site.only_node("n0").await;
    let name = format!("{kind:?}").to_lowercase();
    let succeeded = send_all(&node, &name).await;
    // The endless one may have got a third of the first ones; none of the others suffers.
    assert!(succeeded >= REQUESTS / 2, "{kind:?}: {succeeded} succeeded");
    wait_for("the connections to be closed", || {
        endless.open_connections() == 0
    })
    .await;
    let memory = peak_memory(&node);
    assert!(memory < MAX_MEMORY_KIB, "{kind:?}: {memory} KiB");
}

/// Guards against a head without end: a line, headers or interim responses that take memory or the node's
/// thread, and a connection that stays open when nobody waits any more.
#[tokio::test(flavor = "multi_thread")]
async fn endless_heads() {
    for kind in [
        EndlessKind::HeaderLine,
        EndlessKind::Headers,
        EndlessKind::Interim,
        EndlessKind::Garbage,
    ] {
        play(kind).await;
    }
}

/// Guards against bodies without end, of successes and of rejections, and against bytes after a complete
/// response, which belong to no request.
#[tokio::test(flavor = "multi_thread")]
async fn endless_bodies() {
    for kind in [
        EndlessKind::Body,
        EndlessKind::Rejection,
        EndlessKind::Extra,
    ] {
        play(kind).await;
    }
}

/// Guards against a stream that goes on without an event: it is resumed at another engine.
#[tokio::test(flavor = "multi_thread")]
async fn endless_streams_resumed() {
    for piece in [&b"x"[..], b"\n", b": comment\n\n"] {
        let site = TestSite::start(9, 0);
        let node = site.only_node("n0").await;
        node.wait_replicas(2).await;
        let head = site.groups.serving()[0][0].clone();
        site.groups.set_endless(&head, piece, Duration::ZERO);
        for number in 0..4 {
            let chat = TestRequest::chat(&format!("e-{number}")).send(&node).await;
            let cuts = node.log_lines(&["stream_cut"]);
            assert!(chat.complete, "{cuts:?}");
            let events = events_with_id(&chat.text);
            assert_eq!(events, complete_stream(12));
            let passed = chat.text.len() - events.len();
            assert!(passed <= MAX_PASSED, "{passed} bytes without events");
        }
        assert!(peak_memory(&node) < MAX_MEMORY_KIB);
    }
}

/// Guards against a stream of a few comments a millisecond, which keeps its client until the deadline, since
/// they are too few to count as endless.
#[tokio::test(flavor = "multi_thread")]
async fn dripping_stream_resumed() {
    let site = TestSite::start(9, 0);
    let node = site.only_node("n0").await;
    node.wait_replicas(2).await;
    let head = site.groups.serving()[0][0].clone();
    let pause = Duration::from_millis(3);
    site.groups.set_endless(&head, b": comment\n\n", pause);
    for number in 0..4 {
        let chat = TestRequest::chat(&format!("e-{number}")).send(&node).await;
        let cuts = node.log_lines(&["stream_cut"]);
        assert!(chat.complete, "{cuts:?}");
    }
}

/// Guards against a stream whose bytes are always there, so that its deadline is never looked at.
#[tokio::test(flavor = "multi_thread")]
async fn endless_stream_meets_deadline() {
    let site = TestSite::start(5, 0);
    let node = site.only_node("n0").await;
    node.wait_replicas(1).await;
    let head = site.groups.serving()[0][0].clone();
    site.groups.set_endless(&head, b"x", Duration::ZERO);
    let chat = TestRequest::chat("e-late").header("x-deadline-ms", "600");
    let response = chat.send(&node).await;
    assert!(!response.complete);
    let cut = node.wait_log_line(&["stream_cut", "e-late"]).await;
    assert_eq!(cut["reason"], "request deadline exceeded");
}

/// Guards against a stream that is cut since its events are large and far apart: the first part of such an event
/// comes when the last one is long past.
#[tokio::test(flavor = "multi_thread")]
async fn large_events_far_apart() {
    let site = TestSite::start(4, 0);
    site.groups.set_events(3);
    let interval = Duration::from_millis(1200);
    site.groups.set_event_shape(100_000, interval);
    let node = site.only_node("n0").await;
    node.wait_replicas(1).await;
    let chat = TestRequest::chat("far").header("x-deadline-ms", "20000");
    let chat = chat.send(&node).await;
    let told = node.log_lines(&["\"request\":\"far\""]);
    assert!(chat.complete, "{told:?}");
    assert_eq!(chat.text.matches("\n\n").count(), 3);
}
