//! Tables of the decisions on the request path.

use std::time::Duration;

use crate::baseline::{PlacementKind, QueueKind, ShareKind};
use crate::simulation::workload::{merge_calls, poisson_calls};
use crate::simulation::{self, Call, Scenario, Simulation, SimulationResult};

fn queue_kinds() -> [(&'static str, QueueKind); 4] {
    [
        ("fair queue with refusal", QueueKind::Fair),
        ("first come, 40 wait", QueueKind::Fifo { limit: 40 }),
        ("first come, 200 wait", QueueKind::Fifo { limit: 200 }),
        (
            "first come, no bound",
            QueueKind::Fifo { limit: usize::MAX },
        ),
    ]
}

/// A burst of one large customer alongside three small ones.
pub fn admission() {
    println!(
        "| queue | small on time | small p50 s | small p95 s | burst on time | p95 without burst s |"
    );
    println!("|---|---|---|---|---|---|");
    for (name, queue) in queue_kinds() {
        let scenario = Scenario {
            queue,
            ..Scenario::standard(10, 1)
        };
        let rate = scenario.capacity(400, 100);
        let small = || {
            poisson_calls(2, rate * 0.3, (0.0, 60.0), |call, rng| {
                call.customer =
                    1 + usize::try_from(rand::Rng::random_range(rng, 0..3_u32)).unwrap_or(0);
            })
        };
        let burst = poisson_calls(3, rate * 4.0, (20.0, 40.0), |_, _| {});
        let quiet = Simulation::new(&scenario).run(&small());
        let result = Simulation::new(&scenario).run(&merge_calls(vec![small(), burst]));
        let during = |job: &simulation::Job| {
            job.call.customer > 0 && job.call.at >= 20.0 && job.call.at < 40.0
        };
        println!(
            "| {name} | {:.3} | {:.2} | {:.2} | {:.3} | {:.2} |",
            result.on_time(during),
            result.first_token(0.5, during),
            result.first_token(0.95, during),
            result.on_time(|job| job.call.customer == 0),
            quiet.first_token(0.95, during),
        );
    }
}

fn row(result: &SimulationResult, rate: f64, span: (f64, f64)) -> String {
    let inside = |job: &simulation::Job| (span.0..span.1).contains(&job.call.at);
    let good = result.goodput(span.0, span.1) / (rate * 100.0);
    let all = result.select(inside);
    let late = all
        .iter()
        .filter(|job| job.first_token.is_some() && !job.on_time());
    let refused = all.iter().filter(|job| job.refused);
    #[allow(clippy::cast_precision_loss)]
    let fraction = |count: usize| count as f64 / all.len() as f64;
    format!(
        "{good:.3} | {:.3} | {:.3} | {:.2} | {:.2}",
        fraction(late.count()),
        fraction(refused.count()),
        result.first_token(0.5, inside),
        result.first_token(0.95, inside)
    )
}

/// Demand of 0.5, 1, 2 and 10 times the capacity.
pub fn saturation() {
    println!("| demand | queue | goodput / capacity | late | refused | p50 s | p95 s |");
    println!("|---|---|---|---|---|---|---|");
    for times in [0.5, 1.0, 2.0, 10.0] {
        for (name, queue) in queue_kinds() {
            let scenario = Scenario {
                queue,
                ..Scenario::standard(10, 4)
            };
            let rate = scenario.capacity(400, 100);
            let calls = poisson_calls(5, rate * times, (0.0, 60.0), |call, rng| {
                call.customer =
                    usize::try_from(rand::Rng::random_range(rng, 0..4_u32)).unwrap_or(0);
            });
            let result = Simulation::new(&scenario).run(&calls);
            println!(
                "| {times} | {name} | {} |",
                row(&result, rate, (10.0, 60.0))
            );
        }
    }
}

/// 160 shared prompts of 2,400 tokens. The caches of all engines together have room for each of
/// them twice.
pub fn affinity() {
    println!("| choice | on time | p50 s | p95 s | p99 s |");
    println!("|---|---|---|---|---|");
    for (name, placement, affinity) in [
        ("predicted with affinity", PlacementKind::Predicted, true),
        (
            "predicted without affinity",
            PlacementKind::Predicted,
            false,
        ),
        ("two choices, reported", PlacementKind::TwoChoices, false),
        ("random", PlacementKind::Random, false),
    ] {
        let scenario = Scenario {
            entries: 2,
            placement,
            affinity,
            share: ShareKind::Unlimited,
            queue: QueueKind::Fifo { limit: usize::MAX },
            ..Scenario::standard(40, 10)
        };
        let rate = scenario.capacity(400, 100) * 0.6;
        let calls = poisson_calls(11, rate, (0.0, 60.0), |call, rng| {
            call.entry = rand::Rng::random_range(rng, 0..2);
            let sample: f64 = rand::Rng::random_range(rng, 0.0..1.0);
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            let shared = (sample * sample * 160.0) as u64 + 1;
            call.shared = (shared << 20, 2_400);
            call.prompt += 2_400;
        });
        let result = Simulation::new(&scenario).run(&calls);
        let after = |job: &simulation::Job| job.call.at > 10.0;
        println!(
            "| {name} | {:.4} | {:.3} | {:.3} | {:.3} |",
            result.on_time(after),
            result.first_token(0.5, after),
            result.first_token(0.95, after),
            result.first_token(0.99, after),
        );
    }
}

/// Demand of twice the capacity; from 20 s on, every engine is three times slower.
pub fn slowdown() {
    println!("| queue | goodput / capacity left | late | refused | p50 s | p95 s |");
    println!("|---|---|---|---|---|---|");
    for (name, queue) in queue_kinds() {
        let mut scenario = Scenario {
            queue,
            ..Scenario::standard(10, 15)
        };
        for engine in &mut scenario.engines {
            engine.slowdown = (3.0, 20.0, 90.0);
        }
        let rate = scenario.capacity(400, 100);
        let calls = poisson_calls(16, rate * 2.0, (0.0, 60.0), |_, _| {});
        let result = Simulation::new(&scenario).run(&calls);
        println!("| {name} | {} |", row(&result, rate / 3.0, (30.0, 60.0)));
    }
}

/// A burst of four times the capacity for 10 s, whose refused clients retry up to five times.
pub fn retry_times() {
    println!("| retry | on time | offers per client | refused in the end |");
    println!("|---|---|---|---|");
    for (name, fixed_retry_after) in [
        ("as assigned", None),
        ("after 1 s", Some(Duration::from_secs(1))),
        ("after 5 s", Some(Duration::from_secs(5))),
    ] {
        let scenario = Scenario {
            max_retries: 5,
            fixed_retry_after,
            ..Scenario::standard(10, 12)
        };
        let rate = scenario.capacity(400, 100);
        let burst = poisson_calls(13, rate * 4.0, (5.0, 15.0), |_, _| {});
        let rest = poisson_calls(14, rate * 0.5, (0.0, 60.0), |call, _| call.customer = 1);
        let result = Simulation::new(&scenario).run(&merge_calls(vec![burst, rest]));
        let clients = result.select(|job| job.call.customer == 0);
        let offers: u32 = clients.iter().map(|job| job.retries + 1).sum();
        let refused = clients.iter().filter(|job| job.refused).count();
        #[allow(clippy::cast_precision_loss)]
        let count = clients.len() as f64;
        #[allow(clippy::cast_precision_loss)]
        let refused = refused as f64 / count;
        println!(
            "| {name} | {:.3} | {:.2} | {refused:.3} |",
            result.on_time(|job| job.call.customer == 0),
            f64::from(offers) / count,
        );
    }
}

type CaseSetup = fn(&mut Scenario);

/// Target selection: two entries in front of 40 engines at 75% of their capacity.
pub fn placement() {
    println!("| case | choice | on time | p50 s | p95 s | p99 s | failed attempts |");
    println!("|---|---|---|---|---|---|---|");
    let kinds = [
        ("predicted, 2 samples", PlacementKind::Predicted, 2),
        ("predicted, 4 samples", PlacementKind::Predicted, 4),
        ("predicted, 8 samples", PlacementKind::Predicted, 8),
        ("random", PlacementKind::Random, 0),
        ("round robin", PlacementKind::RoundRobin, 0),
        ("least reported", PlacementKind::LeastLoaded, 0),
        ("two choices, reported", PlacementKind::TwoChoices, 0),
    ];
    let cases: [(&str, CaseSetup); 4] = [
        ("no fault", |_| {}),
        ("one slow ×4, 10–30 s", |scenario| {
            scenario.engines[3].slowdown = (4.0, 10.0, 30.0);
        }),
        ("one fails fast, 10–30 s", |scenario| {
            scenario.engines[3].failing = (10.0, 30.0);
        }),
        ("no reports, 10–30 s", |scenario| {
            scenario.report_outage = (10.0, 30.0);
        }),
    ];
    for (case, adjust) in cases {
        for (name, placement, samples) in kinds {
            let mut scenario = Scenario {
                entries: 2,
                placement,
                samples,
                share: ShareKind::Unlimited,
                queue: QueueKind::Fifo { limit: usize::MAX },
                ..Scenario::standard(40, 6)
            };
            adjust(&mut scenario);
            let result = Simulation::new(&scenario).run(&mixed_calls(&scenario, 0.75));
            let after = |job: &simulation::Job| job.call.at > 5.0;
            let failed: u32 = result.jobs.iter().map(|job| job.failures).sum();
            println!(
                "| {case} | {name} | {:.4} | {:.3} | {:.3} | {:.3} | {failed} |",
                result.on_time(after),
                result.first_token(0.5, after),
                result.first_token(0.95, after),
                result.first_token(0.99, after),
            );
        }
    }
}

fn mixed_calls(scenario: &Scenario, load_factor: f64) -> Vec<Call> {
    let rate = scenario.capacity(400, 100) * load_factor / 1.35;
    let entries = scenario.entries;
    poisson_calls(7, rate, (0.0, 40.0), |call, rng| {
        call.entry = rand::Rng::random_range(rng, 0..entries);
        if rand::Rng::random_bool(rng, 0.1) {
            call.prompt *= 8;
            call.response *= 4;
        }
    })
}

/// Capacity shares of several entries behind an uneven load balancer.
pub fn shares() {
    println!(
        "| entries | demand | share | goodput / capacity | late | refused | p50 s | p95 s | deepest engine queues | slots in use |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|");
    for (entries, engines) in [(3, 20), (6, 20), (24, 20), (410, 100)] {
        for times in [0.8, 2.0] {
            for (name, share) in [
                ("scaled by occupancy", ShareKind::Scaled),
                ("even share", ShareKind::EvenShare),
                ("all free slots", ShareKind::AllFree),
            ] {
                let scenario = Scenario {
                    entries,
                    share,
                    ..Scenario::standard(engines, 8)
                };
                let rate = scenario.capacity(400, 100);
                let calls = poisson_calls(9, rate * times, (0.0, 60.0), |call, rng| {
                    // The first third of the entries gets four fifths of the calls.
                    let favored = (entries / 3).max(1);
                    let range = if rand::Rng::random_bool(rng, 0.8) {
                        0..favored
                    } else {
                        favored..entries
                    };
                    call.entry = rand::Rng::random_range(rng, range);
                });
                let result = Simulation::new(&scenario).run(&calls);
                println!(
                    "| {entries} | {times} | {name} | {} | {} | {:.3} |",
                    row(&result, rate, (15.0, 60.0)),
                    result.max_engine_queue,
                    result.slot_seconds
                        / (f64::from(u32::try_from(engines).unwrap_or(0)) * 16.0 * 60.0)
                );
            }
        }
    }
}
