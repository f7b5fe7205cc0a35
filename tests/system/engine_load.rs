//! Engines queue, prefer, cache and load as real ones do.

use std::time::{Duration, Instant};

use http::Method;
use standin::stack::{StackPlan, TestStack};
use web::client::JsonResponse;
use wire::engine::{CachePage, StreamEvent, prefix_hashes};

use crate::PRODUCT;
use crate::direct::{SILENCE, form_replica, order_rank, read_tokens, start, stream_order};

async fn one_engine(name: &str, options: &[&str]) -> TestStack {
    StackPlan::new(name, PRODUCT)
        .engines(1)
        .entries(0)
        .engine_options(options)
        .start_bare()
        .await
}

async fn wait_ready(stack: &TestStack) {
    let started = Instant::now();
    while !stack.engine_state(0).await.ready {
        assert!(started.elapsed() < SILENCE, "never ready");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn queue_bounded() {
    let options = ["--slots", "1", "--queue", "2"];
    let stack = one_engine("queue-bounded", &options).await;
    let assignment = form_replica(&stack).await;
    let mut running = stream_order(&assignment, "a.0", 60);
    running.priority = 9;
    let mut running = start(&assignment, &running).await.expect("running");
    read_tokens(&mut running, 1).await;
    let low = stream_order(&assignment, "a.1", 2);
    let mut low = start(&assignment, &low).await.expect("waiting");
    let mut high = stream_order(&assignment, "a.2", 30);
    high.priority = 5;
    let mut high = start(&assignment, &high).await.expect("waiting");
    let further = stream_order(&assignment, "a.3", 2);
    assert!(start(&assignment, &further).await.is_none(), "no bound");
    let first = tokio::select! {
        _ = read_tokens(&mut low, 1) => "low",
        _ = read_tokens(&mut high, 1) => "high",
    };
    assert_eq!(first, "high");
}

#[tokio::test(flavor = "multi_thread")]
async fn prefix_cached() {
    let options = ["--prompt-token-us", "2000", "--cache-lag-ms", "0"];
    let stack = one_engine("prefix-cached", &options).await;
    let assignment = form_replica(&stack).await;
    let mut cached = Vec::new();
    for attempt in ["a.0", "a.1"] {
        let order = stream_order(&assignment, attempt, 1);
        let mut stream = start(&assignment, &order).await.expect("running");
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
        .json(Method::GET, address, path, None::<&()>, SILENCE)
        .await
        .expect("a page");
    let order = stream_order(&assignment, "a.2", 1);
    let hashes = prefix_hashes(&order.model, None, &order.prompt);
    let stored: Vec<u64> = page.value.events.iter().map(|event| event.prefix).collect();
    assert_eq!(stored, hashes);
}

// Weights of a new version come from a store with a limited rate. Until they are there, the host
// counts as not ready and takes no stream.
#[tokio::test(flavor = "multi_thread")]
async fn version_loaded() {
    let stack = StackPlan::new("version-loaded", PRODUCT)
        .engines(1)
        .entries(0)
        .weights(&["--rate", "1000000", "--bytes", "1000000"])
        .start_bare()
        .await;
    let ordered = Instant::now();
    let mut assignment = form_replica(&stack).await;
    let order = stream_order(&assignment, "a.0", 1);
    assert!(start(&assignment, &order).await.is_none(), "not loaded yet");
    wait_ready(&stack).await;
    assert!(ordered.elapsed() >= Duration::from_millis(900));
    let mut stream = start(&assignment, &order).await.expect("loaded");
    read_tokens(&mut stream, 1).await;
    assignment.version = "v2".parse().expect("an id");
    assignment.incarnation = assignment.incarnation.next();
    order_rank(&stack, &assignment, 0).await;
    assert!(!stack.engine_state(0).await.ready);
    wait_ready(&stack).await;
}
