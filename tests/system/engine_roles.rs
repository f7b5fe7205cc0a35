//! Engines change roles, hand over KV caches, lag in their reports and become stragglers.

use std::time::{Duration, Instant};

use bytes::Bytes;
use domain::replica::ReplicaRole;
use http::{Method, StatusCode};
use standin::faults::FaultPlan;
use standin::stack::{StackPlan, TestStack};
use web::body::full_body;
use web::client::json_request;
use web::read_body;
use wire::engine::StreamEvent;

use crate::PRODUCT;
use crate::direct::{SILENCE, form_replica, order_rank, read_tokens, start, stream_order};

const ALL: usize = usize::MAX;

async fn engines(name: &str, count: usize, options: &[&str]) -> TestStack {
    StackPlan::new(name, PRODUCT)
        .engines(count)
        .entries(0)
        .engine_options(options)
        .start_bare()
        .await
}

async fn wait_ready(stack: &TestStack) {
    let started = Instant::now();
    while !stack.engine_state(0).await.ready {
        assert!(started.elapsed() < SILENCE, "never ready");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Moves bytes at `/kv/{attempt}`: out of an engine with `GET`, into it with `PUT`.
async fn move_kv(
    stack: &TestStack,
    engine: usize,
    method: Method,
    attempt: &str,
    kv: Bytes,
) -> (StatusCode, Bytes) {
    let address = stack.engines[engine].address;
    let path = format!("/kv/{attempt}");
    let mut request = json_request(method, address, &path, None::<&()>).expect("a request");
    *request.body_mut() = full_body(kv);
    let answer = stack.client.send(address, request, SILENCE).await;
    let answer = answer.expect("an answer");
    let status = answer.status();
    let body = read_body(answer.into_body(), 1 << 20).await.expect("whole");
    (status, body)
}

async fn cached_tokens(assignment: &wire::engine::EngineAssignment, attempt: &str) -> (u32, u32) {
    let order = stream_order(assignment, attempt, 2);
    let mut stream = start(assignment, &order).await.expect("running");
    match read_tokens(&mut stream, ALL).await.1 {
        Some(StreamEvent::Done {
            prompt_tokens,
            cached_tokens,
            ..
        }) => (prompt_tokens, cached_tokens),
        end => panic!("{end:?}"),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn kv_moved() {
    let stack = engines("kv-moved", 2, &["--cache-blocks", "0"]).await;
    let mut reading = form_replica(&stack).await;
    reading.hosts.truncate(1);
    order_rank(&stack, &reading, 0).await;
    let mut writing = reading.clone();
    writing.replica = "r2".parse().expect("an id");
    writing.hosts[0].address = stack.engines[1].address;
    order_rank(&stack, &writing, 0).await;
    let (prompt, cached) = cached_tokens(&reading, "a.0").await;
    assert_eq!(cached, 0);
    let (status, kv) = move_kv(&stack, 0, Method::GET, "a.0", Bytes::new()).await;
    assert_eq!(status, StatusCode::OK);
    let (status, _) = move_kv(&stack, 1, Method::PUT, "a.1", kv).await;
    assert_eq!(status, StatusCode::OK);
    assert_eq!(cached_tokens(&writing, "a.1").await, (prompt, prompt));
    assert_eq!(cached_tokens(&writing, "a.2").await, (prompt, 0));
    let (unknown, _) = move_kv(&stack, 0, Method::GET, "a.9", Bytes::new()).await;
    assert_eq!(unknown, StatusCode::NOT_FOUND);
}

// A replica changes its role. Its hosts count as not ready for a while, though for far less than
// whole weights take.
#[tokio::test(flavor = "multi_thread")]
async fn role_changed() {
    let stack = engines("role-changed", 1, &["--load-ms", "3000"]).await;
    let ordered = Instant::now();
    let mut assignment = form_replica(&stack).await;
    wait_ready(&stack).await;
    assert!(ordered.elapsed() >= Duration::from_secs(3), "loaded early");
    assignment.role = ReplicaRole::Prefill;
    assignment.incarnation = assignment.incarnation.next();
    let ordered = Instant::now();
    order_rank(&stack, &assignment, 0).await;
    assert!(!stack.engine_state(0).await.ready);
    wait_ready(&stack).await;
    assert!(ordered.elapsed() >= Duration::from_millis(300));
}

#[tokio::test(flavor = "multi_thread")]
async fn report_lags() {
    let stack = engines("report-lags", 1, &["--report-lag-ms", "800"]).await;
    let assignment = form_replica(&stack).await;
    stack.engine_state(0).await;
    tokio::time::sleep(Duration::from_millis(900)).await;
    let order = stream_order(&assignment, "a.0", 100_000);
    let mut stream = start(&assignment, &order).await.expect("running");
    read_tokens(&mut stream, 1).await;
    let started = Instant::now();
    let first = stack.engine_state(0).await.load;
    assert_eq!(first.running, 0, "no lag");
    while stack.engine_state(0).await.load.running == 0 {
        assert!(started.elapsed() < SILENCE, "never reported");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(started.elapsed() >= Duration::from_millis(600));
}

// One engine's tokens take many times as long as before, without any error.
#[tokio::test(flavor = "multi_thread")]
async fn straggler_slow() {
    let stack = engines("straggler-slow", 1, &[]).await;
    let assignment = form_replica(&stack).await;
    let order = stream_order(&assignment, "a.0", 100_000);
    let mut stream = start(&assignment, &order).await.expect("running");
    read_tokens(&mut stream, 3).await;
    let slow = FaultPlan::builder().slow_factor(40.0).build();
    stack.engine_faults(0, &slow).await;
    read_tokens(&mut stream, 2).await;
    let started = Instant::now();
    read_tokens(&mut stream, 3).await;
    assert!(started.elapsed() >= Duration::from_millis(500), "not slow");
}
