//! Which request is to blame when targets end under it.

use std::time::Duration;

use cases::seeded;
use domain::{BootNumber, HostId};
use serving::blame::{BLAME_MEMORY, MOST_ENDS};
use serving::{BlameLedger, BlameStanding, EndedRun, RequestMark, TargetEnd};

const CULPRIT: RequestMark = RequestMark(1);

fn end(index: usize) -> TargetEnd {
    let host: HostId = format!("h{index}").parse().expect("a host");
    TargetEnd {
        host,
        boot: BootNumber(1),
    }
}

fn run(mark: u128, millis: u64) -> EndedRun {
    EndedRun {
        mark: RequestMark(mark),
        ran: Some(Duration::from_millis(millis)),
    }
}

fn seconds(index: usize) -> Duration {
    Duration::from_secs(u64::try_from(index).expect("few ends"))
}

/// Requests that move together from one target that ends to the next see the same ends. One of them
/// is barred, the one that had just begun each time; its neighbours' callers are served.
#[test]
fn neighbours_kept() {
    let mut ledger = BlameLedger::default();
    for index in 0..MOST_ENDS {
        let runs = [run(1, 50), run(2, 700), run(3, 300)];
        ledger.note(end(index), seconds(index), &runs);
        ledger.judge(seconds(index));
        let due = index + 1 == MOST_ENDS;
        assert_eq!(ledger.standing(CULPRIT) == BlameStanding::Barred, due);
    }
    assert_eq!(ledger.barred(), [CULPRIT]);
    assert_eq!(ledger.standing(RequestMark(2)), BlameStanding::Clear);
    assert_eq!(ledger.standing(RequestMark(3)), BlameStanding::Clear);
}

/// A request that waited in the queue of each target that ended is not taken for what ran there.
#[test]
fn waiting_not_blamed() {
    let mut ledger = BlameLedger::default();
    for index in 0..MOST_ENDS {
        let waiting = EndedRun {
            mark: RequestMark(2),
            ran: None,
        };
        ledger.note(end(index), seconds(index), &[waiting, run(1, 400)]);
    }
    ledger.judge(seconds(MOST_ENDS));
    assert_eq!(ledger.barred(), [CULPRIT]);
}

/// One taken for the culprit by chance is cleared as soon as a further end shows who it is.
#[test]
fn wrong_blame_ends() {
    let mut ledger = BlameLedger::default();
    for index in 0..MOST_ENDS {
        ledger.note(end(index), seconds(index), &[run(1, 90), run(2, 20)]);
    }
    ledger.judge(seconds(3));
    assert_eq!(ledger.barred(), [RequestMark(2)]);
    ledger.note(end(9), seconds(4), &[run(1, 90)]);
    ledger.judge(seconds(4));
    assert_eq!(ledger.barred(), [CULPRIT]);
}

/// Several nodes see parts of the same end, and one process that comes back and ends again is another
/// end.
#[test]
fn parts_are_one_end() {
    let mut ledger = BlameLedger::default();
    for _ in 0..4 {
        ledger.note(end(0), seconds(0), &[run(1, 50)]);
    }
    ledger.judge(seconds(1));
    assert_eq!(ledger.standing(CULPRIT), BlameStanding::Clear);
    let again = TargetEnd {
        boot: BootNumber(2),
        ..end(0)
    };
    ledger.note(again, seconds(2), &[run(1, 50)]);
    ledger.judge(seconds(2));
    assert_eq!(ledger.standing(CULPRIT), BlameStanding::Suspect);
}

/// What ended long ago speaks against nobody.
#[test]
fn old_ends_forgotten() {
    let mut ledger = BlameLedger::default();
    for index in 0..MOST_ENDS {
        ledger.note(end(index), seconds(index), &[run(1, 50)]);
    }
    ledger.judge(seconds(MOST_ENDS));
    assert_eq!(ledger.barred(), [CULPRIT]);
    ledger.judge(seconds(MOST_ENDS) + BLAME_MEMORY);
    assert!(ledger.is_clear());
}

/// Whatever ran beside it, a request under which all targets ended is barred, in whichever order
/// nodes hear of the ends, and no more are barred than a third of the ends could blame.
#[test]
fn culprit_found() {
    fn holds(beside: Vec<Vec<(u8, u16)>>) -> bool {
        let ends = beside.len();
        let mut forward = BlameLedger::default();
        let mut backward = BlameLedger::default();
        let records: Vec<Vec<EndedRun>> = beside
            .into_iter()
            .map(|runs| {
                let others = runs.into_iter();
                let others =
                    others.map(|(mark, ran)| run(u128::from(mark) + 2, u64::from(ran) + 200));
                others.chain([run(1, 100)]).collect()
            })
            .collect();
        for (index, runs) in records.iter().enumerate() {
            forward.note(end(index), seconds(index), runs);
        }
        for (index, runs) in records.iter().enumerate().rev() {
            backward.note(end(index), seconds(index), runs);
        }
        forward.judge(seconds(ends));
        backward.judge(seconds(ends));
        let barred = forward.standing(CULPRIT) == BlameStanding::Barred;
        forward.barred() == backward.barred()
            && barred == (ends >= MOST_ENDS)
            && forward.barred().len() <= ends / MOST_ENDS
    }
    seeded().quickcheck(holds as fn(Vec<Vec<(u8, u16)>>) -> bool);
}
