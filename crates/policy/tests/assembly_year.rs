//! Weeks of host losses and returns under each planner.

#[path = "../examples/compare/baseline/assembly.rs"]
mod baseline;
#[path = "../examples/compare/year.rs"]
mod year;

use std::time::Duration;

use baseline::{plan_first_fit, plan_fixed_groups};
use policy::assembly::{AssemblySettings, plan_round};
use year::{FleetPlan, Planner, YearDriver, YearResult, wanted};

/// Thirty days with the losses of a hundred, so that the test is short.
fn losses(hosts: usize) -> FleetPlan {
    FleetPlan {
        fabrics: 3,
        hosts,
        days: 30.0,
        failures: (8.0, Duration::from_hours(6)),
        restarts: (40.0, Duration::from_mins(8)),
        pauses: (10.0, Duration::from_secs(10)),
        outages: (4.0, Duration::from_hours(1)),
        seed: 21,
    }
}

fn run(size: u32, replicas: u32, hosts: usize, planner: Planner) -> YearResult {
    let wanted = vec![wanted("help", replicas, 0, size)];
    YearDriver::new(losses(hosts), wanted, AssemblySettings::default()).run(planner)
}

/// Hosts are lost and come back all the time. With fixed groups a replica is out until its own
/// host is back, and callers have fewer replicas for hours.
#[test]
fn replacing_beats_fixed_groups() {
    for (size, replicas, hosts) in [(4, 24, 36), (16, 6, 36)] {
        let ours = run(size, replicas, hosts, plan_round);
        let fixed = run(size, replicas, hosts, plan_fixed_groups);
        assert!(
            ours.group_downtime * 4.0 < fixed.group_downtime,
            "{size} hosts"
        );
        assert!(ours.stranded_part < fixed.stranded_part);
    }
}

/// To take a large replica apart for one lost host makes every host fetch its weights again, and
/// the store's rate keeps the replica out for longer.
#[test]
fn one_load_beats_sixteen() {
    let ours = run(16, 6, 36, plan_round);
    let first_fit = run(16, 6, 36, plan_first_fit);
    assert!(ours.fetches * 3 < first_fit.fetches);
    assert!(ours.group_downtime < first_fit.group_downtime * 0.9);
}

/// Spares that wait cost stranded hosts and save downtime; the weights decide between them.
#[test]
fn weights_move_the_balance() {
    let run = |ratio: f64| {
        let settings = AssemblySettings::builder()
            .group_downtime(ratio)
            .losses_a_year(48.0)
            .build();
        let both = vec![wanted("lookup", 10, 0, 4), wanted("help", 10, 64, 4)];
        YearDriver::new(losses(36), both, settings).run(plan_round)
    };
    let (agency, ndiaye) = (run(1.0), run(3_000.0));
    assert!(agency.stranded_part < ndiaye.stranded_part * 0.8);
    assert!(ndiaye.group_downtime < agency.group_downtime);
}
