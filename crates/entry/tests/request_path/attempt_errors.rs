//! Engines that refuse a stream, break off, stall or lose a host.

use std::time::{Duration, Instant};

use entry::EntrySettings;
use http::StatusCode;
use serde_json::json;

use crate::fake_engine::{EngineBehavior, response_text};
use crate::fake_entry::{FakeEntry, FakeResponse, replica, target_view};
use crate::fake_service::FakeService;
use crate::fake_table::FakeTable;

const TEXT: &str = "/v1/completions";
const TOKENS: u32 = 6;

fn body(stream: bool) -> String {
    json!({ "model": "help", "prompt": "p", "stream": stream, "max_tokens": TOKENS }).to_string()
}

fn streamed_text(data: &[String]) -> String {
    let mut text = String::new();
    for chunk in data {
        let Ok(value) = serde_json::from_str::<serde_json::Value>(chunk) else {
            continue;
        };
        text.push_str(value["choices"][0]["text"].as_str().unwrap_or_default());
    }
    text
}

/// Text of a response, streamed or not.
fn full_text(response: &FakeResponse, stream: bool) -> String {
    if stream {
        return streamed_text(&response.data());
    }
    let body = response.json();
    let text = body["choices"][0]["text"].as_str();
    text.unwrap_or_default().to_owned()
}

/// Replicas break off, stall or end early in mid-response, twice in a row. The client must receive
/// one complete response in request.
#[tokio::test]
async fn response_continued() {
    let faults = [
        EngineBehavior::BreakAfter(2),
        EngineBehavior::StallAfter(2),
        EngineBehavior::EndAfter(2),
    ];
    for first in faults {
        for stream in [true, false] {
            let entry = FakeEntry::new();
            entry.engine.script(&[first, EngineBehavior::BreakAfter(4)]);
            let response = entry.post(TEXT, &[], &body(stream)).await;
            assert_eq!(response.status, StatusCode::OK, "{}", response.text);
            let text = full_text(&response, stream);
            assert_eq!(text, response_text(TOKENS), "{first:?}");
            let requests = entry.engine.requests();
            let continued_from: Vec<usize> = requests
                .iter()
                .map(|(_, request)| request.generated_tokens.len())
                .collect();
            assert_eq!(
                continued_from,
                [0, 2, 4],
                "each attempt continues after the previous one"
            );
            assert_ne!(
                requests[0].0, requests[1].0,
                "the same replica was used again"
            );
            assert_ne!(requests[0].1.attempt, requests[1].1.attempt);
        }
    }
}

/// All engines refuse in a way that proves that nothing was executed. The client is told so.
#[tokio::test]
async fn proven_not_executed() {
    for behavior in [EngineBehavior::ReplicaChanged, EngineBehavior::Unreachable] {
        let entry = FakeEntry::new();
        entry.engine.script(&[behavior; 20]);
        let response = entry.post(TEXT, &[], &body(true)).await;
        assert!(response.status.is_server_error(), "{}", response.text);
        assert_eq!(response.error("execution"), "not_run", "{}", response.text);
        assert!(response.retry_after.is_some());
    }
}

/// Engines accept the request and break off. It may have been executed, so it must not be reported
/// as not executed.
#[tokio::test]
async fn possibly_executed() {
    let entry = FakeEntry::new();
    entry.engine.script(&[EngineBehavior::BreakAfter(0); 40]);
    let response = entry.post(TEXT, &[], &body(false)).await;
    assert_eq!(response.error("execution"), "unknown", "{}", response.text);
    assert!(response.retry_after.is_some());
    tokio::task::yield_now().await;
    let started = entry.engine.requests().len();
    assert_eq!(
        entry.engine.cancelled().len(),
        started,
        "every started stream must be cancelled"
    );
}

/// All replicas break off in mid-response until the attempts are exhausted. The client must receive
/// an error event with a resume token rather than an end that looks like a complete response.
#[tokio::test]
async fn exhausted_attempts() {
    let entry = FakeEntry::new();
    entry.engine.script(&[EngineBehavior::BreakAfter(3); 40]);
    let response = entry.post(TEXT, &[], &body(true)).await;
    assert_eq!(response.status, StatusCode::OK);
    let closing = response.text.rsplit("\n\n").nth(1).expect("an event");
    assert!(closing.starts_with("event: error\nid: "), "{closing}");
    assert!(closing.contains(r#""execution":"unknown""#), "{closing}");
    assert!(!response.text.contains("[DONE]"));
}

/// Full engines refuse a stream until they have capacity. The request must then be served, since
/// refusals are not counted as attempts.
#[tokio::test]
async fn full_engines_retried() {
    let entry = FakeEntry::new();
    entry.engine.script(&[EngineBehavior::Full; 12]);
    let response = entry.post(TEXT, &[], &body(false)).await;
    assert_eq!(response.status, StatusCode::OK, "{}", response.text);
}

/// A replica breaks off in mid-response while the other engines are full for a moment. The client
/// must get the rest once they have capacity; refusals use up no attempts.
#[tokio::test]
async fn full_engines_after_loss() {
    for stream in [true, false] {
        let entry = FakeEntry::new();
        entry.engine.script(&[EngineBehavior::BreakAfter(2)]);
        entry.engine.script(&[EngineBehavior::Full; 12]);
        let response = entry.post(TEXT, &[], &body(stream)).await;
        assert_eq!(response.status, StatusCode::OK, "{}", response.text);
        let text = full_text(&response, stream);
        assert_eq!(text, response_text(TOKENS));
    }
}

/// A replica loses a host while its stream is stalled. The evidence shows this long before the
/// silence limit, and the client must not have to wait for the limit.
#[tokio::test]
async fn missing_host_before_silence() {
    let settings = EntrySettings::builder()
        .evidence_ms(60_000)
        .silence_ms(600_000)
        .build();
    let entry = FakeEntry::start("e0", settings, FakeTable::default(), FakeService::default());
    entry.engine.script(&[EngineBehavior::StallAfter(3)]);
    let lose_host = async {
        while entry.engine.requests().is_empty() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
        let (leader, _) = entry.engine.requests().remove(0);
        let replicas = [1, 2].map(|number| {
            let mut view = replica(number);
            if leader.port() == number
                && let Some((evidence, _)) = &mut view.evidence
            {
                evidence.hosts.pop();
            }
            view
        });
        entry.targets.send_replace(target_view(replicas.to_vec()));
    };
    let started = Instant::now();
    let request = body(true);
    let (response, ()) = tokio::join!(entry.post(TEXT, &[], &request), lose_host);
    assert_eq!(streamed_text(&response.data()), response_text(TOKENS));
    assert!(
        started.elapsed() < Duration::from_mins(1),
        "waited for the silence limit"
    );
    assert_eq!(entry.engine.requests().len(), 2);
}
