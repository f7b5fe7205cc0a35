//! Claims whose responses are lost, repeated or late: a call runs at most once.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::sim::SeededRng;
use crate::sim::table::{FakeTable, FaultRates};
use control::ledger::{CallLedger, ClaimKey, ClaimOutcome, LedgerSettings};
use domain::{AttemptId, ClaimState, NodeId};
use platform::{StoreError, TableStore};
use quickcheck::{Gen, QuickCheck};

const KEYS: usize = 4;
const CLIENTS: usize = 24;

fn key(number: usize) -> ClaimKey {
    ClaimKey {
        service: "licences".parse().expect("valid id"),
        customer: "sandaga-traders".parse().expect("valid id"),
        key_hash: format!("{number:064}"),
    }
}

fn node(name: &str) -> NodeId {
    name.parse().expect("valid id")
}

fn attempt(number: usize) -> AttemptId {
    format!("a.{number}").parse().expect("valid id")
}

/// Executions of each call at the service, by key.
type RunCounts = Arc<Mutex<BTreeMap<usize, u32>>>;

/// One client: claims the call and, with a ticket, sends it, is refused, loses the response or
/// dies.
async fn call_once(
    ledger: CallLedger<FakeTable>,
    number: usize,
    key_index: usize,
    mut rng: SeededRng,
    runs: RunCounts,
) {
    tokio::time::sleep(Duration::from_millis(rng.below(400))).await;
    let claim = ledger.claim(key(key_index), attempt(number), "body".to_owned());
    // Some clients disconnect before the response to the claim.
    let wait_limit = Duration::from_millis(if rng.chance(20) { 2 } else { 60_000 });
    let Ok(outcome) = tokio::time::timeout(wait_limit, claim).await else {
        return;
    };
    let Ok(ClaimOutcome::Granted(ticket)) = outcome else {
        return;
    };
    if rng.chance(25) {
        // The connection is refused: no byte was sent.
        let _ = ledger.settle(ticket, ClaimState::NotRun).await;
        return;
    }
    *runs
        .lock()
        .expect("lock is not poisoned")
        .entry(key_index)
        .or_default() += 1;
    if rng.chance(20) {
        // The response is lost or the node dies after it sent the call.
        return;
    }
    let answered = ClaimState::Answered {
        status: 200,
        content_type: "application/json".to_owned(),
        body: format!("receipt {key_index}"),
    };
    let _ = ledger.settle(ticket, answered).await;
}

fn at_most_once_under_faults(seed: u64) -> bool {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .expect("runtime starts");
    runtime.block_on(async {
        let rates = FaultRates {
            lost_before: 10,
            lost_after: 15,
            late: 10,
            down: 5,
        };
        let table = FakeTable::new(seed, rates);
        let mut rng = SeededRng::new(seed);
        let runs = RunCounts::default();
        // Both nodes have the same name, as after a restart.
        let ledgers = [
            CallLedger::new(table.clone(), node("e0")),
            CallLedger::new(table.clone(), node("e0")),
        ];
        let mut clients = Vec::new();
        for number in 0..CLIENTS {
            let ledger = ledgers[rng.index(2)].clone();
            let key_index = rng.index(KEYS);
            let own = SeededRng::new(rng.below(u64::MAX));
            // Attempt numbers repeat too.
            let client = call_once(ledger, number % 5, key_index, own, Arc::clone(&runs));
            clients.push(tokio::spawn(client));
        }
        for client in clients {
            client.await.expect("client did not panic");
        }
        table.set_rates(FaultRates::default());
        // Background writes continue until the table accepts them.
        tokio::time::sleep(Duration::from_mins(2)).await;
        table.apply_all_late();
        tokio::time::sleep(Duration::from_mins(2)).await;
        let counts = runs.lock().expect("lock is not poisoned").clone();
        for key_index in 0..KEYS {
            let run = counts.get(&key_index).copied().unwrap_or(0);
            if run > 1 {
                return false;
            }
            // A key whose call never ran must not stay unknown.
            let again = ledgers[0]
                .claim(key(key_index), attempt(99), "body".to_owned())
                .await
                .expect("table is available");
            let free = matches!(again, ClaimOutcome::Granted(_));
            if free != (run == 0) {
                return false;
            }
        }
        true
    })
}

