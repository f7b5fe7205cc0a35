//! Weighs ways to try what may crash targets: `cargo run --release -p serving --example trial_ways`.
//!
//! A simulation without a network. Each node has a detector of its own; what one has seen reaches the others
//! after a delay. Either a part of prompts crashes each engine that begins an answer with it, or a third of
//! the engines is lost within half a second while the rest stands still.

mod fleet;

use std::time::Duration;

use fleet::{Fleet, FleetReport, Scenario, TrialWay};

/// Simulated time of a run.
const RUN_TIME: Duration = Duration::from_secs(40);

/// Fleets that are compared, by their nodes.
const NODE_COUNTS: [usize; 3] = [6, 60, 300];

/// Seeds of the runs of each way.
const SEEDS: [u64; 3] = [11, 12, 13];

fn main() {
    println!(
        "nodes, scenario, way: engines lost, trials, claims, s until proved, clients told to come back, \
         refused for good, s until served again"
    );
    for nodes in NODE_COUNTS {
        for scenario in Scenario::ALL {
            for way in TrialWay::ALL {
                let reports =
                    SEEDS.map(|seed| Fleet::new(nodes, scenario, way, seed).run(RUN_TIME));
                print_reports(nodes, scenario, way, &reports);
            }
        }
    }
}

fn print_reports(nodes: usize, scenario: Scenario, way: TrialWay, reports: &[FleetReport]) {
    let join = |text: &dyn Fn(&FleetReport) -> String| {
        let texts: Vec<String> = reports.iter().map(text).collect();
        texts.join(" ")
    };
    let seconds = |time: Option<Duration>| {
        time.map_or_else(
            || "-".to_owned(),
            |time| format!("{:.1}", time.as_secs_f64()),
        )
    };
    println!(
        "{nodes}, {scenario:?}, {way:?}: {}, {}, {}, {}, {}, {}, {}",
        join(&|report| report.engines_lost.to_string()),
        join(&|report| report.trials.to_string()),
        join(&|report| report.claims.to_string()),
        join(&|report| seconds(report.proved_after)),
        join(&|report| report.sent_away.to_string()),
        join(&|report| report.refused.to_string()),
        join(&|report| seconds(report.served_after)),
    );
}
