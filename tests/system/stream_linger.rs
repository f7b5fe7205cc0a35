//! Engines keep a stream whose connection broke, and stall before they fail.

use std::time::{Duration, Instant};

use http::{Method, StatusCode};
use standin::faults::FaultPlan;
use standin::stack::{StackPlan, TestStack};
use target::{EngineClient, HttpEngineClient, TokenStream};
use web::client::json_request;
use web::read_body;
use wire::engine::{ResumeRequest, StreamEvent};

use crate::PRODUCT;
use crate::direct::{SILENCE, form_replica, read_tokens, start, stream_order};

const ALL: usize = usize::MAX;

async fn replica_of(name: &str, hosts: usize, options: &[&str]) -> TestStack {
    StackPlan::new(name, PRODUCT)
        .engines(hosts)
        .entries(0)
        .engine_options(options)
        .start_bare()
        .await
}

async fn resume(stack: &TestStack, attempt: &str, from: u32) -> (StatusCode, Vec<StreamEvent>) {
    let address = stack.engines[0].address;
    let path = format!("/streams/{attempt}/resume");
    let order = ResumeRequest { from };
    let request = json_request(Method::POST, address, &path, Some(&order)).expect("a request");
    let answer = stack.client.send(address, request, SILENCE).await;
    let answer = answer.expect("an answer");
    let status = answer.status();
    let body = read_body(answer.into_body(), 1 << 20).await.expect("whole");
    let text = String::from_utf8_lossy(&body).into_owned();
    let events = text
        .lines()
        .filter_map(|line| serde_json::from_str(line).ok());
    (status, events.collect())
}

// The connection to an entry host breaks in the middle of an answer. The engine goes on, and
// another entry host gets the rest from the first missing token on; the caller misses none.
#[tokio::test(flavor = "multi_thread")]
async fn stream_resumed() {
    let stack = replica_of("stream-resumed", 2, &[]).await;
    let assignment = form_replica(&stack).await;
    let order = stream_order(&assignment, "a.1", 40);
    let mut stream = start(&assignment, &order).await.expect("running");
    let (mut tokens, _) = read_tokens(&mut stream, 5).await;
    drop(stream);
    let (status, events) = resume(&stack, "a.1", 5).await;
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
    let unbroken = stream_order(&assignment, "a.2", 40);
    let mut stream = start(&assignment, &unbroken).await.expect("running");
    assert_eq!(read_tokens(&mut stream, ALL).await.0, tokens);
    let (unknown, _) = resume(&stack, "a.3", 0).await;
    assert_eq!(unknown, StatusCode::NOT_FOUND);
}

// Nobody comes back for a broken stream, or a caller gives up: the engine must not go on for
// ever with work that nobody reads.
#[tokio::test(flavor = "multi_thread")]
async fn stream_given_up() {
    let stack = replica_of(
        "stream-given-up",
        1,
        &["--linger-ms", "200", "--report-lag-ms", "0"],
    )
    .await;
    let assignment = form_replica(&stack).await;
    let order = stream_order(&assignment, "a.1", 100_000);
    let abandoned = start(&assignment, &order).await.expect("running");
    let order = stream_order(&assignment, "a.2", 100_000);
    let mut cancelled = start(&assignment, &order).await.expect("running");
    read_tokens(&mut cancelled, 3).await;
    drop(abandoned);
    let address = stack.engines[0].address;
    HttpEngineClient::default()
        .cancel(address, &order.attempt, SILENCE)
        .await
        .expect("cancelled");
    let (_, end) = read_tokens(&mut cancelled, ALL).await;
    assert_eq!(end, None);
    let started = Instant::now();
    while stack.engine_state(0).await.load.running > 0 {
        assert!(started.elapsed() < SILENCE, "the streams run on");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(resume(&stack, "a.1", 0).await.0, StatusCode::NOT_FOUND);
}

// One host of a replica dies. The others can't compute without it, so the tokens stop at once,
// but the engine itself says so only after its own long timeout.
#[tokio::test(flavor = "multi_thread")]
async fn peer_lost() {
    let mut stack = replica_of("peer-lost", 2, &["--peer-loss-ms", "2000"]).await;
    let assignment = form_replica(&stack).await;
    let order = stream_order(&assignment, "a.1", 100_000);
    let mut stream = start(&assignment, &order).await.expect("running");
    read_tokens(&mut stream, 3).await;
    stack.engines[1].kill();
    let killed = Instant::now();
    let (_, end) = read_tokens(&mut stream, ALL).await;
    assert!(matches!(end, Some(StreamEvent::Failed { .. })), "{end:?}");
    assert!(
        killed.elapsed() >= Duration::from_secs(2),
        "it noticed early"
    );
    let order = stream_order(&assignment, "a.2", 5);
    assert!(start(&assignment, &order).await.is_none(), "taken in vain");
}

// An engine is told to fail its streams, as one with a broken accelerator does.
#[tokio::test(flavor = "multi_thread")]
async fn stream_failed() {
    let stack = replica_of("stream-failed", 1, &[]).await;
    let assignment = form_replica(&stack).await;
    let failing = FaultPlan::builder().fail_streams(true).build();
    stack.engine_faults(0, &failing).await;
    let order = stream_order(&assignment, "a.1", 5);
    let mut stream = start(&assignment, &order).await.expect("taken");
    let event = stream.next_event(SILENCE).await.expect("an event");
    assert!(matches!(event, Some(StreamEvent::Failed { .. })));
}
