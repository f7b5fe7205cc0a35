//! Engines that refuse, break, fall silent or lose a host.

use std::time::{Duration, Instant};

use entry::EntrySettings;
use http::StatusCode;
use serde_json::json;

use crate::fake_engine::{EngineScript, answer_text};
use crate::fake_entry::{FakeEntry, replica, view_of};
use crate::fake_service::FakeService;
use crate::fake_table::FakeTable;

const TEXT: &str = "/v1/completions";
const TOKENS: u32 = 6;

fn body(stream: bool) -> String {
    json!({ "model": "help", "prompt": "p", "stream": stream, "max_tokens": TOKENS }).to_string()
}

fn streamed_text(data: &[String]) -> String {
    let mut text = String::new();
    for piece in data {
        let Ok(value) = serde_json::from_str::<serde_json::Value>(piece) else {
            continue;
        };
        text.push_str(value["choices"][0]["text"].as_str().unwrap_or_default());
    }
    text
}

/// A replica breaks off, falls silent or ends early in the midst of an answer, twice in a row. The
/// caller sees one answer, whole and in order.
#[tokio::test]
async fn answer_continued() {
    let faults = [
        EngineScript::BreakAfter(2),
        EngineScript::SilentAfter(2),
        EngineScript::EndAfter(2),
    ];
    for first in faults {
        for stream in [true, false] {
            let entry = FakeEntry::new();
            entry.engine.script(&[first, EngineScript::BreakAfter(4)]);
            let answer = entry.post(TEXT, &[], &body(stream)).await;
            assert_eq!(answer.status, StatusCode::OK, "{}", answer.text);
            let text = if stream {
                streamed_text(&answer.data())
            } else {
                let whole = answer.json();
                whole["choices"][0]["text"]
                    .as_str()
                    .unwrap_or_default()
                    .to_owned()
            };
            assert_eq!(text, answer_text(TOKENS), "{first:?}");
            let orders = entry.engine.orders();
            let given: Vec<usize> = orders
                .iter()
                .map(|(_, order)| order.generated_tokens.len())
                .collect();
            assert_eq!(given, [0, 2, 4], "each goes on behind the last");
            assert_ne!(orders[0].0, orders[1].0, "on another replica");
            assert_ne!(orders[0].1.attempt, orders[1].1.attempt);
        }
    }
}

/// Every engine proves that it ran nothing. Only then may the caller be told so.
#[tokio::test]
async fn not_run_proved() {
    for script in [EngineScript::Moved, EngineScript::Unreached] {
        let entry = FakeEntry::new();
        entry.engine.script(&[script; 20]);
        let answer = entry.post(TEXT, &[], &body(true)).await;
        assert!(answer.status.is_server_error(), "{}", answer.text);
        assert_eq!(answer.error("execution"), "not_run", "{}", answer.text);
        assert!(answer.retry_after.is_some());
    }
}

/// Engines take the request and break. It may have run, and the caller must not be told otherwise.
#[tokio::test]
async fn with_unknown_execution() {
    let entry = FakeEntry::new();
    entry.engine.script(&[EngineScript::BreakAfter(0); 40]);
    let answer = entry.post(TEXT, &[], &body(false)).await;
    assert_eq!(answer.error("execution"), "unknown", "{}", answer.text);
    assert!(answer.retry_after.is_some());
    tokio::task::yield_now().await;
    let started = entry.engine.orders().len();
    assert_eq!(entry.engine.cancelled().len(), started, "each is cancelled");
}

/// Every replica breaks in the midst of the answer until the attempts are used up. The caller must
/// see an error event with a token to go on with, not an end that looks like the whole answer.
#[tokio::test]
async fn explicit_end() {
    let entry = FakeEntry::new();
    entry.engine.script(&[EngineScript::BreakAfter(3); 40]);
    let answer = entry.post(TEXT, &[], &body(true)).await;
    assert_eq!(answer.status, StatusCode::OK);
    let closing = answer.text.rsplit("\n\n").nth(1).expect("an event");
    assert!(closing.starts_with("event: error\nid: "), "{closing}");
    assert!(closing.contains(r#""execution":"unknown""#), "{closing}");
    assert!(!answer.text.contains("[DONE]"));
}

/// A full engine refuses; once it has room the request is served, and no attempt was counted.
#[tokio::test]
async fn full_waited() {
    let entry = FakeEntry::new();
    entry.engine.script(&[EngineScript::Full; 12]);
    let answer = entry.post(TEXT, &[], &body(false)).await;
    assert_eq!(answer.status, StatusCode::OK, "{}", answer.text);
}

/// A host of the replica is lost while its stream stands still. The evidence tells long before the
/// silence does, and the caller must not wait for the silence.
#[tokio::test]
async fn evidence_heeded() {
    let settings = EntrySettings::builder()
        .evidence_ms(60_000)
        .silence_ms(600_000)
        .build();
    let entry = FakeEntry::start("e0", settings, FakeTable::default(), FakeService::default());
    entry.engine.script(&[EngineScript::SilentAfter(3)]);
    let lost = async {
        while entry.engine.orders().is_empty() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
        let (leader, _) = entry.engine.orders().remove(0);
        let replicas = [1, 2].map(|number| {
            let mut view = replica(number);
            if leader.port() == number
                && let Some((evidence, _)) = &mut view.evidence
            {
                evidence.hosts.pop();
            }
            view
        });
        entry.targets.send_replace(view_of(replicas.to_vec()));
    };
    let started = Instant::now();
    let request = body(true);
    let (answer, ()) = tokio::join!(entry.post(TEXT, &[], &request), lost);
    assert_eq!(streamed_text(&answer.data()), answer_text(TOKENS));
    assert!(
        started.elapsed() < Duration::from_mins(1),
        "it waited for the silence"
    );
    assert_eq!(entry.engine.orders().len(), 2);
}
