//! Going over from one version of a model to the next.

#[path = "../examples/compare/year.rs"]
mod year;

use std::time::Duration;

use policy::assembly::{AssemblySettings, WantedReplicas, drain_room, plan_round};
use year::{FleetPlan, YearDriver, wanted};

/// A day without losses, in which the record names version v2 instead of v1 after an hour.
fn roll_out(hosts: usize) -> year::YearResult {
    let plan = FleetPlan {
        fabrics: 2,
        hosts,
        days: 1.0,
        failures: (0.0, Duration::ZERO),
        restarts: (0.0, Duration::ZERO),
        pauses: (0.0, Duration::ZERO),
        outages: (0.0, Duration::ZERO),
        seed: 1,
    };
    let old = wanted("help", 20, 0, 4);
    let new = WantedReplicas {
        version: "v2".parse().expect("a version"),
        ..old.clone()
    };
    let driver = YearDriver::new(plan, vec![old], AssemblySettings::default());
    driver
        .amended(Duration::from_hours(1), vec![new])
        .run(plan_round)
}

/// No host is free. A part of the replicas at a time goes over, and callers never miss more than
/// that part; if all went at once, the model would serve nobody for minutes.
#[test]
fn full_fleet_goes_over_in_steps() {
    let result = roll_out(40);
    assert_eq!(result.least_serving, 19);
    assert_eq!(result.serving_at_end, 20);
}

/// With a free replica's hosts in each fabric domain the new ones come first and callers miss
/// nothing.
#[test]
fn free_hosts_go_over_first() {
    let result = roll_out(48);
    assert!(result.least_serving >= 19, "{}", result.least_serving);
    assert_eq!(result.serving_at_end, 20);
}

/// The room follows what serves, a model of few replicas still gets on, and one that nobody wants
/// goes at once.
#[test]
fn room_follows_what_serves() {
    assert_eq!(drain_room(20, 20, 20), 1);
    assert_eq!(drain_room(20, 19, 20), 0);
    assert_eq!(drain_room(20, 24, 20), 5);
    assert_eq!(drain_room(3, 3, 20), 1);
    assert_eq!(drain_room(0, 7, 20), 7);
}
