//! Which target takes a request, under bursts, skew and slow targets.

use std::time::Duration;

use serving::choose::{NoTarget, TargetCandidate};
use serving::hashing::stable_hash;
use serving::{ChoiceLimits, TargetLoad, choose_target};

const NOW: Duration = Duration::from_secs(10);

fn limits(queue: f64) -> ChoiceLimits {
    ChoiceLimits {
        queue_limit: queue,
        nodes: 6,
    }
}

fn reported(total: u32) -> TargetLoad {
    let mut load = TargetLoad::default();
    load.record_report(total, NOW);
    load
}

fn choice(load: TargetLoad) -> TargetCandidate {
    TargetCandidate {
        load,
        slots: 26,
        prefill_wait: None,
        in_flight_limit: 60,
    }
}

/// A burst: each replica runs all it can and as many wait as can begin in time. One more would be
/// late and delay the others, so its caller is told to come back.
#[test]
fn full_targets_refuse() {
    let choices = [choice(reported(32)), choice(reported(40))];
    assert_eq!(
        choose_target(&choices, limits(6.0), NOW),
        Err(NoTarget::Full)
    );
    assert_eq!(choose_target(&[], limits(6.0), NOW), Err(NoTarget::Absent));
}

/// Requests sent since the last report count: a node that went by reports alone would send a whole
/// burst to targets that it believes to be idle, far beyond what they run.
#[test]
fn burst_spreads() {
    let mut loads = [reported(3), reported(4), reported(5)];
    for number in 0..81 {
        let choices: Vec<TargetCandidate> = loads.iter().map(|load| choice(*load)).collect();
        let start = number % 3;
        let drawn = [start, (start + 1) % 3, (start + 2) % 3];
        let order = drawn.map(|index| choices[index]);
        let index = choose_target(&order, limits(6.0), NOW).expect("room for all");
        loads[drawn[index]].record_sent();
    }
    for load in loads {
        let there = load.reported + load.sent_since_report.unsigned_abs();
        assert!((29..=32).contains(&there), "{load:?}");
    }
    let choices = loads.map(choice);
    let next = choose_target(&choices[..], limits(2.0), NOW);
    assert_eq!(next, Err(NoTarget::Full));
}

/// A replica has just begun to serve beside three that are half full, and six nodes see it idle
/// until its first report. Were the emptiest one taken, all would send it their next requests, and
/// the prompts in its queue would make each first token late. No target gets more of the requests
/// between two reports than chance explains.
#[test]
fn new_target_not_flooded() {
    const REQUESTS: usize = 24;
    let targets = [reported(0), reported(13), reported(12), reported(14)];
    let mut got = [0_usize; 4];
    for node in 0..6 {
        let mut loads = targets;
        for request in 0..REQUESTS / 6 {
            let mut order: Vec<usize> = (0..4).collect();
            order.sort_by_key(|index| stable_hash(&(node, request, *index)));
            let choices: Vec<TargetCandidate> = order.iter().map(|at| choice(loads[*at])).collect();
            let index = choose_target(&choices, limits(6.0), NOW).expect("all have room");
            loads[order[index]].record_sent();
            got[order[index]] += 1;
        }
    }
    let most = got.into_iter().max().expect("four targets");
    assert!(most < REQUESTS / 2, "{got:?}");
}

/// A target that fails fast looks idle. By its load alone it would draw all requests. Where no
/// other has room it is tried all the same: to try one costs less than to refuse.
#[test]
fn failing_target_avoided() {
    let mut failing = reported(0);
    for _ in 0..3 {
        failing.record_failure(NOW);
    }
    let choices = [choice(failing), choice(reported(15))];
    assert_eq!(choose_target(&choices, limits(6.0), NOW), Ok(1));
    let choices = [choice(failing), choice(reported(32))];
    assert_eq!(choose_target(&choices, limits(6.0), NOW), Ok(0));
}

/// A replica failed while a member was lost, and works again. Avoided for as long as others have
/// room, it would idle beside them, and their queues would grow for nothing.
#[test]
fn recovered_target_taken() {
    let mut recovered = reported(0);
    recovered.record_failure(NOW);
    recovered.record_failure(NOW);
    let choices = [choice(recovered), choice(reported(15))];
    let later = NOW + Duration::from_millis(1100);
    assert_eq!(choose_target(&choices, limits(6.0), NOW), Ok(1));
    assert_eq!(choose_target(&choices, limits(6.0), later), Ok(0));
}

/// No report for a while: a node takes its own requests as its part of all that run there.
#[test]
fn old_report_ignored() {
    let mut load = TargetLoad::default();
    load.record_report(30, Duration::ZERO);
    load.in_flight = 2;
    assert!((load.estimate(NOW, 6) - 12.0).abs() < 1e-9);
}

/// A target takes few connections from all nodes together. Sent more, it would reset some of
/// them, and their callers would lose answers.
#[test]
fn connection_part_kept() {
    let narrow = TargetCandidate {
        in_flight_limit: 3,
        load: TargetLoad {
            in_flight: 3,
            ..reported(3)
        },
        ..choice(reported(3))
    };
    let choices = [narrow, choice(reported(20))];
    assert_eq!(choose_target(&choices, limits(6.0), NOW), Ok(1));
    let alone = choose_target(&[narrow], limits(6.0), NOW);
    assert_eq!(alone, Err(NoTarget::Full));
}
