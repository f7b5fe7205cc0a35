//! Helpers that measure from the client's side when a model becomes unavailable and available.

use std::time::{Duration, Instant};

use http::StatusCode;
use serde_json::json;
use standin::stack::{CallerResponse, TestStack, WAIT_TIMEOUT};
use wire::client_api::REQUEST_TIMEOUT_HEADER;

const POLL: Duration = Duration::from_millis(20);

/// Timeout in seconds that a call requests, so that an entry node without a replica does not wait
/// long for one.
const REQUEST_TIMEOUT_SECONDS: &str = "0.5";

/// Time after which a call without a response counts as failed.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Outcome of one short call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallOutcome {
    /// A replica served the call.
    Served,
    /// The entry node dispatched the call to no replica.
    Refused,
    /// Anything else, such as no response from an engine that lost a peer.
    Failed,
}

/// Whether the entry node found no replica for the call, either at once or within its timeout.
fn is_refusal(response: &CallerResponse) -> bool {
    let error = &response.json()["error"];
    let code = error["code"].as_str().unwrap_or_default();
    let no_replica = ["no_replica", "deadline_exceeded"].contains(&code);
    no_replica && error["execution"] == "not_run"
}

async fn send_call(stack: &TestStack, entry: usize) -> CallOutcome {
    let body = json!({ "model": "trader-help", "prompt": "ready?", "max_tokens": 1 });
    let headers = [(REQUEST_TIMEOUT_HEADER, REQUEST_TIMEOUT_SECONDS)];
    let call = stack.call(entry, "/v1/completions", &headers, &body);
    match tokio::time::timeout(RESPONSE_TIMEOUT, call).await {
        Ok(response) if response.status == StatusCode::OK => CallOutcome::Served,
        Ok(response) if is_refusal(&response) => CallOutcome::Refused,
        Ok(_) | Err(_) => CallOutcome::Failed,
    }
}

async fn wait_for_outcome(
    stack: &TestStack,
    entry: usize,
    expected: CallOutcome,
    since: Instant,
) -> Duration {
    let started = Instant::now();
    loop {
        let outcome = send_call(stack, entry).await;
        if outcome == expected {
            return since.elapsed();
        }
        assert!(
            started.elapsed() < WAIT_TIMEOUT,
            "the last call to entry {entry}: {outcome:?}"
        );
        tokio::time::sleep(POLL).await;
    }
}

/// Waits until an entry node refuses new requests; returns the time since `since`.
pub async fn wait_refused(stack: &TestStack, entry: usize, since: Instant) -> Duration {
    wait_for_outcome(stack, entry, CallOutcome::Refused, since).await
}

/// Waits until an entry node serves requests; returns the time since `since`.
pub async fn wait_served(stack: &TestStack, entry: usize, since: Instant) -> Duration {
    wait_for_outcome(stack, entry, CallOutcome::Served, since).await
}

/// Polls until a condition holds; panics with its `description` if it does not in time.
pub async fn wait_until<F, Fut>(description: &str, condition: F)
where
    F: Fn() -> Fut,
    Fut: Future<Output = bool>,
{
    let started = Instant::now();
    while !condition().await {
        assert!(
            started.elapsed() < WAIT_TIMEOUT,
            "timed out waiting: {description}"
        );
        tokio::time::sleep(POLL).await;
    }
}

/// Prints a measured time; `cargo test -- --nocapture` shows it.
pub fn print_time(label: &str, time: Duration) {
    println!("measured: {label}: {} ms", time.as_millis());
}
