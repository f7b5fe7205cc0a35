//! Tables of assembly over a year of host losses and returns.

use std::time::Duration;

use policy::assembly::{AssemblySettings, plan_round};
use policy::shifting::ShiftSettings;

use crate::baseline::assembly::{plan_first_fit, plan_fixed_groups};
use crate::tide::{run_day, without_hysteresis};
use crate::year::{FleetPlan, Planner, YearDriver, YearResult, wanted};

/// Ratio of the weights of a group hour and a host hour, for an operator like Ndiaye.
const NDIAYE: f64 = 1_000.0;

/// The same, for an operator like the agency.
const AGENCY: f64 = 1.0;

fn settings(ratio: f64) -> AssemblySettings {
    AssemblySettings::builder().group_downtime(ratio).build()
}

/// Losses of a host in a year at the target size: 18 a day and 100 restarts among 2,900 hosts.
fn fleet_plan(fabrics: usize, hosts: usize) -> FleetPlan {
    FleetPlan {
        fabrics,
        hosts,
        days: 365.0,
        failures: (2.3, Duration::from_hours(6)),
        restarts: (12.6, Duration::from_mins(8)),
        pauses: (3.0, Duration::from_secs(10)),
        outages: (0.5, Duration::from_hours(3)),
        seed: 21,
    }
}

fn print(case: &str, name: &str, result: &YearResult) {
    println!(
        "| {case} | {name} | {:.0} | {:.4}% | {:.2}% | {} | {} |",
        result.group_downtime,
        result.downtime_part * 100.0,
        result.stranded_part * 100.0,
        result.fetches,
        result.drains
    );
}

fn header(first: &str) {
    println!(
        "| {first} | planner | group downtime h | part | stranded | weight fetches | drains |"
    );
    println!("|---|---|---|---|---|---|---|");
}

/// 4-host and 16-host replicas, with spare hosts and without.
pub fn assembly() {
    header("replicas and hosts");
    let cases = [
        ("50 of 4, 6 fabrics of 36", 6, 36, 50, 4),
        ("54 of 4, 6 fabrics of 36 (no spares)", 6, 36, 54, 4),
        ("24 of 16, 6 fabrics of 72", 6, 72, 24, 16),
        ("24 of 16, 6 fabrics of 64 (no spares)", 6, 64, 24, 16),
    ];
    for (case, fabrics, hosts, replicas, size) in cases {
        let planners: [(&str, Planner); 3] = [
            ("plan_round", plan_round),
            ("fixed groups", plan_fixed_groups),
            ("greedy first fit", plan_first_fit),
        ];
        for (name, planner) in planners {
            let plan = fleet_plan(fabrics, hosts);
            let wanted = vec![wanted("help", replicas, 0, size)];
            let result = YearDriver::new(plan, wanted, settings(AGENCY)).run(planner);
            print(case, name, &result);
        }
    }
}

/// The trade-off: hosts beyond the wanted replicas stay idle or form extra ones.
pub fn weights() {
    header("weights");
    for ratio in [AGENCY, 100.0, 300.0, NDIAYE, 3_000.0, 10_000.0] {
        for size in [4, 16] {
            let wanted = vec![
                wanted("lookup", if size == 4 { 16 } else { 6 }, 0, size),
                wanted("help", if size == 4 { 30 } else { 12 }, 64, size),
            ];
            let plan = fleet_plan(6, if size == 4 { 36 } else { 64 });
            let result = YearDriver::new(plan, wanted, settings(ratio)).run(plan_round);
            let loss = ratio * result.group_downtime
                + result.stranded_part
                    * 365.0
                    * 24.0
                    * f64::from(u32::try_from(plan.fabrics * plan.hosts).unwrap_or(0));
            let case = format!("{ratio} : 1, {size} hosts");
            print(&case, &format!("loss {loss:.0}"), &result);
        }
    }
}

/// How long a replica waits for an absent host, when every host is paused 20 times a year.
pub fn patience() {
    header("patience");
    for seconds in [0, 10, 30, 120, 600] {
        let plan = FleetPlan {
            pauses: (20.0, Duration::from_secs(10)),
            ..fleet_plan(6, 36)
        };
        let settings = AssemblySettings::builder()
            .patience(Duration::from_secs(seconds))
            .build();
        let wanted = vec![wanted("help", 50, 0, 4)];
        let result = YearDriver::new(plan, wanted, settings).run(plan_round);
        print(&format!("{seconds} s"), "plan_round", &result);
    }
}

/// Fabric domains that go dark, 12 a year each for an hour, and all loads under the store's rate.
pub fn outages() {
    header("fabric domains go dark");
    for (case, hosts, replicas, size) in [("50 of 4", 36, 50, 4), ("24 of 16", 72, 24, 16)] {
        let planners: [(&str, Planner); 3] = [
            ("plan_round", plan_round),
            ("fixed groups", plan_fixed_groups),
            ("greedy first fit", plan_first_fit),
        ];
        for (name, planner) in planners {
            let plan = FleetPlan {
                outages: (12.0, Duration::from_hours(1)),
                ..fleet_plan(6, hosts)
            };
            let wanted = vec![wanted("help", replicas, 0, size)];
            let result = YearDriver::new(plan, wanted, settings(NDIAYE)).run(planner);
            print(case, name, &result);
        }
    }
}

/// A record names another version: all at once, or in steps, with free hosts and without.
pub fn rollouts() {
    println!("| hosts | steps | least of 20 that serve | replica hours missing |");
    println!("|---|---|---|---|");
    for hosts in [40, 48] {
        for steps in [1, 5, 20] {
            let plan = FleetPlan {
                days: 1.0,
                failures: (0.0, Duration::ZERO),
                restarts: (0.0, Duration::ZERO),
                pauses: (0.0, Duration::ZERO),
                outages: (0.0, Duration::ZERO),
                ..fleet_plan(2, hosts)
            };
            let settings = AssemblySettings::builder().rollout_steps(steps).build();
            let old = wanted("help", 20, 0, 4);
            let mut new = old.clone();
            new.version = "v2".parse().expect("a version");
            let driver = YearDriver::new(plan, vec![old], settings);
            let result = driver
                .amended(Duration::from_hours(1), vec![new])
                .run(plan_round);
            println!(
                "| 2 x {hosts} | {steps} | {} | {:.2} |",
                result.least_serving, result.group_downtime
            );
        }
    }
}

/// Two models whose demand moves over a day, with noise.
pub fn shifting() {
    println!("| noise | moves | unmet streams | moves a day |");
    println!("|---|---|---|---|");
    for noise in [0.2, 0.4] {
        let cases = [
            ("with hysteresis", Some(ShiftSettings::default())),
            ("each minute's demand", Some(without_hysteresis())),
            ("none", None),
        ];
        for (name, settings) in cases {
            let result = run_day(1, noise, settings);
            println!(
                "| {noise} | {name} | {:.3}% | {} |",
                result.unmet * 100.0,
                result.moves
            );
        }
    }
}
