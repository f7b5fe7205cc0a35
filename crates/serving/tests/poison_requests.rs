//! Which request is to blame when targets end under it.

use std::time::Duration;

use cases::seeded;
use domain::{BootNumber, HostId};
use serving::poison::{CRASH_RETENTION, MIN_CRASHES_TO_BAR};
use serving::{CrashedRequest, PoisonDetector, PoisonVerdict, RequestFingerprint, TargetCrash};

const CULPRIT: RequestFingerprint = RequestFingerprint(1);

fn end(index: usize) -> TargetCrash {
    let host: HostId = format!("h{index}").parse().expect("a host");
    TargetCrash {
        host,
        boot: BootNumber(1),
    }
}

fn run(mark: u128, millis: u64) -> CrashedRequest {
    CrashedRequest {
        fingerprint: RequestFingerprint(mark),
        answer_age: Some(Duration::from_millis(millis)),
    }
}

fn seconds(index: usize) -> Duration {
    Duration::from_secs(u64::try_from(index).expect("few ends"))
}

/// Requests that move together from one target that ends to the next see the same ends. One of them
/// is barred, the one that had just begun each time; its neighbours' callers are served.
#[test]
fn neighbours_kept() {
    let mut ledger = PoisonDetector::default();
    for index in 0..MIN_CRASHES_TO_BAR {
        let runs = [run(1, 50), run(2, 700), run(3, 300)];
        ledger.record(end(index), seconds(index), &runs);
        ledger.evaluate(seconds(index));
        let due = index + 1 == MIN_CRASHES_TO_BAR;
        assert_eq!(ledger.verdict(CULPRIT) == PoisonVerdict::Barred, due);
    }
    assert_eq!(ledger.barred(), [CULPRIT]);
    assert_eq!(ledger.verdict(RequestFingerprint(2)), PoisonVerdict::Clear);
    assert_eq!(ledger.verdict(RequestFingerprint(3)), PoisonVerdict::Clear);
}

/// A request that waited in the queue of each target that ended is not taken for what ran there.
#[test]
fn waiting_not_blamed() {
    let mut ledger = PoisonDetector::default();
    for index in 0..MIN_CRASHES_TO_BAR {
        let waiting = CrashedRequest {
            fingerprint: RequestFingerprint(2),
            answer_age: None,
        };
        ledger.record(end(index), seconds(index), &[waiting, run(1, 400)]);
    }
    ledger.evaluate(seconds(MIN_CRASHES_TO_BAR));
    assert_eq!(ledger.barred(), [CULPRIT]);
}

/// One taken for the culprit by chance is cleared as soon as a further end shows who it is.
#[test]
fn wrong_blame_ends() {
    let mut ledger = PoisonDetector::default();
    for index in 0..MIN_CRASHES_TO_BAR {
        ledger.record(end(index), seconds(index), &[run(1, 90), run(2, 20)]);
    }
    ledger.evaluate(seconds(3));
    assert_eq!(ledger.barred(), [RequestFingerprint(2)]);
    ledger.record(end(9), seconds(4), &[run(1, 90)]);
    ledger.evaluate(seconds(4));
    assert_eq!(ledger.barred(), [CULPRIT]);
}

/// Several nodes see parts of the same end, and one process that comes back and ends again is another
/// end.
#[test]
fn parts_are_one_end() {
    let mut ledger = PoisonDetector::default();
    for _ in 0..4 {
        ledger.record(end(0), seconds(0), &[run(1, 50)]);
    }
    ledger.evaluate(seconds(1));
    assert_eq!(ledger.verdict(CULPRIT), PoisonVerdict::Clear);
    let again = TargetCrash {
        boot: BootNumber(2),
        ..end(0)
    };
    ledger.record(again, seconds(2), &[run(1, 50)]);
    ledger.evaluate(seconds(2));
    assert_eq!(ledger.verdict(CULPRIT), PoisonVerdict::Suspect);
}

/// What ended long ago speaks against nobody.
#[test]
fn old_ends_forgotten() {
    let mut ledger = PoisonDetector::default();
    for index in 0..MIN_CRASHES_TO_BAR {
        ledger.record(end(index), seconds(index), &[run(1, 50)]);
    }
    ledger.evaluate(seconds(MIN_CRASHES_TO_BAR));
    assert_eq!(ledger.barred(), [CULPRIT]);
    ledger.evaluate(seconds(MIN_CRASHES_TO_BAR) + CRASH_RETENTION);
    assert!(ledger.is_clear());
}

/// Whatever ran beside it, a request under which all targets ended is barred, in whichever order
/// nodes hear of the ends, and no more are barred than a third of the ends could blame.
#[test]
fn culprit_found() {
    fn holds(beside: Vec<Vec<(u8, u16)>>) -> bool {
        let ends = beside.len();
        let mut forward = PoisonDetector::default();
        let mut backward = PoisonDetector::default();
        let records: Vec<Vec<CrashedRequest>> = beside
            .into_iter()
            .map(|runs| {
                let others = runs.into_iter();
                let others =
                    others.map(|(mark, ran)| run(u128::from(mark) + 2, u64::from(ran) + 200));
                others.chain([run(1, 100)]).collect()
            })
            .collect();
        for (index, runs) in records.iter().enumerate() {
            forward.record(end(index), seconds(index), runs);
        }
        for (index, runs) in records.iter().enumerate().rev() {
            backward.record(end(index), seconds(index), runs);
        }
        forward.evaluate(seconds(ends));
        backward.evaluate(seconds(ends));
        let barred = forward.verdict(CULPRIT) == PoisonVerdict::Barred;
        forward.barred() == backward.barred()
            && barred == (ends >= MIN_CRASHES_TO_BAR)
            && forward.barred().len() <= ends / MIN_CRASHES_TO_BAR
    }
    seeded().quickcheck(holds as fn(Vec<Vec<(u8, u16)>>) -> bool);
}
