//! Watching from a caller's side when service ends and returns.

use std::time::{Duration, Instant};

use http::StatusCode;
use serde_json::json;
use standin::stack::{CallerAnswer, PATIENCE, TestStack};
use wire::caller::REQUEST_TIMEOUT_HEADER;

const POLL: Duration = Duration::from_millis(20);

/// Seconds within which a call must find a replica; else the entry waits for one.
const PLACE_WITHIN: &str = "0.5";

/// Longest time that one short answer may take before it counts as silence.
const SHORT_ANSWER: Duration = Duration::from_secs(1);

/// What one short call came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallFate {
    Served,
    /// No replica may be sent anything.
    Refused,
    /// Anything else, such as silence of an engine whose peer is gone.
    Failed,
}

/// Whether the entry found no replica to send the call to, at once or within the call's timeout.
fn is_undispatched(answer: &CallerAnswer) -> bool {
    let error = &answer.json()["error"];
    let code = error["code"].as_str().unwrap_or_default();
    let unplaced = ["no_replica", "deadline_exceeded"].contains(&code);
    unplaced && error["execution"] == "not_run"
}

async fn call_once(stack: &TestStack, entry: usize) -> CallFate {
    let body = json!({ "model": "trader-help", "prompt": "ready?", "max_tokens": 1 });
    let headers = [(REQUEST_TIMEOUT_HEADER, PLACE_WITHIN)];
    let call = stack.call(entry, "/v1/completions", &headers, &body);
    match tokio::time::timeout(SHORT_ANSWER, call).await {
        Ok(answer) if answer.status == StatusCode::OK => CallFate::Served,
        Ok(answer) if is_undispatched(&answer) => CallFate::Refused,
        Ok(_) | Err(_) => CallFate::Failed,
    }
}

async fn wait_fate(stack: &TestStack, entry: usize, wanted: CallFate, since: Instant) -> Duration {
    let started = Instant::now();
    loop {
        let fate = call_once(stack, entry).await;
        if fate == wanted {
            return since.elapsed();
        }
        assert!(started.elapsed() < PATIENCE, "entry {entry}: {fate:?}");
        tokio::time::sleep(POLL).await;
    }
}

/// Waits until an entry refuses new work; returns the time that passed since `since`.
pub async fn wait_refused(stack: &TestStack, entry: usize, since: Instant) -> Duration {
    wait_fate(stack, entry, CallFate::Refused, since).await
}

/// Waits until an entry serves; returns the time that passed since `since`.
pub async fn wait_served(stack: &TestStack, entry: usize, since: Instant) -> Duration {
    wait_fate(stack, entry, CallFate::Served, since).await
}

/// Waits until a condition on the stack holds.
pub async fn wait_until<F, Fut>(what: &str, condition: F)
where
    F: Fn() -> Fut,
    Fut: Future<Output = bool>,
{
    let started = Instant::now();
    while !condition().await {
        assert!(started.elapsed() < PATIENCE, "{what}");
        tokio::time::sleep(POLL).await;
    }
}

/// Says a measured time; `cargo test -- --nocapture` shows it.
pub fn report(what: &str, time: Duration) {
    println!("measured: {what}: {} ms", time.as_millis());
}
