//! Ways to share the limit that a target states.

use std::time::Duration;

use domain::BootNumber;
use serving::target_limit::TargetLimit;

/// Limit of the recorded incident, in requests per second.
const LIMIT: f64 = 2.2;

/// Window in which requests count, and what is allowed in it.
const WINDOW: Duration = Duration::from_secs(4);
const ALLOWED: f64 = 1.5 * 4.0 * LIMIT + 5.0;

/// Steps of the simulation and its length.
const STEP: Duration = Duration::from_millis(20);
const END: Duration = Duration::from_secs(40);

/// How nodes share a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LimitWay {
    /// Each sends an equal part of the rate, by the nodes that it counts, and has one request in hand.
    Counted,
    /// The first of the nodes that it counts sends all.
    FirstCounted,
    /// The holder of a lease sends all.
    Turn,
}

/// Prints a row for each fleet and way, with nodes that see all others, and in three parts.
pub fn print() {
    println!(
        "nodes, way, parts: requests in the worst 4 s ({ALLOWED:.1} allowed), part of the limit used"
    );
    for nodes in [6, 60, 300] {
        for way in [LimitWay::Counted, LimitWay::FirstCounted, LimitWay::Turn] {
            for parts in [1, 3, nodes] {
                let (worst, used) = play(nodes, way, parts);
                println!("{nodes}, {way:?}, {parts}: {worst}, {used:.2}");
            }
        }
    }
}

/// Nodes that send, and the rate of each.
fn senders(nodes: usize, way: LimitWay, parts: usize) -> (usize, f64) {
    let seen = f64::from(u32::try_from(nodes / parts).unwrap());
    match way {
        LimitWay::Counted => (nodes, LIMIT / seen),
        LimitWay::FirstCounted => (parts, LIMIT),
        LimitWay::Turn => (1, LIMIT),
    }
}

fn play(nodes: usize, way: LimitWay, parts: usize) -> (usize, f64) {
    let (count, rate) = senders(nodes, way, parts);
    let new = || TargetLimit::new(rate, BootNumber(1), Duration::ZERO);
    let mut limits: Vec<TargetLimit> = (0..count).map(|_| new()).collect();
    let mut sent = Vec::new();
    let mut now = Duration::ZERO;
    while now < END {
        for limit in &mut limits {
            if limit.admits(now) {
                limit.record_sent(now);
                sent.push(now);
            }
        }
        now += STEP;
    }
    let within = |from: &Duration| {
        let inside = sent
            .iter()
            .filter(|at| **at >= *from && **at <= *from + WINDOW);
        inside.count()
    };
    let worst = sent.iter().map(within).max().unwrap_or(0);
    let used = f64::from(u32::try_from(sent.len()).unwrap()) / (LIMIT * END.as_secs_f64());
    (worst, used)
}
