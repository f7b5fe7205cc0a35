//! Thousands of payments while entries die and freeze and answers are lost.

use std::time::Duration;

use futures::future::{join, join_all};
use http::StatusCode;
use serde_json::json;
use standin::faults::FaultPlan;
use standin::stack::{StackPlan, TestStack};

use crate::PRODUCT;

const PAY: &str = "/v1/services/licences/fees/pay";
const TRADERS: usize = 24;
const PAYMENTS: usize = 90;
const ENTRIES: usize = 4;
const TRIES: usize = 6;

/// Traders wait so long for an answer, then ask another entry, as their phones do.
const TRADER_PATIENCE: Duration = Duration::from_secs(3);
const TRADER_PAUSE: Duration = Duration::from_millis(150);

/// Asks for one payment until it is answered; false when its outcome stays open.
async fn pay(stack: &TestStack, key: &str, first: usize) -> bool {
    let headers = [("idempotency-key", key)];
    let body = json!({ "stall": key, "fee_xof": 15_000 });
    for attempt in 0..TRIES {
        let entry = (first + attempt) % ENTRIES;
        let call = stack.try_call(entry, PAY, &headers, &body);
        let answer = tokio::time::timeout(TRADER_PATIENCE, call).await;
        if let Ok(Ok(answer)) = answer {
            if answer.status == StatusCode::OK {
                return true;
            }
            let execution = answer.json()["error"]["execution"].clone();
            let told = execution == "not_run" || execution == "unknown";
            assert!(told, "{}", answer.text());
        }
        tokio::time::sleep(TRADER_PAUSE).await;
    }
    false
}

/// Freezes one entry again and again, once for longer than a claim may be sent, and kills two.
async fn break_entries(stack: &TestStack) {
    for (number, freeze_ms) in [800, 6_500, 900, 700].into_iter().enumerate() {
        tokio::time::sleep(Duration::from_millis(600)).await;
        stack.entries[1].signal("STOP");
        tokio::time::sleep(Duration::from_millis(freeze_ms)).await;
        stack.entries[1].signal("CONT");
        match number {
            0 => stack.entries[2].signal("KILL"),
            2 => stack.entries[3].signal("KILL"),
            _ => {}
        }
    }
}

/// Two entries die, one freezes for up to seconds, and one answer in twenty of the service and of
/// the store is lost, all at once. A trader who is told that a payment is made must find it made;
/// no payment may be made twice; and hardly any may stay open.
#[tokio::test(flavor = "multi_thread")]
async fn none_doubled() {
    let plan = StackPlan::new("payment-storm", PRODUCT)
        .entries(ENTRIES)
        .services(3);
    let stack = plan.start().await;
    let lossy = FaultPlan::builder().lose_share(0.05).seed(11).build();
    stack.service_faults(&lossy).await;
    stack.table_faults(&lossy).await;
    let shared = &stack;
    let traders = (0..TRADERS).map(|trader| async move {
        let mut outcomes = Vec::new();
        for number in 0..PAYMENTS {
            let key = format!("storm-{trader}-{number}");
            let answered = pay(shared, &key, trader + number).await;
            outcomes.push((key, answered));
        }
        outcomes
    });
    let (outcomes, ()) = join(join_all(traders), break_entries(shared)).await;
    stack.service_faults(&FaultPlan::default()).await;
    stack.table_faults(&FaultPlan::default()).await;
    let mut open = Vec::new();
    let mut made = Vec::new();
    for (key, answered) in outcomes.into_iter().flatten() {
        if answered || pay(&stack, &key, 0).await {
            made.push(key);
        } else {
            open.push(key);
        }
    }
    let executions = stack.executions().await;
    let doubled = executions.values().filter(|count| **count > 1).count();
    let lost = made.iter().filter(|key| !executions.contains_key(*key));
    let lost = lost.count();
    println!(
        "{} payments: {doubled} doubled, {lost} lost, {} stay open",
        made.len() + open.len(),
        open.len()
    );
    assert_eq!((doubled, lost), (0, 0));
    for key in &open {
        assert!(!executions.contains_key(key), "{key} ran and was not found");
    }
    assert!(open.len() <= TRADERS, "{} stay open", open.len());
}
