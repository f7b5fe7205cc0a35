//! Compares ways to admit requests under overload, in virtual time.
//!
//! Clients send 1.5 times what the replicas can run for 20 s, and nodes know loads that are 200 ms old.
//! Prints, as parts of the capacity from the third second of the overload on: responses in time, late ones
//! and requests rejected for good; then the part of the requests in time from 2 s after the overload on, and
//! the most clients that return in a tenth of a second, as a multiple of the slots that become free in it.

mod fleet;
mod node;
mod spec;
mod traffic;

use std::time::Duration;

use fleet::play;
use spec::{ChoiceWay, FleetSpec, Mechanisms, Outcome, ReturnWay};
use traffic::{OVERLOAD, overload};

const WAYS: [(&str, Mechanisms); 6] = [
    ("fixed queue", Mechanisms::NONE),
    ("lateness", way(true, ReturnWay::Constant)),
    ("by room", by_room(Mechanisms::NONE)),
    ("both", by_room(way(true, ReturnWay::Constant))),
    ("both, drawn", by_room(way(true, ReturnWay::Drawn))),
    ("both, reserved", Mechanisms::ALL),
];

const fn way(lateness: bool, returns: ReturnWay) -> Mechanisms {
    Mechanisms {
        lateness,
        returns,
        choice: ChoiceWay::Sampled,
    }
}

const fn by_room(mechanisms: Mechanisms) -> Mechanisms {
    Mechanisms {
        choice: ChoiceWay::ByRoom,
        ..mechanisms
    }
}

fn count(outcomes: &[Outcome], is_counted: impl Fn(&Outcome) -> bool) -> f64 {
    let counted = outcomes.iter().filter(|outcome| is_counted(outcome));
    f64::from(u32::try_from(counted.count()).expect("a small number"))
}

fn most_returns(outcomes: &[Outcome], capacity: f64) -> f64 {
    let returns = outcomes.iter().filter_map(|outcome| outcome.returned_at);
    let mut tenths = vec![0_u32; 400];
    for at in returns {
        let tenth = usize::try_from(at.as_millis() / 100).expect("a small number");
        tenths[tenth.min(399)] += 1;
    }
    f64::from(tenths.into_iter().max().unwrap_or(0)) / (capacity / 10.0)
}

fn main() {
    println!("nodes  way                in time  late   rejected  after  returns");
    for spec in [FleetSpec::SIX, FleetSpec::SEVENTY, FleetSpec::THREE_HUNDRED] {
        let arrivals = overload(spec);
        for (name, mechanisms) in WAYS {
            let outcomes = play(spec, mechanisms, &arrivals);
            let (from, to) = OVERLOAD;
            let range = Duration::from_secs(from + 2)..Duration::from_secs(to);
            let possible = spec.capacity() * range.end.saturating_sub(range.start).as_secs_f64();
            let begins =
                |outcome: &Outcome| outcome.first_event.is_some_and(|at| range.contains(&at));
            let in_time = count(&outcomes, |outcome| begins(outcome) && outcome.is_in_time());
            let late = count(&outcomes, |outcome| {
                begins(outcome) && !outcome.is_in_time()
            });
            let rejected = count(&outcomes, |outcome| {
                outcome.first_event.is_none() && range.contains(&outcome.arrival.born)
            });
            let is_after =
                |outcome: &Outcome| outcome.arrival.born >= range.end + Duration::from_secs(2);
            let after = count(&outcomes, |outcome| {
                is_after(outcome) && outcome.is_in_time()
            });
            println!(
                "{:>5}  {name:<17}  {:>7.3}  {:>5.3}  {:>8.3}  {:>5.3}  {:>7.2}",
                spec.nodes,
                in_time / possible,
                late / possible,
                rejected / possible,
                after / count(&outcomes, is_after),
                most_returns(&outcomes, spec.capacity()),
            );
        }
    }
}
