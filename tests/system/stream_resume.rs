//! Clients resume streams at another entry node.

use futures::future::join_all;
use http::StatusCode;
use serde_json::json;
use standin::faults::FaultPlan;
use standin::stack::{StackPlan, TestStack};

use crate::BINARY;
use crate::event_stream_client::{EventStream, complete_text, completion_request, open_stream};

const TOKENS: u32 = 300;
/// As many as one of three entry nodes runs at once; more would wait for the first to end.
const STREAMS: u64 = 8;
const LONG_STREAM_TOKENS: u32 = 1_500;
/// Makes a stream take minutes, so that none ends before the node is killed, however late that is.
const SLOW_FACTOR: f64 = 20.0;

/// Sets the speed of all engines.
async fn slow_engines(stack: &TestStack, factor: f64) {
    let plan = FaultPlan::builder().slow_factor(factor).build();
    for engine in 0..stack.engines.len() {
        stack.set_engine_faults(engine, &plan).await;
    }
}

/// An entry node dies during many streams. Each client connects to another entry node with the id
/// of its last event and must get the rest, with no word missing or repeated.
#[tokio::test(flavor = "multi_thread")]
async fn resumes_after_entry_node_killed() {
    let mut stack = StackPlan::new("entry-killed", BINARY).start().await;
    slow_engines(&stack, SLOW_FACTOR).await;
    let healthy_stack = &stack;
    let opened = (0..STREAMS).map(|seed| async move {
        let mut stream = open_stream(
            healthy_stack,
            0,
            &completion_request(seed, LONG_STREAM_TOKENS),
            None,
        )
        .await;
        stream.read_words(5).await;
        stream
    });
    let mut streams = join_all(opened).await;
    stack.entries[0].kill();
    slow_engines(&stack, 1.0).await;
    join_all(streams.iter_mut().map(EventStream::read_all)).await;
    let shared = &stack;
    let resumed = streams.iter().zip(0..).map(|(first, seed)| async move {
        assert_eq!(
            first.final_event, "",
            "the stream ended before the node was killed"
        );
        let entry = if seed % 2 == 0 { 1 } else { 2 };
        let mut rest = open_stream(
            shared,
            entry,
            &completion_request(seed, LONG_STREAM_TOKENS),
            Some(&first.last_id),
        )
        .await;
        rest.read_all().await;
        assert_eq!(rest.final_event, "[DONE]");
        format!("{}{}", first.text, rest.text)
    });
    let texts = join_all(resumed).await;
    let expected = (0..STREAMS).map(|seed| async move {
        complete_text(shared, 1, &completion_request(seed, LONG_STREAM_TOKENS)).await
    });
    assert_eq!(texts, join_all(expected).await);
    println!("{} streams of a killed entry node resumed", texts.len());
}

/// The entry node and the engine that has the stream die together. Another entry node has only the
/// resume token; it must generate the text again and send only what the client lacks.
#[tokio::test(flavor = "multi_thread")]
async fn resumes_after_entry_node_and_engine_killed() {
    let mut stack = StackPlan::new("both-killed", BINARY).start().await;
    let body = completion_request(8, TOKENS);
    let expected = complete_text(&stack, 1, &body).await;
    let mut first = open_stream(&stack, 0, &body, None).await;
    first.read_words(20).await;
    let replicas = stack.replica_engines().await;
    let mut leaders = Vec::new();
    for engines in replicas.values() {
        if stack.engine_state(engines[0]).await.load.running > 0 {
            leaders.push(engines[0]);
        }
    }
    stack.entries[0].kill();
    // Load reports are delayed and may not show which replica runs the stream.
    let leader = leaders.first().copied().unwrap_or_else(|| {
        let (_, engines) = replicas.iter().next().expect("a replica");
        engines[0]
    });
    stack.engines[leader].kill();
    first.read_all().await;
    let mut second = open_stream(&stack, 2, &body, Some(&first.last_id)).await;
    second.read_all().await;
    assert_eq!(second.final_event, "[DONE]");
    assert_eq!(format!("{}{}", first.text, second.text), expected);
}

/// The client gives no seed, so the first entry node chooses one. The other entry node must use the
/// same seed, or the rest would belong to another text.
#[tokio::test(flavor = "multi_thread")]
async fn resumes_with_same_seed() {
    let stack = StackPlan::new("seed-kept", BINARY).start().await;
    let mut body = completion_request(9, 120);
    body.as_object_mut().expect("an object").remove("seed");
    let mut complete = open_stream(&stack, 0, &body, None).await;
    complete.read_words(10).await;
    let (id, received) = (complete.last_id.clone(), complete.text.clone());
    complete.read_all().await;
    let mut rest = open_stream(&stack, 1, &body, Some(&id)).await;
    rest.read_all().await;
    assert_eq!(rest.final_event, "[DONE]");
    assert_eq!(format!("{received}{}", rest.text), complete.text);
}

/// A client sends the event id of another request's stream, or a forged one. Resuming would mix two
/// texts or disclose another client's.
#[tokio::test(flavor = "multi_thread")]
async fn foreign_token_refused() {
    let stack = StackPlan::new("token-refused", BINARY).start().await;
    let mut stream = open_stream(&stack, 0, &completion_request(10, 20), None).await;
    stream.read_all().await;
    let id = stream.last_id.as_str();
    let other = completion_request(11, 20);
    for (token, body) in [(id, &other), ("made-up", &other), ("AAAA", &other)] {
        let headers = [("last-event-id", token)];
        let response = stack.call(1, "/v1/completions", &headers, body).await;
        assert_eq!(response.status, StatusCode::BAD_REQUEST, "{token}");
        let error = &response.json()["error"];
        assert_eq!(error["code"], "invalid_resume", "{error}");
        assert_eq!(error["execution"], "not_run");
        assert_eq!(error["param"], json!("header last-event-id"));
    }
}
