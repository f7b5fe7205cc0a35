//! Tables of the decisions on the request path.

use std::time::Duration;

use crate::baseline::{PlaceKind, QueueKind, ShareKind};
use crate::driver::callers::{merged, steady};
use crate::driver::{self, Call, Driver, RunResult, Setup};

fn queue_kinds() -> [(&'static str, QueueKind); 4] {
    [
        ("fair queue with refusal", QueueKind::Fair),
        ("first come, 40 wait", QueueKind::FirstCome { bound: 40 }),
        ("first come, 200 wait", QueueKind::FirstCome { bound: 200 }),
        (
            "first come, no bound",
            QueueKind::FirstCome { bound: usize::MAX },
        ),
    ]
}

/// A burst of one large customer beside three small ones.
pub fn admission() {
    println!(
        "| queue | small on time | small p50 s | small p95 s | burst on time | p95 without burst s |"
    );
    println!("|---|---|---|---|---|---|");
    for (name, queue) in queue_kinds() {
        let setup = Setup {
            queue,
            ..Setup::plain(10, 1)
        };
        let rate = setup.capacity(400, 100);
        let small = || {
            steady(2, rate * 0.3, (0.0, 60.0), |call, rng| {
                call.customer =
                    1 + usize::try_from(rand::Rng::random_range(rng, 0..3_u32)).unwrap_or(0);
            })
        };
        let burst = steady(3, rate * 4.0, (20.0, 40.0), |_, _| {});
        let quiet = Driver::new(&setup).run(&small());
        let result = Driver::new(&setup).run(&merged(vec![small(), burst]));
        let during =
            |job: &driver::Job| job.call.customer > 0 && job.call.at >= 20.0 && job.call.at < 40.0;
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

fn row(result: &RunResult, rate: f64, span: (f64, f64)) -> String {
    let inside = |job: &driver::Job| (span.0..span.1).contains(&job.call.at);
    let good = result.goodput(span.0, span.1) / (rate * 100.0);
    let all = result.pick(inside);
    let late = all
        .iter()
        .filter(|job| job.first_token.is_some() && !job.on_time());
    let refused = all.iter().filter(|job| job.refused);
    #[allow(clippy::cast_precision_loss)]
    let part = |count: usize| count as f64 / all.len() as f64;
    format!(
        "{good:.3} | {:.3} | {:.3} | {:.2} | {:.2}",
        part(late.count()),
        part(refused.count()),
        result.first_token(0.5, inside),
        result.first_token(0.95, inside)
    )
}

/// Demand of half, 1, 2 and 10 times the capacity.
pub fn saturation() {
    println!("| demand | queue | goodput / capacity | late | refused | p50 s | p95 s |");
    println!("|---|---|---|---|---|---|---|");
    for times in [0.5, 1.0, 2.0, 10.0] {
        for (name, queue) in queue_kinds() {
            let setup = Setup {
                queue,
                ..Setup::plain(10, 4)
            };
            let rate = setup.capacity(400, 100);
            let calls = steady(5, rate * times, (0.0, 60.0), |call, rng| {
                call.customer =
                    usize::try_from(rand::Rng::random_range(rng, 0..4_u32)).unwrap_or(0);
            });
            let result = Driver::new(&setup).run(&calls);
            println!(
                "| {times} | {name} | {} |",
                row(&result, rate, (10.0, 60.0))
            );
        }
    }
}

/// Shared prompts of 2,400 tokens, more than the caches of the engines hold together twice.
pub fn affinity() {
    println!("| choice | on time | p50 s | p95 s | p99 s |");
    println!("|---|---|---|---|---|");
    for (name, place, affinity) in [
        ("predicted with affinity", PlaceKind::Predicted, true),
        ("predicted without affinity", PlaceKind::Predicted, false),
        ("two choices, reported", PlaceKind::TwoReported, false),
        ("random", PlaceKind::Random, false),
    ] {
        let setup = Setup {
            entries: 2,
            place,
            affinity,
            share: ShareKind::Unlimited,
            queue: QueueKind::FirstCome { bound: usize::MAX },
            ..Setup::plain(40, 10)
        };
        let rate = setup.capacity(400, 100) * 0.6;
        let calls = steady(11, rate, (0.0, 60.0), |call, rng| {
            call.entry = rand::Rng::random_range(rng, 0..2);
            let drawn: f64 = rand::Rng::random_range(rng, 0.0..1.0);
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            let shared = (drawn * drawn * 160.0) as u64 + 1;
            call.shared = (shared << 20, 2_400);
            call.prompt += 2_400;
        });
        let result = Driver::new(&setup).run(&calls);
        let after = |job: &driver::Job| job.call.at > 10.0;
        println!(
            "| {name} | {:.4} | {:.3} | {:.3} | {:.3} |",
            result.on_time(after),
            result.first_token(0.5, after),
            result.first_token(0.95, after),
            result.first_token(0.99, after),
        );
    }
}

/// Twice the capacity, and from 20 s on every engine takes three times as long.
pub fn slowdown() {
    println!("| queue | goodput / capacity left | late | refused | p50 s | p95 s |");
    println!("|---|---|---|---|---|---|");
    for (name, queue) in queue_kinds() {
        let mut setup = Setup {
            queue,
            ..Setup::plain(10, 15)
        };
        for engine in &mut setup.engines {
            engine.slow = (3.0, 20.0, 90.0);
        }
        let rate = setup.capacity(400, 100);
        let calls = steady(16, rate * 2.0, (0.0, 60.0), |_, _| {});
        let result = Driver::new(&setup).run(&calls);
        println!("| {name} | {} |", row(&result, rate / 3.0, (30.0, 60.0)));
    }
}

/// A burst of four times the capacity for 10 s, whose refused callers come back five times at most.
pub fn returns() {
    println!("| return | answered on time | offers a caller | refused in the end |");
    println!("|---|---|---|---|");
    for (name, fixed_return) in [
        ("as told", None),
        ("after 1 s", Some(Duration::from_secs(1))),
        ("after 5 s", Some(Duration::from_secs(5))),
    ] {
        let setup = Setup {
            returns: 5,
            fixed_return,
            ..Setup::plain(10, 12)
        };
        let rate = setup.capacity(400, 100);
        let burst = steady(13, rate * 4.0, (5.0, 15.0), |_, _| {});
        let rest = steady(14, rate * 0.5, (0.0, 60.0), |call, _| call.customer = 1);
        let result = Driver::new(&setup).run(&merged(vec![burst, rest]));
        let callers = result.pick(|job| job.call.customer == 0);
        let offers: u32 = callers.iter().map(|job| job.returns + 1).sum();
        let refused = callers.iter().filter(|job| job.refused).count();
        #[allow(clippy::cast_precision_loss)]
        let count = callers.len() as f64;
        #[allow(clippy::cast_precision_loss)]
        let refused = refused as f64 / count;
        println!(
            "| {name} | {:.3} | {:.2} | {refused:.3} |",
            result.on_time(|job| job.call.customer == 0),
            f64::from(offers) / count,
        );
    }
}

type CaseForm = fn(&mut Setup);

/// Choosing a target: two entries before 40 engines at 75% of capacity.
pub fn placement() {
    println!("| case | choice | on time | p50 s | p95 s | p99 s | failed attempts |");
    println!("|---|---|---|---|---|---|---|");
    let kinds = [
        ("predicted, 2 drawn", PlaceKind::Predicted, 2),
        ("predicted, 4 drawn", PlaceKind::Predicted, 4),
        ("predicted, 8 drawn", PlaceKind::Predicted, 8),
        ("random", PlaceKind::Random, 0),
        ("round robin", PlaceKind::RoundRobin, 0),
        ("least reported", PlaceKind::LeastReported, 0),
        ("two choices, reported", PlaceKind::TwoReported, 0),
    ];
    let cases: [(&str, CaseForm); 4] = [
        ("all well", |_| {}),
        ("one slow ×4, 10–30 s", |setup| {
            setup.engines[3].slow = (4.0, 10.0, 30.0);
        }),
        ("one fails fast, 10–30 s", |setup| {
            setup.engines[3].fails = (10.0, 30.0);
        }),
        ("no reports, 10–30 s", |setup| {
            setup.blackout = (10.0, 30.0);
        }),
    ];
    for (case, form) in cases {
        for (name, place, draws) in kinds {
            let mut setup = Setup {
                entries: 2,
                place,
                draws,
                share: ShareKind::Unlimited,
                queue: QueueKind::FirstCome { bound: usize::MAX },
                ..Setup::plain(40, 6)
            };
            form(&mut setup);
            let result = Driver::new(&setup).run(&mixed_calls(&setup, 0.75));
            let after = |job: &driver::Job| job.call.at > 5.0;
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

fn mixed_calls(setup: &Setup, part: f64) -> Vec<Call> {
    let rate = setup.capacity(400, 100) * part / 1.35;
    let entries = setup.entries;
    steady(7, rate, (0.0, 40.0), |call, rng| {
        call.entry = rand::Rng::random_range(rng, 0..entries);
        if rand::Rng::random_bool(rng, 0.1) {
            call.prompt *= 8;
            call.answer *= 4;
        }
    })
}

/// Parts of the slots of several entries under an uneven balancer.
pub fn shares() {
    println!(
        "| entries | demand | share | goodput / capacity | late | refused | p50 s | p95 s | deepest engine queues | slots in use |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|");
    for (entries, engines) in [(3, 20), (6, 20), (24, 20), (410, 100)] {
        for times in [0.8, 2.0] {
            for (name, share) in [
                ("scaled by occupancy", ShareKind::Scaled),
                ("even part", ShareKind::EvenPart),
                ("all free slots", ShareKind::AllFree),
            ] {
                let setup = Setup {
                    entries,
                    share,
                    ..Setup::plain(engines, 8)
                };
                let rate = setup.capacity(400, 100);
                let calls = steady(9, rate * times, (0.0, 60.0), |call, rng| {
                    // The first third of the entries gets four fifths of the calls.
                    let few = (entries / 3).max(1);
                    let few = if rand::Rng::random_bool(rng, 0.8) {
                        0..few
                    } else {
                        few..entries
                    };
                    call.entry = rand::Rng::random_range(rng, few);
                });
                let result = Driver::new(&setup).run(&calls);
                println!(
                    "| {entries} | {times} | {name} | {} | {} | {:.3} |",
                    row(&result, rate, (15.0, 60.0)),
                    result.deepest,
                    result.busy_slots
                        / (f64::from(u32::try_from(engines).unwrap_or(0)) * 16.0 * 60.0)
                );
            }
        }
    }
}
