//! Simulated engines: KV cache transfer, role changes, delayed load reports and stragglers.

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

use crate::BINARY;
use crate::direct_engine::{
    EVENT_TIMEOUT, assign_rank, form_replica, read_tokens, start_stream, stream_request,
};

/// Reads a stream to its end.
const ALL: usize = usize::MAX;

async fn start_engines(name: &str, count: usize, options: &[&str]) -> TestStack {
    StackPlan::new(name, BINARY)
        .engines(count)
        .entries(0)
        .engine_options(options)
        .start_without_records()
        .await
}

async fn wait_ready(stack: &TestStack) {
    let started = Instant::now();
    while !stack.engine_state(0).await.ready {
        assert!(
            started.elapsed() < EVENT_TIMEOUT,
            "the engine does not become ready"
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Transfers a KV cache at `/kv/{attempt}`: out of an engine with `GET`, into it with `PUT`.
async fn transfer_kv(
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
    let response = stack.client.send(address, request, EVENT_TIMEOUT).await;
    let response = response.expect("a response");
    let status = response.status();
    let body = read_body(response.into_body(), 1 << 20)
        .await
        .expect("a complete body");
    (status, body)
}

/// Runs a stream to its end; returns its prompt tokens and how many of them were cached.
async fn prompt_and_cached_tokens(
    assignment: &wire::engine::EngineAssignment,
    attempt: &str,
) -> (u32, u32) {
    let request = stream_request(assignment, attempt, 2);
    let mut stream = start_stream(assignment, &request).await.expect("running");
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
async fn kv_cache_transferred() {
    let stack = start_engines("kv-transfer", 2, &["--cache-blocks", "0"]).await;
    let mut source = form_replica(&stack).await;
    source.hosts.truncate(1);
    assign_rank(&stack, &source, 0).await;
    let mut destination = source.clone();
    destination.replica = "r2".parse().expect("an id");
    destination.hosts[0].address = stack.engines[1].address;
    assign_rank(&stack, &destination, 0).await;
    let (prompt, cached) = prompt_and_cached_tokens(&source, "a.0").await;
    assert_eq!(cached, 0);
    let (status, kv) = transfer_kv(&stack, 0, Method::GET, "a.0", Bytes::new()).await;
    assert_eq!(status, StatusCode::OK);
    let (status, _) = transfer_kv(&stack, 1, Method::PUT, "a.1", kv).await;
    assert_eq!(status, StatusCode::OK);
    assert_eq!(
        prompt_and_cached_tokens(&destination, "a.1").await,
        (prompt, prompt)
    );
    assert_eq!(
        prompt_and_cached_tokens(&destination, "a.2").await,
        (prompt, 0)
    );
    let (unknown, _) = transfer_kv(&stack, 0, Method::GET, "a.9", Bytes::new()).await;
    assert_eq!(unknown, StatusCode::NOT_FOUND);
}

/// A replica changes its role. Its hosts are not ready for a while, but for much less time than
/// loading the weights takes.
#[tokio::test(flavor = "multi_thread")]
async fn role_change_needs_time() {
    let stack = start_engines("role-changed", 1, &["--load-ms", "3000"]).await;
    let ordered = Instant::now();
    let mut assignment = form_replica(&stack).await;
    wait_ready(&stack).await;
    assert!(
        ordered.elapsed() >= Duration::from_secs(3),
        "ready before the load time passed"
    );
    assignment.role = ReplicaRole::Prefill;
    assignment.incarnation = assignment.incarnation.next().expect("few changes");
    let ordered = Instant::now();
    assign_rank(&stack, &assignment, 0).await;
    assert!(!stack.engine_state(0).await.ready);
    wait_ready(&stack).await;
    assert!(ordered.elapsed() >= Duration::from_millis(300));
}

#[tokio::test(flavor = "multi_thread")]
async fn load_report_delayed() {
    let stack = start_engines("report-delayed", 1, &["--report-lag-ms", "800"]).await;
    let assignment = form_replica(&stack).await;
    stack.engine_state(0).await;
    tokio::time::sleep(Duration::from_millis(900)).await;
    let request = stream_request(&assignment, "a.0", 100_000);
    let mut stream = start_stream(&assignment, &request).await.expect("running");
    read_tokens(&mut stream, 1).await;
    let started = Instant::now();
    let first = stack.engine_state(0).await.load;
    assert_eq!(first.running, 0, "the report is not delayed");
    while stack.engine_state(0).await.load.running == 0 {
        assert!(
            started.elapsed() < EVENT_TIMEOUT,
            "the stream is never reported"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(started.elapsed() >= Duration::from_millis(600));
}

/// An engine becomes many times slower without reporting an error.
#[tokio::test(flavor = "multi_thread")]
async fn straggler_slows_streams() {
    let stack = start_engines("straggler-slow", 1, &[]).await;
    let assignment = form_replica(&stack).await;
    let request = stream_request(&assignment, "a.0", 100_000);
    let mut stream = start_stream(&assignment, &request).await.expect("running");
    read_tokens(&mut stream, 3).await;
    let slowdown = FaultPlan::builder().slow_factor(40.0).build();
    stack.set_engine_faults(0, &slowdown).await;
    read_tokens(&mut stream, 2).await;
    let started = Instant::now();
    read_tokens(&mut stream, 3).await;
    assert!(
        started.elapsed() >= Duration::from_millis(500),
        "the engine is not slow"
    );
}
