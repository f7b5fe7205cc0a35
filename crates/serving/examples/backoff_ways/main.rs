//! Compares ways to follow the backoffs that targets ask nodes for, in virtual time.
//!
//! Half of the targets reject all requests for a while and ask for a backoff each time; one send in twenty
//! waits for a connection between the choice of its target and its first byte. Prints, for each number of
//! nodes, what reached a target from a node in a backoff, what was lost, and what comes back at its end.

mod fleet;

use fleet::{BackoffWay, FleetSpec, play};

fn main() {
    println!(
        "nodes  way           most in a backoff  over the bound  asked again  in 0.1 s  in time"
    );
    for nodes in [6, 60, 300] {
        for way in BackoffWay::ALL {
            let spec = FleetSpec { nodes, seed: 55 };
            let figures = play(spec, way);
            println!(
                "{nodes:>5}  {:<12}  {:>17}  {:>14}  {:>11}  {:>8}  {:>7.4}",
                way.name(),
                figures.most_in_backoff,
                figures.over_bound,
                figures.asked_again,
                figures.most_at_return,
                figures.in_time,
            );
        }
    }
}
