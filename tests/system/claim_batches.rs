//! The ledger under a rush of payments, against a table with its limits.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use control::ledger::LedgerSettings;
use control::{CallLedger, ClaimKey, ClaimOutcome};
use platform::http::{HttpTable, ServiceEndpoint};
use standin::faults::FaultPlan;
use standin::stack::{StackPlan, TestStack};

use crate::PRODUCT;

/// Payments that wait for their claim at any time.
const CALLERS: u64 = 128;

/// Transactions a second that the table takes: several hundred.
const TABLE_WRITES: u32 = 400;

const RUSH: Duration = Duration::from_secs(4);

async fn claims_a_second(stack: &TestStack, run: &str, settings: LedgerSettings) -> f64 {
    let endpoint = ServiceEndpoint::new(
        stack.client.clone(),
        stack.table.address,
        Duration::from_secs(2),
    );
    let table = HttpTable::new(endpoint);
    let node = run.parse().expect("an id");
    let ledger = CallLedger::with_settings(table, node, settings);
    let granted = Arc::new(AtomicU64::new(0));
    let started = Instant::now();
    let mut callers = Vec::new();
    for caller in 0..CALLERS {
        let ledger = ledger.clone();
        let granted = Arc::clone(&granted);
        let run = run.to_owned();
        callers.push(tokio::spawn(async move {
            let mut number = 0;
            while started.elapsed() < RUSH {
                number += 1;
                let key = ClaimKey {
                    service: "licences".parse().expect("an id"),
                    customer: "sandaga-traders".parse().expect("an id"),
                    key_hash: format!("{run}-{caller}-{number}"),
                };
                let attempt = format!("a.{caller}.{number}").parse().expect("an id");
                match ledger.claim(key, attempt, "body".to_owned()).await {
                    Ok(ClaimOutcome::Granted(_)) => {
                        granted.fetch_add(1, Ordering::Relaxed);
                    }
                    Ok(other) => panic!("a new key: {other:?}"),
                    // Over the table's limit: the trader is told to come back.
                    Err(_) => tokio::time::sleep(Duration::from_millis(50)).await,
                }
            }
        }));
    }
    for caller in callers {
        caller.await.expect("no caller panics");
    }
    let claims = u32::try_from(granted.load(Ordering::Relaxed)).expect("few enough");
    f64::from(claims) / started.elapsed().as_secs_f64()
}

// The municipal deadline brings every trader to the payment page in the same minute. With one
// transaction a payment the table refuses most of them; with many in one it takes them all.
#[tokio::test(flavor = "multi_thread")]
async fn rush_of_payments() {
    let stack = StackPlan::new("claim-batches", PRODUCT)
        .engines(1)
        .entries(0)
        .start_bare()
        .await;
    let limited = FaultPlan::builder()
        .max_writes(TABLE_WRITES)
        .latency_ms(2)
        .build();
    stack.table_faults(&limited).await;
    let single = LedgerSettings::builder().batch_rows(1).flights(128).build();
    let alone = claims_a_second(&stack, "single", single).await;
    let together = claims_a_second(&stack, "batched", LedgerSettings::default()).await;
    println!("measured: claims a second: {alone:.0} alone, {together:.0} together");
    assert!(together > alone * 3.0, "{together:.0} against {alone:.0}");
}
