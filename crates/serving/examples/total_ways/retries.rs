//! Ways to share the extra retries.

use std::time::Duration;

use serving::retry_budget::RetryLimits;

use crate::fleet::{Draws, Fleet, STEP};

/// Fleets that are compared: nodes, and extra retries of deployments of that size.
const FLEETS: [(usize, f64); 3] = [(6, 130.0), (60, 258.0), (300, 696.0)];

/// Requests per node in a step.
const REQUESTS_PER_STEP: u64 = 4;

/// When attempts begin to fail and when the simulation ends.
const FAILING_FROM: Duration = Duration::from_secs(40);
const END: Duration = Duration::from_secs(80);

/// When the store turns nodes away, so that heartbeats have expired when attempts begin to fail.
const CUT_AT: Duration = Duration::from_secs(29);

/// Fraction of each part that a node uses if it divides by the nodes that it counts.
const EQUAL_FRACTION: f64 = 0.7;

/// Fraction of what is earned, where nodes use nothing but that.
const EARNED_FRACTION: f64 = 0.7;

/// How nodes share the extra retries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ShareWay {
    /// Equal parts, by the nodes that each counts.
    Counted,
    /// Only what a node's own requests earn.
    Earned,
    /// Slots leased from the store.
    Leased,
}

/// What fails beside the targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NodeFault {
    None,
    /// The store turns all nodes but one away.
    TurnedAway,
    /// Nodes are killed in turn, each once in ten seconds.
    Killed,
    /// Both.
    Both,
}

/// Retries of one node that divides by its count, or uses only what it earns.
#[derive(Debug, Default)]
struct PlainBudget {
    requests: Vec<Duration>,
    retries: Vec<Duration>,
}

impl PlainBudget {
    fn take(&mut self, now: Duration, limits: RetryLimits, fraction: f64, extra: f64) -> bool {
        let from = now.saturating_sub(limits.window);
        self.requests.retain(|at| *at >= from);
        self.retries.retain(|at| *at >= from);
        let count = |moments: &[Duration]| f64::from(u32::try_from(moments.len()).unwrap());
        let allowed = fraction * (limits.ratio * count(&self.requests) + extra);
        let is_allowed = allowed - count(&self.retries) >= 1.0;
        if is_allowed {
            self.retries.push(now);
        }
        is_allowed
    }
}

/// Outcome of one run.
struct Outcome {
    /// Retries beyond the allowed in the worst window.
    excess: f64,
    /// Retries that were not made, of those wanted.
    denied: f64,
    /// Time from a restart of all nodes until all have a part again.
    all_back: Option<Duration>,
}

/// Prints a row for each fleet, way and fault.
pub fn print() {
    println!(
        "nodes, way, fault: over the bound (negative: within), retries denied, s until all have a part"
    );
    for (nodes, extra) in FLEETS {
        let limits = RetryLimits {
            window: Duration::from_secs(10),
            ratio: 0.2,
            extra,
        };
        for way in [ShareWay::Counted, ShareWay::Earned, ShareWay::Leased] {
            for fault in [
                NodeFault::None,
                NodeFault::TurnedAway,
                NodeFault::Killed,
                NodeFault::Both,
            ] {
                let outcome = play(nodes, limits, way, fault);
                let back = outcome.all_back.map_or_else(
                    || "-".to_owned(),
                    |after| format!("{:.1}", after.as_secs_f64()),
                );
                println!(
                    "{nodes}, {way:?}, {fault:?}: {:.0}, {:.2}, {back}",
                    outcome.excess, outcome.denied
                );
            }
        }
    }
}

// The index names a node in two lists.
#[allow(clippy::needless_range_loop)]
fn play(nodes: usize, limits: RetryLimits, way: ShareWay, fault: NodeFault) -> Outcome {
    let mut draws = Draws::new(52);
    let mut fleet = Fleet::new(limits, nodes);
    let mut budgets: Vec<PlainBudget> = (0..nodes).map(|_| PlainBudget::default()).collect();
    let mut wanted = 0;
    let is_cut = matches!(fault, NodeFault::TurnedAway | NodeFault::Both);
    let is_killed = matches!(fault, NodeFault::Killed | NodeFault::Both);
    let mut now = Duration::ZERO;
    while now < END {
        for index in 0..nodes {
            if is_cut && now == CUT_AT && index > 0 {
                fleet.nodes[index].turned_away_until = END;
            }
            let turn = STEP * u32::try_from(index * 40 / nodes).unwrap();
            let is_turn =
                now >= turn && now.saturating_sub(turn).as_millis().is_multiple_of(10_000);
            if is_killed && now >= FAILING_FROM && is_turn {
                fleet.restart(index, now);
                budgets[index] = PlainBudget::default();
            }
            let counted = if is_cut && now >= FAILING_FROM {
                1
            } else {
                nodes
            };
            fleet.claim(index, now, counted);
            for _ in 0..REQUESTS_PER_STEP {
                let is_retried = now >= FAILING_FROM && draws.below(10) < 3;
                wanted += usize::from(is_retried);
                if way == ShareWay::Leased {
                    fleet.request(index, now, usize::from(is_retried));
                    continue;
                }
                fleet.requests.push(now);
                budgets[index].requests.push(now);
                let part = f64::from(u32::try_from(counted).unwrap());
                let (fraction, extra) = match way {
                    ShareWay::Counted => (EQUAL_FRACTION, limits.extra / part),
                    ShareWay::Earned | ShareWay::Leased => (EARNED_FRACTION, 0.0),
                };
                if is_retried && budgets[index].take(now, limits, fraction, extra) {
                    fleet.retries.push(now);
                }
            }
        }
        now += STEP;
    }
    let made = f64::from(u32::try_from(fleet.retries.len()).unwrap());
    Outcome {
        excess: fleet.worst_excess(),
        denied: 1.0 - made / f64::from(u32::try_from(wanted).unwrap()),
        all_back: (way == ShareWay::Leased && fault == NodeFault::None)
            .then(|| time_until_back(nodes, limits)),
    }
}

/// Time from a restart of all nodes until each that had a part has one again.
fn time_until_back(nodes: usize, limits: RetryLimits) -> Duration {
    let mut fleet = Fleet::new(limits, nodes);
    let mut now = Duration::ZERO;
    while now < FAILING_FROM {
        for index in 0..nodes {
            fleet.claim(index, now, nodes);
        }
        now += STEP;
    }
    let holders = |fleet: &Fleet, now| {
        let usable = fleet
            .nodes
            .iter()
            .filter(|node| node.ledger.usable(now) > 0);
        usable.count()
    };
    let before = holders(&fleet, now);
    for index in 0..nodes {
        fleet.restart(index, now);
    }
    while now < END && holders(&fleet, now) < before {
        now += STEP;
        for index in 0..nodes {
            fleet.claim(index, now, nodes);
        }
    }
    now.saturating_sub(FAILING_FROM)
}
