//! Simulated engines: bounded queue, priorities, prefix cache and loading of weights.

use std::time::{Duration, Instant};

use http::Method;
use standin::stack::{StackPlan, TestStack};
use web::client::JsonResponse;
use wire::engine::{CachePage, StreamEvent, prefix_hashes};

use crate::BINARY;
use crate::direct_engine::{
    EVENT_TIMEOUT, assign_rank, form_replica, read_tokens, start_stream, stream_request,
};

async fn start_engine(name: &str, options: &[&str]) -> TestStack {
    StackPlan::new(name, BINARY)
        .engines(1)
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
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn queue_bounded_and_prioritized() {
    let options = ["--slots", "1", "--queue", "2"];
    let stack = start_engine("queue-bounded", &options).await;
    let assignment = form_replica(&stack).await;
    let mut running = stream_request(&assignment, "a.0", 60);
    running.priority = 9;
    let mut running = start_stream(&assignment, &running).await.expect("running");
    read_tokens(&mut running, 1).await;
    let low = stream_request(&assignment, "a.1", 2);
    let mut low = start_stream(&assignment, &low).await.expect("waiting");
    let mut high = stream_request(&assignment, "a.2", 30);
    high.priority = 5;
    let mut high = start_stream(&assignment, &high).await.expect("waiting");
    let excess = stream_request(&assignment, "a.3", 2);
    assert!(
        start_stream(&assignment, &excess).await.is_none(),
        "accepted over a full queue"
    );
    let first = tokio::select! {
        _ = read_tokens(&mut low, 1) => "low",
        _ = read_tokens(&mut high, 1) => "high",
    };
    assert_eq!(first, "high");
}

#[tokio::test(flavor = "multi_thread")]
async fn prefix_cache_hits() {
    let options = ["--prompt-token-us", "2000", "--cache-lag-ms", "0"];
    let stack = start_engine("prefix-cached", &options).await;
    let assignment = form_replica(&stack).await;
    let mut cached = Vec::new();
    for attempt in ["a.0", "a.1"] {
        let request = stream_request(&assignment, attempt, 1);
        let mut stream = start_stream(&assignment, &request).await.expect("running");
        let (_, end) = read_tokens(&mut stream, 9).await;
        let Some(StreamEvent::Done { cached_tokens, .. }) = end else {
            panic!("{end:?}");
        };
        cached.push(cached_tokens);
    }
    assert_eq!(cached[0], 0);
    assert!(cached[1] > 5, "{cached:?}");
    let address = stack.engines[0].address;
    let path = "/cache/events?after=0";
    let page: JsonResponse<CachePage> = stack
        .client
        .json(Method::GET, address, path, None::<&()>, EVENT_TIMEOUT)
        .await
        .expect("a page");
    let request = stream_request(&assignment, "a.2", 1);
    let hashes = prefix_hashes(&request.model, None, &request.prompt);
    let stored: Vec<u64> = page.value.events.iter().map(|event| event.prefix).collect();
    assert_eq!(stored, hashes);
}

/// A new version's weights come from a store with a limited rate. Until they are loaded, the host
/// reports that it is not ready and accepts no streams.
#[tokio::test(flavor = "multi_thread")]
async fn not_ready_while_loading() {
    let stack = StackPlan::new("version-loaded", BINARY)
        .engines(1)
        .entries(0)
        .weights(&["--rate", "1000000", "--bytes", "1000000"])
        .start_without_records()
        .await;
    let ordered = Instant::now();
    let mut assignment = form_replica(&stack).await;
    let request = stream_request(&assignment, "a.0", 1);
    assert!(
        start_stream(&assignment, &request).await.is_none(),
        "accepted before the weights were loaded"
    );
    wait_ready(&stack).await;
    assert!(ordered.elapsed() >= Duration::from_millis(900));
    let mut stream = start_stream(&assignment, &request).await.expect("loaded");
    read_tokens(&mut stream, 1).await;
    assignment.version = "v2".parse().expect("an id");
    assignment.incarnation = assignment.incarnation.next().expect("few changes");
    assign_rank(&stack, &assignment, 0).await;
    assert!(!stack.engine_state(0).await.ready);
    wait_ready(&stack).await;
}
