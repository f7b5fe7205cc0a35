//! Selection of the target for a request, under bursts, skewed load and failing targets.

use std::time::Duration;

use serving::choose::{ConnectionShare, NoTarget, TargetCandidate, TargetConnections};
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

fn candidate(load: TargetLoad) -> TargetCandidate {
    TargetCandidate {
        load,
        slots: 26,
        prefill_wait: None,
        in_flight_limit: 60,
    }
}

/// In a burst, all slots are in use and as many requests wait as can begin in time. One more would
/// be late and delay the others, so it is refused and its client can retry.
#[test]
fn full_targets_refuse() {
    let candidates = [candidate(reported(32)), candidate(reported(40))];
    assert_eq!(
        choose_target(&candidates, limits(6.0), NOW),
        Err(NoTarget::Full)
    );
    assert_eq!(choose_target(&[], limits(6.0), NOW), Err(NoTarget::Absent));
}

/// Requests sent since the last report count. A node that relied on reports alone would send a
/// whole burst to targets that looked idle, far beyond their capacity.
#[test]
fn burst_spreads() {
    let mut loads = [reported(3), reported(4), reported(5)];
    for number in 0..81 {
        let candidates: Vec<TargetCandidate> = loads.iter().map(|load| candidate(*load)).collect();
        let start = number % 3;
        let indexes = [start, (start + 1) % 3, (start + 2) % 3];
        let order = indexes.map(|index| candidates[index]);
        let index = choose_target(&order, limits(6.0), NOW).expect("a target has capacity");
        loads[indexes[index]].record_sent();
    }
    for load in loads {
        let total = load.reported + load.sent_since_report.unsigned_abs();
        assert!((29..=32).contains(&total), "{load:?}");
    }
    let candidates = loads.map(candidate);
    let next = choose_target(&candidates[..], limits(2.0), NOW);
    assert_eq!(next, Err(NoTarget::Full));
}

/// A replica has just begun to serve next to three that are half full, and six nodes see it as idle
/// until its first report. If the least loaded one were chosen, all nodes would send it their next
/// requests, and the prompts in its queue would make each first token late. Between two reports no
/// target may get more requests than a random choice explains.
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
            let candidates: Vec<TargetCandidate> =
                order.iter().map(|at| candidate(loads[*at])).collect();
            let index =
                choose_target(&candidates, limits(6.0), NOW).expect("a target has capacity");
            loads[order[index]].record_sent();
            got[order[index]] += 1;
        }
    }
    let most = got.into_iter().max().expect("four targets");
    assert!(most < REQUESTS / 2, "{got:?}");
}

/// A target that fails fast looks idle, so its load alone would attract all requests. It is still
/// used if no other has capacity, since a failed attempt costs less than a refusal.
#[test]
fn failing_target_avoided() {
    let mut failing = reported(0);
    for _ in 0..3 {
        failing.record_failure(NOW);
    }
    let candidates = [candidate(failing), candidate(reported(15))];
    assert_eq!(choose_target(&candidates, limits(6.0), NOW), Ok(1));
    let candidates = [candidate(failing), candidate(reported(32))];
    assert_eq!(choose_target(&candidates, limits(6.0), NOW), Ok(0));
}

/// A replica failed when it lost a member, and has recovered. If it were avoided for as long as
/// others have capacity, it would stay idle while their queues grow.
#[test]
fn recovered_target_used() {
    let mut recovered = reported(0);
    recovered.record_failure(NOW);
    recovered.record_failure(NOW);
    let candidates = [candidate(recovered), candidate(reported(15))];
    let later = NOW + Duration::from_millis(1100);
    assert_eq!(choose_target(&candidates, limits(6.0), NOW), Ok(1));
    assert_eq!(choose_target(&candidates, limits(6.0), later), Ok(0));
}

/// Without a recent report, a node assumes that all nodes have as many requests there as itself.
#[test]
fn old_report_ignored() {
    let mut load = TargetLoad::default();
    load.record_report(30, Duration::ZERO);
    load.in_flight = 2;
    assert!((load.estimate(NOW, 6) - 12.0).abs() < 1e-9);
}

/// A target accepts a limited number of connections from all nodes together. Beyond it the target
/// resets connections, and clients lose their responses.
#[test]
fn connection_limit_kept() {
    let narrow = TargetCandidate {
        in_flight_limit: 3,
        load: TargetLoad {
            in_flight: 3,
            ..reported(3)
        },
        ..candidate(reported(3))
    };
    let candidates = [narrow, candidate(reported(20))];
    assert_eq!(choose_target(&candidates, limits(6.0), NOW), Ok(1));
    let alone = choose_target(&[narrow], limits(6.0), NOW);
    assert_eq!(alone, Err(NoTarget::Full));
}

/// For a while most clients are connected to one node. If its part of a target's connections stayed an equal
/// one, it would refuse requests that the target could run; while the others use theirs, it must not take
/// them.
#[test]
fn free_connections_lent() {
    let now = Duration::from_secs(5);
    let connections = |share| TargetConnections {
        max: 24,
        nodes: 6,
        share,
    };
    let limits = |load: &TargetLoad, now| {
        let limit = |share| load.in_flight_limit(connections(share), now);
        (limit(ConnectionShare::Equal), limit(ConnectionShare::Free))
    };
    let mut load = TargetLoad::default();
    assert_eq!(limits(&load, now), (3, 3));
    load.in_flight = 10;
    load.record_report(10, now);
    assert_eq!(limits(&load, now), (3, 18));
    load.record_report(22, now);
    assert_eq!(limits(&load, now), (3, 6));
    load.record_report(60, now);
    assert_eq!(limits(&load, now), (3, 3));
    assert_eq!(limits(&load, now + Duration::from_secs(9)), (3, 3));
}
