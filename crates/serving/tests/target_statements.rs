//! What targets state of themselves, and what may be sent to them.

use std::time::Duration;

use domain::BootNumber;
use quickcheck::quickcheck;
use serving::TargetProcess;
use serving::target_statements::{SendBarrier, SendGrant, StatementLedger};

const BACKOFF: Duration = Duration::from_secs(3);

/// Time from the end of a backoff after which a node sends as before.
const RETURN_TIME: Duration = Duration::from_millis(500);

fn process(boot: u64) -> TargetProcess {
    TargetProcess {
        host: "i-1".parse().expect("an id"),
        boot: BootNumber(boot),
    }
}

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Guards against a backoff that ends early because another response came in between, or a shorter one was
/// asked for later.
#[test]
fn latest_end_holds() {
    let mut ledger = StatementLedger::default();
    let target = process(1);
    let first = ledger.record_backoff(&target, BACKOFF, 0.0, millis(0));
    assert!(first.is_some_and(|news| news.is_new));
    let news = ledger
        .record_backoff(&target, millis(100), 0.0, millis(50))
        .expect("of the same process");
    assert!(!news.is_new);
    assert_eq!(news.until, BACKOFF);
    let until = BACKOFF;
    assert_eq!(
        ledger.check(&target, millis(2999)),
        Err(SendBarrier::Backoff { until })
    );
    assert_eq!(ledger.check(&target, BACKOFF), Ok(()));
}

/// Guards against a backoff, or a drain, that binds the next process of the host.
#[test]
fn next_process_is_free() {
    let mut ledger = StatementLedger::default();
    ledger.record_backoff(&process(1), BACKOFF, 0.0, millis(0));
    ledger.record_draining(&process(1), millis(0));
    assert!(ledger.check(&process(1), millis(1)).is_err());
    assert_eq!(ledger.check(&process(2), millis(1)), Ok(()));
}

/// Guards against a response of the previous process that arrives late, and makes the node forget what the
/// present one has stated.
#[test]
fn late_word_of_previous_process() {
    let mut ledger = StatementLedger::default();
    ledger.record_backoff(&process(2), BACKOFF, 0.0, millis(0));
    ledger.record_backoff(&process(1), BACKOFF, 0.0, millis(1));
    ledger.record_draining(&process(1), millis(1));
    assert!(matches!(
        ledger.check(&process(2), millis(2)),
        Err(SendBarrier::Backoff { .. })
    ));
}

/// Guards against a node that comes back with all it has when a backoff ends.
#[test]
fn return_in_steps() {
    let mut ledger = StatementLedger::default();
    let target = process(1);
    ledger.record_backoff(&target, BACKOFF, 0.0, millis(0));
    let mut sent_by = Vec::new();
    let mut sent = 0;
    for step in 0..4 {
        let now = BACKOFF + millis(100 * step);
        while ledger.take_send(&target, now).is_ok() {
            sent += 1;
        }
        sent_by.push(sent);
    }
    assert_eq!(sent_by, [1, 2, 4, 8]);
    let over = BACKOFF + RETURN_TIME;
    assert_eq!(ledger.take_send(&target, over), Ok(SendGrant::BackoffOver));
    assert_eq!(ledger.take_send(&target, over), Ok(SendGrant::Plain));
}

/// Guards against nodes that all come back in the same instant.
#[test]
fn nodes_return_apart() {
    let mut ledger = StatementLedger::default();
    let target = process(1);
    ledger.record_backoff(&target, BACKOFF, 1.0, millis(0));
    assert!(ledger.check(&target, BACKOFF + millis(700)).is_err());
    assert_eq!(ledger.check(&target, BACKOFF + millis(750)), Ok(()));
}

/// Guards against probes and orders without end in a backoff.
#[test]
fn few_calls() {
    let mut ledger = StatementLedger::default();
    let target = process(1);
    ledger.record_backoff(&target, BACKOFF, 0.0, millis(0));
    let taken = (0..9).filter(|_| ledger.take_call(&target, millis(10)).is_ok());
    assert_eq!(taken.count(), 2);
    assert_eq!(ledger.take_call(&target, BACKOFF), Ok(()));
}

/// Guards against statements of hosts that are long gone.
#[test]
fn old_statements_forgotten() {
    let mut ledger = StatementLedger::default();
    ledger.record_draining(&process(1), millis(0));
    ledger.prune(Duration::from_mins(9));
    assert!(ledger.is_draining(&process(1)));
    ledger.prune(Duration::from_mins(11));
    assert!(ledger.is_empty());
}

quickcheck! {
    /// Guards against a request in a backoff, whatever was asked for, sent and asked again before.
    fn nothing_in_backoff(steps: Vec<(u8, u8, u8)>) -> bool {
        let mut ledger = StatementLedger::default();
        let target = process(1);
        let mut now = Duration::ZERO;
        let mut until = Duration::ZERO;
        for (pause, asked, draw) in steps {
            now += millis(u64::from(pause) * 7);
            if asked % 4 == 0 {
                let delay = millis(u64::from(asked) * 20);
                ledger.record_backoff(&target, delay, f64::from(draw) / 255.0, now);
                until = until.max(now + delay);
            }
            if ledger.take_send(&target, now).is_ok() && now < until {
                return false;
            }
        }
        true
    }
}