/// Clients retry the same keys through two nodes while the table loses responses and clients
/// disconnect or die. Guards against a call that runs twice, and against one that never ran but
/// stays unknown.
#[test]
fn at_most_once() {
    QuickCheck::new()
        .tests(400)
        .rng(Gen::from_size_and_seed(100, 5))
        .quickcheck(at_most_once_under_faults as fn(u64) -> bool);
}

/// Many claims share a transaction, and one of them reuses a key with another body. Only that one
/// may be refused.
#[tokio::test(start_paused = true)]
async fn conflict_fails_only_its_row() {
    let table = FakeTable::new(1, FaultRates::default());
    let ledger = CallLedger::new(table.clone(), node("e0"));
    let first = ledger.claim(key(7), attempt(0), "one".to_owned()).await;
    assert!(matches!(first, Ok(ClaimOutcome::Granted(_))));
    let before = table.commits();
    let claims =
        (0..16).map(|key_index| ledger.claim(key(key_index), attempt(key_index), "two".to_owned()));
    let outcomes = futures::future::join_all(claims).await;
    for (key_index, outcome) in outcomes.iter().enumerate() {
        if key_index == 7 {
            assert!(matches!(outcome, Ok(ClaimOutcome::Reused)), "{outcome:?}");
            continue;
        }
        assert!(
            matches!(outcome, Ok(ClaimOutcome::Granted(_))),
            "{outcome:?}"
        );
    }
    assert_eq!(
        table.commits() - before,
        2,
        "one with the conflict, one without"
    );
}

/// Two claims with the same key arrive in the same batch. Guards against granting both: one gets a
/// ticket, the other learns that the call is in progress.
#[tokio::test(start_paused = true)]
async fn simultaneous_claims() {
    let table = FakeTable::new(1, FaultRates::default());
    let ledger = CallLedger::new(table, node("e0"));
    let claims = (0..2).map(|number| ledger.claim(key(0), attempt(number), "one".to_owned()));
    let outcomes = futures::future::join_all(claims).await;
    let granted = outcomes
        .iter()
        .filter(|outcome| matches!(outcome, Ok(ClaimOutcome::Granted(_))))
        .count();
    assert_eq!(granted, 1, "{outcomes:?}");
}

/// Guards against claims that wait for a timeout while the table is down: the client learns at once
/// that the call was not run.
#[tokio::test(start_paused = true)]
async fn table_down_fails_fast() {
    let rates = FaultRates {
        down: 100,
        ..FaultRates::default()
    };
    let ledger = CallLedger::new(FakeTable::new(1, rates), node("e0"));
    let started = tokio::time::Instant::now();
    let outcome = ledger.claim(key(0), attempt(0), "one".to_owned()).await;
    assert!(matches!(outcome, Err(StoreError::Unavailable(_))));
    assert!(started.elapsed() < Duration::from_millis(100));
}

/// A node is suspended between its claim and its send for longer than a client waits. Its ticket
/// must have expired when it resumes.
#[tokio::test]
async fn expired_ticket_not_sent() {
    let table = FakeTable::new(1, FaultRates::default());
    let settings = LedgerSettings::builder().send_limit_ms(20).build();
    let ledger = CallLedger::with_settings(table.clone(), node("e0"), settings);
    let outcome = ledger.claim(key(0), attempt(0), "one".to_owned()).await;
    let Ok(ClaimOutcome::Granted(ticket)) = outcome else {
        panic!("{outcome:?}");
    };
    assert!(ticket.is_fresh());
    std::thread::sleep(Duration::from_millis(40));
    assert!(!ticket.is_fresh());
    ledger
        .settle(ticket, ClaimState::NotRun)
        .await
        .expect("table is available");
    assert!(table.scan("claim/").await.expect("scan succeeds").len() == 1);
}
