//! Thousands of payments while entry nodes are killed and suspended and responses are lost.

use std::time::Duration;

use futures::future::{join, join_all};
use http::StatusCode;
use serde_json::json;
use standin::faults::FaultPlan;
use standin::stack::{StackPlan, TestStack};

use crate::BINARY;

const PAY_PATH: &str = "/v1/services/licences/fees/pay";
/// Clients that make payments concurrently.
const CLIENTS: usize = 24;
/// Payments of each client.
const PAYMENTS: usize = 90;
const ENTRIES: usize = 4;
/// Attempts of a client at one payment.
const MAX_ATTEMPTS: usize = 6;

/// Time after which a client gives up on a response and tries another entry node.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause of a client between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Sends one payment until it succeeds; false when its outcome is still unknown after all attempts.
async fn pay(stack: &TestStack, key: &str, first_entry: usize) -> bool {
    let headers = [("idempotency-key", key)];
    let body = json!({ "stall": key, "fee_xof": 15_000 });
    for attempt in 0..MAX_ATTEMPTS {
        let entry = (first_entry + attempt) % ENTRIES;
        let call = stack.try_call(entry, PAY_PATH, &headers, &body);
        let response = tokio::time::timeout(CLIENT_TIMEOUT, call).await;
        if let Ok(Ok(response)) = response {
            if response.status == StatusCode::OK {
                return true;
            }
            let execution = response.json()["error"]["execution"].clone();
            let is_retryable = execution == "not_run" || execution == "unknown";
            assert!(is_retryable, "{}", response.text());
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    false
}

/// Suspends one entry node repeatedly, once for longer than a claim may be used, and kills two.
async fn disrupt_entries(stack: &TestStack) {
    for (number, suspended_ms) in [800, 6_500, 900, 700].into_iter().enumerate() {
        tokio::time::sleep(Duration::from_millis(600)).await;
        stack.entries[1].signal("STOP");
        tokio::time::sleep(Duration::from_millis(suspended_ms)).await;
        stack.entries[1].signal("CONT");
        match number {
            0 => stack.entries[2].signal("KILL"),
            2 => stack.entries[3].signal("KILL"),
            _ => {}
        }
    }
}

/// Two entry nodes are killed, one is suspended for up to several seconds, and one in twenty
/// responses of the service and of the store is lost, all at once. Every payment reported as made
/// must have been made, none may be made twice, and few may remain unknown.
#[tokio::test(flavor = "multi_thread")]
async fn no_payment_runs_twice() {
    let plan = StackPlan::new("payment-stress", BINARY)
        .entries(ENTRIES)
        .services(3);
    let stack = plan.start().await;
    let lossy = FaultPlan::builder().lose_share(0.05).seed(11).build();
    stack.set_service_faults(&lossy).await;
    stack.set_table_faults(&lossy).await;
    let shared = &stack;
    let clients = (0..CLIENTS).map(|client| async move {
        let mut outcomes = Vec::new();
        for number in 0..PAYMENTS {
            let key = format!("stress-{client}-{number}");
            let succeeded = pay(shared, &key, client + number).await;
            outcomes.push((key, succeeded));
        }
        outcomes
    });
    let (outcomes, ()) = join(join_all(clients), disrupt_entries(shared)).await;
    stack.set_service_faults(&FaultPlan::default()).await;
    stack.set_table_faults(&FaultPlan::default()).await;
    let mut unknown = Vec::new();
    let mut made = Vec::new();
    for (key, succeeded) in outcomes.into_iter().flatten() {
        if succeeded || pay(&stack, &key, 0).await {
            made.push(key);
        } else {
            unknown.push(key);
        }
    }
    let executions = stack.executions().await;
    let doubled = executions.values().filter(|count| **count > 1).count();
    let lost = made.iter().filter(|key| !executions.contains_key(*key));
    let lost = lost.count();
    println!(
        "{} payments: {doubled} run twice, {lost} lost, {} unknown",
        made.len() + unknown.len(),
        unknown.len()
    );
    assert_eq!((doubled, lost), (0, 0));
    for key in &unknown {
        assert!(
            !executions.contains_key(key),
            "{key} ran but is reported as unknown"
        );
    }
    assert!(unknown.len() <= CLIENTS, "{} unknown", unknown.len());
}
