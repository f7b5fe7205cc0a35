//! Asking a second target when the first token does not come.

#[path = "../examples/compare/baseline/mod.rs"]
mod baseline;
mod driver;

use std::time::Duration;

use driver::callers::steady;
use driver::{Driver, RunResult, Setup};
use policy::hedge::{HedgeBudget, HedgeCase, HedgeSettings};
use rand::Rng;

/// A late attempt of idempotent work with a slot free.
const LATE: HedgeCase = HedgeCase {
    idempotent: true,
    free_slots: 1,
    waiting: 0,
};

fn run(hedges: bool, times: f64) -> RunResult {
    let mut setup = Setup {
        entries: 2,
        hedges,
        ..Setup::plain(20, 6)
    };
    setup.engines[3].slow = (60.0, 10.0, 30.0);
    let rate = setup.capacity(400, 100) * times / 1.35;
    let calls = steady(7, rate, (0.0, 40.0), |call, rng| {
        call.entry = rng.random_range(0..2);
        if rng.random_bool(0.1) {
            call.prompt *= 8;
            call.answer *= 4;
        }
    });
    Driver::new(&setup).run(&calls)
}

/// An engine among nearly full ones stalls. Those whose requests it has wait for seconds, though
/// another engine could answer.
#[test]
fn second_target_cuts_the_tail() {
    let (with, without) = (run(true, 0.9), run(false, 0.9));
    let tail = |result: &RunResult| result.first_token(0.99, |job| job.call.at > 5.0);
    assert!(
        tail(&with) < tail(&without) * 0.95,
        "{} against {}",
        tail(&with),
        tail(&without)
    );
    assert!(with.hedges * 20 <= with.jobs.len() + 200);
}

/// Demand is twice the capacity. Second attempts must not take the slots of first ones.
#[test]
fn full_load_loses_nothing() {
    let goodput = |hedges| run(hedges, 2.0).goodput(10.0, 40.0);
    let (with, without) = (goodput(true), goodput(false));
    assert!(with > without * 0.97, "{with} against {without}");
}

/// Everything is slow at once. One in twenty is asked again, not each.
#[test]
fn slow_fleet_is_not_doubled() {
    let mut budget = HedgeBudget::new(HedgeSettings::default());
    let mut hedges = 0;
    for _ in 0..2_000 {
        budget.note_sent();
        hedges += usize::from(budget.take(&LATE));
    }
    assert!((95..=110).contains(&hedges), "{hedges} of 2000");
}

/// A fee payment whose answer is late is not sent a second time, whatever budget is left.
#[test]
fn payments_are_not_hedged() {
    let mut budget = HedgeBudget::new(HedgeSettings::default());
    let payment = HedgeCase {
        idempotent: false,
        ..LATE
    };
    assert!(!budget.take(&payment));
    assert!(!budget.take(&HedgeCase { waiting: 1, ..LATE }));
    assert!(budget.take(&LATE));
    assert_eq!(
        budget.wait(Duration::from_millis(10)),
        Duration::from_millis(300)
    );
    assert_eq!(budget.wait(Duration::from_secs(1)), Duration::from_secs(4));
}
