//! Which target takes a request, under bursts, skew and slow targets.

use std::time::Duration;

use serving::choose::{NoTarget, TargetChoice};
use serving::{ChoiceLimits, TargetLoad, choose_target};

const NOW: Duration = Duration::from_secs(10);

fn limits(queue: f64) -> ChoiceLimits {
    ChoiceLimits { queue, nodes: 6 }
}

fn reported(total: u32) -> TargetLoad {
    let mut load = TargetLoad::default();
    load.report(total, NOW);
    load
}

fn choice(load: TargetLoad) -> TargetChoice {
    TargetChoice {
        load,
        slots: 26,
        near: true,
        own_limit: 60,
    }
}

#[test]
fn least_loaded_wins() {
    let choices = [
        choice(reported(20)),
        choice(reported(5)),
        choice(reported(11)),
    ];
    assert_eq!(choose_target(&choices, limits(6.0), NOW), Ok(1));
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

/// Requests sent since the last report count: a node that went by reports alone would send a
/// whole burst to the target that was idle a moment ago.
#[test]
fn burst_spreads() {
    let mut loads = [reported(3), reported(4), reported(5)];
    for _ in 0..60 {
        let choices: Vec<TargetChoice> = loads.iter().map(|load| choice(*load)).collect();
        let index = choose_target(&choices, limits(6.0), NOW).expect("room for all");
        loads[index].start();
    }
    for load in loads {
        let there = load.reported + load.since.unsigned_abs();
        assert!((23..=25).contains(&there), "{load:?}");
    }
}

/// Between about equal targets the one in the same failure domain is taken; a clearly emptier one
/// elsewhere goes before it.
#[test]
fn near_wins_ties() {
    let far = |load| TargetChoice {
        near: false,
        ..choice(load)
    };
    let tie = [far(reported(5)), choice(reported(6))];
    assert_eq!(choose_target(&tie, limits(6.0), NOW), Ok(1));
    let skewed = [far(reported(5)), choice(reported(12))];
    assert_eq!(choose_target(&skewed, limits(6.0), NOW), Ok(0));
}

/// A target that fails fast looks idle. By its load alone it would draw all requests.
#[test]
fn failing_target_avoided() {
    let failing = TargetLoad {
        failures: 3,
        ..reported(0)
    };
    let choices = [choice(failing), choice(reported(15))];
    assert_eq!(choose_target(&choices, limits(6.0), NOW), Ok(1));
}

/// No report for a while: a node takes its own requests as its part of all that run there.
#[test]
fn old_report_ignored() {
    let mut load = TargetLoad::default();
    load.report(30, Duration::ZERO);
    load.own = 2;
    assert!((load.estimate(NOW, 6) - 12.0).abs() < 1e-9);
}

/// A target takes few connections from all nodes together. Sent more, it would reset some of
/// them, and their callers would lose answers.
#[test]
fn connection_part_kept() {
    let narrow = TargetChoice {
        own_limit: 3,
        load: TargetLoad {
            own: 3,
            ..reported(3)
        },
        ..choice(reported(3))
    };
    let choices = [narrow, choice(reported(20))];
    assert_eq!(choose_target(&choices, limits(6.0), NOW), Ok(1));
    let alone = choose_target(&[narrow], limits(6.0), NOW);
    assert_eq!(alone, Err(NoTarget::Full));
}
