//! Simulated engines: streams survive a broken connection, and a lost peer first causes a stall.

use std::time::{Duration, Instant};

use http::{Method, StatusCode};
use standin::faults::FaultPlan;
use standin::stack::{StackPlan, TestStack};
use target::{EngineClient, HttpEngineClient, TokenStream};
use web::client::json_request;
use web::read_body;
use wire::engine::{ResumeRequest, StreamEvent};

use crate::BINARY;
use crate::direct_engine::{
    EVENT_TIMEOUT, form_replica, read_tokens, start_stream, stream_request,
};

/// Reads a stream to its end.
const ALL: usize = usize::MAX;

async fn start_engines(name: &str, hosts: usize, options: &[&str]) -> TestStack {
    StackPlan::new(name, BINARY)
        .engines(hosts)
        .entries(0)
        .engine_options(options)
        .start_without_records()
        .await
}

/// Resumes a stream at the first engine, from a token index on; returns the remaining events.
async fn resume_stream(
    stack: &TestStack,
    attempt: &str,
    from: u32,
) -> (StatusCode, Vec<StreamEvent>) {
    let address = stack.engines[0].address;
    let path = format!("/streams/{attempt}/resume");
    let body = ResumeRequest { from };
    let request = json_request(Method::POST, address, &path, Some(&body)).expect("a request");
    let response = stack.client.send(address, request, EVENT_TIMEOUT).await;
    let response = response.expect("a response");
    let status = response.status();
    let body = read_body(response.into_body(), 1 << 20)
        .await
        .expect("a complete body");
    let text = String::from_utf8_lossy(&body).into_owned();
    let events = text
        .lines()
        .filter_map(|line| serde_json::from_str(line).ok());
    (status, events.collect())
}

/// The connection to an entry node breaks during a stream. The engine continues, and another entry
/// node resumes from the first missing token without losing any.
#[tokio::test(flavor = "multi_thread")]
async fn stream_resumed() {
    let stack = start_engines("stream-resumed", 2, &[]).await;
    let assignment = form_replica(&stack).await;
    let request = stream_request(&assignment, "a.1", 40);
    let mut stream = start_stream(&assignment, &request).await.expect("running");
    let (mut tokens, _) = read_tokens(&mut stream, 5).await;
    drop(stream);
    let (status, events) = resume_stream(&stack, "a.1", 5).await;
    assert_eq!(status, StatusCode::OK);
    for (expected, event) in (5..).zip(&events[..events.len() - 1]) {
        let StreamEvent::Token { index, text, .. } = event else {
            panic!("{event:?}");
        };
        assert_eq!(*index, expected);
        tokens.push(text.clone());
    }
    assert!(matches!(
        events.last(),
        Some(StreamEvent::Done { count: 40, .. })
    ));
    let uninterrupted = stream_request(&assignment, "a.2", 40);
    let mut stream = start_stream(&assignment, &uninterrupted)
        .await
        .expect("running");
    assert_eq!(read_tokens(&mut stream, ALL).await.0, tokens);
    let (unknown, _) = resume_stream(&stack, "a.3", 0).await;
    assert_eq!(unknown, StatusCode::NOT_FOUND);
}

/// A broken stream is never resumed, or a client cancels its stream. The engine must stop both
/// instead of generating tokens that nobody reads.
#[tokio::test(flavor = "multi_thread")]
async fn unread_streams_stopped() {
    let stack = start_engines(
        "unread-streams",
        1,
        &["--linger-ms", "200", "--report-lag-ms", "0"],
    )
    .await;
    let assignment = form_replica(&stack).await;
    let request = stream_request(&assignment, "a.1", 100_000);
    let abandoned = start_stream(&assignment, &request).await.expect("running");
    let request = stream_request(&assignment, "a.2", 100_000);
    let mut cancelled = start_stream(&assignment, &request).await.expect("running");
    read_tokens(&mut cancelled, 3).await;
    drop(abandoned);
    let address = stack.engines[0].address;
    HttpEngineClient::default()
        .cancel(address, &request.attempt, EVENT_TIMEOUT)
        .await
        .expect("cancelled");
    let (_, end) = read_tokens(&mut cancelled, ALL).await;
    assert_eq!(end, None);
    let started = Instant::now();
    while stack.engine_state(0).await.load.running > 0 {
        assert!(
            started.elapsed() < EVENT_TIMEOUT,
            "the streams keep running"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(
        resume_stream(&stack, "a.1", 0).await.0,
        StatusCode::NOT_FOUND
    );
}

/// A host of a replica dies. The other hosts can't compute without it, so the streams stall at
/// once, but the engine fails them only after its peer timeout.
#[tokio::test(flavor = "multi_thread")]
async fn lost_peer_stalls_then_fails() {
    let mut stack = start_engines("peer-lost", 2, &["--peer-loss-ms", "2000"]).await;
    let assignment = form_replica(&stack).await;
    let request = stream_request(&assignment, "a.1", 100_000);
    let mut stream = start_stream(&assignment, &request).await.expect("running");
    read_tokens(&mut stream, 3).await;
    stack.engines[1].kill();
    let killed = Instant::now();
    let (_, end) = read_tokens(&mut stream, ALL).await;
    assert!(matches!(end, Some(StreamEvent::Failed { .. })), "{end:?}");
    assert!(
        killed.elapsed() >= Duration::from_secs(2),
        "the stream failed before the peer timeout"
    );
    let request = stream_request(&assignment, "a.2", 5);
    assert!(
        start_stream(&assignment, &request).await.is_none(),
        "a replica without a peer accepted a stream"
    );
}

/// An engine fails its streams, as one with a broken accelerator does.
#[tokio::test(flavor = "multi_thread")]
async fn streams_fail_on_fault() {
    let stack = start_engines("stream-failed", 1, &[]).await;
    let assignment = form_replica(&stack).await;
    let fault = FaultPlan::builder().fail_streams(true).build();
    stack.set_engine_faults(0, &fault).await;
    let request = stream_request(&assignment, "a.1", 5);
    let mut stream = start_stream(&assignment, &request).await.expect("accepted");
    let event = stream.next_event(EVENT_TIMEOUT).await.expect("an event");
    assert!(matches!(event, Some(StreamEvent::Failed { .. })));
}
