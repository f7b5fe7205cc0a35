//! Throughput of the ledger with a rate-limited table.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use control::ledger::LedgerSettings;
use control::{CallLedger, ClaimKey, ClaimOutcome};
use platform::http::{HttpTable, ServiceEndpoint};
use standin::faults::FaultPlan;
use standin::stack::{StackPlan, TestStack};

use crate::BINARY;

/// Number of concurrent claims.
const CLAIMANTS: u64 = 128;

/// Transactions a second that the table accepts.
const MAX_TRANSACTIONS: u32 = 400;

/// Duration of one measurement.
const MEASURE_TIME: Duration = Duration::from_secs(4);

/// Measures granted claims a second.
async fn claim_rate(stack: &TestStack, run: &str, settings: LedgerSettings) -> f64 {
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
    let mut claimants = Vec::new();
    for claimant in 0..CLAIMANTS {
        let ledger = ledger.clone();
        let granted = Arc::clone(&granted);
        let run = run.to_owned();
        claimants.push(tokio::spawn(async move {
            let mut number = 0;
            while started.elapsed() < MEASURE_TIME {
                number += 1;
                let key = ClaimKey {
                    service: "licences".parse().expect("an id"),
                    customer: "sandaga-traders".parse().expect("an id"),
                    key_hash: format!("{run}-{claimant}-{number}"),
                };
                let attempt = format!("a.{claimant}.{number}").parse().expect("an id");
                match ledger.claim(key, attempt, "body".to_owned()).await {
                    Ok(ClaimOutcome::Granted(_)) => {
                        granted.fetch_add(1, Ordering::Relaxed);
                    }
                    Ok(other) => panic!("a new key is not granted: {other:?}"),
                    // The table is over its limit.
                    Err(_) => tokio::time::sleep(Duration::from_millis(50)).await,
                }
            }
        }));
    }
    for claimant in claimants {
        claimant.await.expect("no panic");
    }
    let claims = u32::try_from(granted.load(Ordering::Relaxed)).expect("fits u32");
    f64::from(claims) / started.elapsed().as_secs_f64()
}

/// Payments arrive faster than the table accepts transactions. With one claim per transaction, the
/// table refuses most of them. Batches of claims in one transaction must reach more than three
/// times that throughput.
#[tokio::test(flavor = "multi_thread")]
async fn batching_raises_throughput() {
    let stack = StackPlan::new("claim-batching", BINARY)
        .engines(1)
        .entries(0)
        .start_without_records()
        .await;
    let limited = FaultPlan::builder()
        .max_writes(MAX_TRANSACTIONS)
        .latency_ms(2)
        .build();
    stack.set_table_faults(&limited).await;
    let unbatched = LedgerSettings::builder().batch_rows(1).flights(128).build();
    let single = claim_rate(&stack, "single", unbatched).await;
    let batched = claim_rate(&stack, "batched", LedgerSettings::default()).await;
    println!("measured: claims a second: {single:.0} single, {batched:.0} batched");
    assert!(batched > single * 3.0, "{batched:.0} against {single:.0}");
}
