//! Weighs ways to find the prompt part that crashes targets: `cargo run --release -p serving --example
//! crash_ways`.
//!
//! A simulation without a network. Each node has a detector of its own; what one has seen reaches the others
//! after a delay.

mod fleet;
mod traffic;

use std::time::Duration;

use fleet::{Fleet, FleetReport, NewsWay, VerdictWay};

/// Simulated time of a run.
const RUN_TIME: Duration = Duration::from_secs(30);

/// Fleets that are compared, by their nodes.
const NODE_COUNTS: [usize; 3] = [6, 60, 300];

/// Seeds of the runs of each way.
const SEEDS: [u64; 3] = [11, 12, 13];

fn main() {
    println!(
        "nodes, verdicts, news: engines lost, late requests, s until all know, sound ones barred of all"
    );
    for nodes in NODE_COUNTS {
        for verdicts in VerdictWay::ALL {
            for news in NewsWay::ALL {
                let reports: Vec<FleetReport> = SEEDS
                    .iter()
                    .map(|seed| Fleet::new(nodes, verdicts, news, *seed).run(RUN_TIME))
                    .collect();
                print_reports(nodes, verdicts, news, &reports);
            }
        }
    }
}

fn print_reports(nodes: usize, verdicts: VerdictWay, news: NewsWay, reports: &[FleetReport]) {
    let join = |texts: Vec<String>| texts.join(" ");
    let lost = reports.iter().map(|report| report.engines_lost.to_string());
    let late = reports
        .iter()
        .map(|report| report.late_requests.to_string());
    let known = reports.iter().map(|report| {
        let known = report.all_known_after;
        known.map_or_else(
            || "never".to_owned(),
            |after| format!("{:.2}", after.as_secs_f64()),
        )
    });
    let barred = reports
        .iter()
        .map(|report| format!("{}/{}", report.sound_barred, report.sound_requests));
    println!(
        "{nodes}, {verdicts:?}, {news:?}: {}, {}, {}, {}",
        join(lost.collect()),
        join(late.collect()),
        join(known.collect()),
        join(barred.collect()),
    );
}
