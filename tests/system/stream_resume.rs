//! Callers that go on with a stream at another entry.

use futures::future::join_all;
use http::StatusCode;
use serde_json::json;
use standin::stack::StackPlan;

use crate::PRODUCT;
use crate::event_stream::{EventStream, open_stream, question, undisturbed_text};

const TOKENS: u32 = 300;
/// So many run at once at one entry of three; more would wait for the first to end.
const STREAMS: u64 = 8;
/// Long enough that none ends before the last of them has begun, on a busy machine too.
const LONG: u32 = 1_500;

/// An entry host dies in the midst of many answers. Each trader's client connects to another entry
/// with the id of the last event it has, and must get the rest: no word missing, none twice.
#[tokio::test(flavor = "multi_thread")]
async fn entry_killed() {
    let mut stack = StackPlan::new("entry-killed", PRODUCT).start().await;
    let begun = &stack;
    let opened = (0..STREAMS).map(|seed| async move {
        let mut stream = open_stream(begun, 0, &question(seed, LONG), None).await;
        stream.read_words(5).await;
        stream
    });
    let mut streams = join_all(opened).await;
    stack.entries[0].kill();
    join_all(streams.iter_mut().map(EventStream::read_all)).await;
    let shared = &stack;
    let resumed = streams.iter().zip(0..).map(|(first, seed)| async move {
        assert_eq!(first.closing, "", "it can't have ended by itself");
        let entry = if seed % 2 == 0 { 1 } else { 2 };
        let mut rest =
            open_stream(shared, entry, &question(seed, LONG), Some(&first.last_id)).await;
        rest.read_all().await;
        assert_eq!(rest.closing, "[DONE]");
        format!("{}{}", first.text, rest.text)
    });
    let texts = join_all(resumed).await;
    let expected = (0..STREAMS)
        .map(|seed| async move { undisturbed_text(shared, 1, &question(seed, LONG)).await });
    assert_eq!(texts, join_all(expected).await);
    println!("{} streams of a killed entry, all resumed", texts.len());
}

/// The entry and the host that kept the stream die together. The other entry has nothing but the
/// token; it has the answer generated again and passes on only what the trader lacks.
#[tokio::test(flavor = "multi_thread")]
async fn both_killed() {
    let mut stack = StackPlan::new("both-killed", PRODUCT).start().await;
    let body = question(8, TOKENS);
    let expected = undisturbed_text(&stack, 1, &body).await;
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
    // Which replica ran the stream can't be told for certain from a lagged report.
    let leader = leaders.first().copied().unwrap_or_else(|| {
        let (_, engines) = replicas.iter().next().expect("a replica");
        engines[0]
    });
    stack.engines[leader].kill();
    first.read_all().await;
    let mut second = open_stream(&stack, 2, &body, Some(&first.last_id)).await;
    second.read_all().await;
    assert_eq!(second.closing, "[DONE]");
    assert_eq!(format!("{}{}", first.text, second.text), expected);
}

/// The trader names no seed, so the first entry chose one. Unless the other entry uses the same,
/// the rest of the answer is that of another one.
#[tokio::test(flavor = "multi_thread")]
async fn seed_kept() {
    let stack = StackPlan::new("seed-kept", PRODUCT).start().await;
    let mut body = question(9, 120);
    body.as_object_mut().expect("an object").remove("seed");
    let mut whole = open_stream(&stack, 0, &body, None).await;
    whole.read_words(10).await;
    let (id, have) = (whole.last_id.clone(), whole.text.clone());
    whole.read_all().await;
    let mut rest = open_stream(&stack, 1, &body, Some(&id)).await;
    rest.read_all().await;
    assert_eq!(rest.closing, "[DONE]");
    assert_eq!(format!("{have}{}", rest.text), whole.text);
}

/// A client sends the id of a stream with another question, or one that it made up. Going on would
/// mix two answers or give away somebody else's.
#[tokio::test(flavor = "multi_thread")]
async fn token_refused() {
    let stack = StackPlan::new("token-refused", PRODUCT).start().await;
    let mut stream = open_stream(&stack, 0, &question(10, 20), None).await;
    stream.read_all().await;
    let id = stream.last_id.as_str();
    let other = question(11, 20);
    for (token, body) in [(id, &other), ("made-up", &other), ("AAAA", &other)] {
        let headers = [("last-event-id", token)];
        let answer = stack.call(1, "/v1/completions", &headers, body).await;
        assert_eq!(answer.status, StatusCode::BAD_REQUEST, "{token}");
        let error = &answer.json()["error"];
        assert_eq!(error["code"], "invalid_resume", "{error}");
        assert_eq!(error["execution"], "not_run");
        assert_eq!(error["param"], json!("header last-event-id"));
    }
}
