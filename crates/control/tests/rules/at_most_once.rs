//! Claims whose answers are lost, repeated and late: a call runs at most once.

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
const CALLERS: usize = 24;

fn key(number: usize) -> ClaimKey {
    ClaimKey {
        service: "licences".parse().expect("an id"),
        customer: "sandaga-traders".parse().expect("an id"),
        key_hash: format!("{number:064}"),
    }
}

fn node(name: &str) -> NodeId {
    name.parse().expect("an id")
}

fn attempt(number: usize) -> AttemptId {
    format!("a.{number}").parse().expect("an id")
}

/// Runs of each call at the service.
type RunCounts = Arc<Mutex<BTreeMap<usize, u32>>>;

/// One caller: claims, and with a ticket sends, is refused, loses the answer or dies.
async fn call_once(
    ledger: CallLedger<FakeTable>,
    number: usize,
    name: usize,
    mut rng: SeededRng,
    runs: RunCounts,
) {
    tokio::time::sleep(Duration::from_millis(rng.below(400))).await;
    let claim = ledger.claim(key(name), attempt(number), "body".to_owned());
    // Some callers hang up before the claim is answered.
    let patience = Duration::from_millis(if rng.chance(20) { 2 } else { 60_000 });
    let Ok(outcome) = tokio::time::timeout(patience, claim).await else {
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
        .expect("no panic inside")
        .entry(name)
        .or_default() += 1;
    if rng.chance(20) {
        // The answer is lost or the entry dies after it sent.
        return;
    }
    let answered = ClaimState::Answered {
        status: 200,
        content_type: "application/json".to_owned(),
        body: format!("receipt {name}"),
    };
    let _ = ledger.settle(ticket, answered).await;
}

fn at_most_once_under_faults(seed: u64) -> bool {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .expect("a runtime");
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
        // Both entries have the same name, as after a restart.
        let ledgers = [
            CallLedger::new(table.clone(), node("e0")),
            CallLedger::new(table.clone(), node("e0")),
        ];
        let mut callers = Vec::new();
        for number in 0..CALLERS {
            let ledger = ledgers[rng.index(2)].clone();
            let name = rng.index(KEYS);
            let own = SeededRng::new(rng.below(u64::MAX));
            // Attempt numbers come back too.
            let caller = call_once(ledger, number % 5, name, own, Arc::clone(&runs));
            callers.push(tokio::spawn(caller));
        }
        for caller in callers {
            caller.await.expect("no caller panics");
        }
        table.set_rates(FaultRates::default());
        // Background writes go on until the table takes them.
        tokio::time::sleep(Duration::from_mins(2)).await;
        table.apply_all_late();
        tokio::time::sleep(Duration::from_mins(2)).await;
        let counts = runs.lock().expect("no panic inside").clone();
        for name in 0..KEYS {
            let run = counts.get(&name).copied().unwrap_or(0);
            if run > 1 {
                return false;
            }
            // A key whose call never ran must not be stuck as unknown.
            let again = ledgers[0]
                .claim(key(name), attempt(99), "body".to_owned())
                .await
                .expect("the table is well");
            let free = matches!(again, ClaimOutcome::Granted(_));
            if free != (run == 0) {
                return false;
            }
        }
        true
    })
}

/// A trader's phone repeats a payment through two entries while the table loses answers, and the
/// entries lose callers and die. The trader must never pay twice, and a payment that never went
/// out must not stay unknown.
#[test]
fn at_most_once() {
    QuickCheck::new()
        .tests(400)
        .rng(Gen::from_size_and_seed(100, 5))
        .quickcheck(at_most_once_under_faults as fn(u64) -> bool);
}

/// The market's rush brings many payments in the same moment, one of them with a key that was used
/// before. Only that one is refused; nobody else notices.
#[tokio::test(start_paused = true)]
async fn conflict_fails_only_its_row() {
    let table = FakeTable::new(1, FaultRates::default());
    let ledger = CallLedger::new(table.clone(), node("e0"));
    let first = ledger.claim(key(7), attempt(0), "one".to_owned()).await;
    assert!(matches!(first, Ok(ClaimOutcome::Granted(_))));
    let before = table.commits();
    let claims = (0..16).map(|name| ledger.claim(key(name), attempt(name), "two".to_owned()));
    let outcomes = futures::future::join_all(claims).await;
    for (name, outcome) in outcomes.iter().enumerate() {
        if name == 7 {
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

/// A phone sends a payment twice in the same millisecond, so both claims meet in one transaction.
/// One of them may send; the other is told that the call is under way.
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

/// The store is down. A trader is told at once that the payment was not run, and does not wait
/// with a queue behind them.
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

/// An entry is frozen between its claim and its send, longer than a caller waits. It must not send
/// the payment when it wakes up.
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
        .expect("the table is well");
    assert!(table.scan("claim/").await.expect("rows").len() == 1);
}
