//! Compares ways to follow a store that comes back from a copy, in virtual time.
//!
//! The store is away for a second and comes back from a copy that is 0.3 s or 4 s old. The operator writes the lost
//! revision again after 1 s and the next one after 3.2 s; a target in ten writes its entry once in the first second, the
//! others every 4 s. A whole registry takes 1.8 KB a node. Prints, for each number of nodes, from the return on:
//! until when all nodes act on the lost revision, how long the next one takes to all of them, until when all lost
//! heartbeats are back and how many are written at once; calls to the store and bytes of rows in 5 s; seconds that
//! nodes serve by an older configuration or without targets; versions taken in against those of another era; and
//! rows that differ from the store's at the end.

mod figures;
mod fleet;
mod heartbeats;
mod node;
mod reads;
mod store;
mod writers;

use std::time::Duration;

use fleet::{FleetSpec, play};
use node::EraWay;

/// Ages of the copy when the store goes away.
const COPY_AGES: [Duration; 2] = [Duration::from_millis(300), Duration::from_secs(4)];

fn main() {
    println!(
        "nodes  copy   way             again s  next s  beats s  beats/0.1 s  calls/0.1 s  calls      KB  behind s  misordered  wrong"
    );
    for nodes in [6, 60, 300] {
        for copy_age in COPY_AGES {
            for way in EraWay::ALL {
                let spec = FleetSpec {
                    nodes,
                    copy_age,
                    seed: 71,
                };
                print_row(spec, way);
            }
        }
    }
}

fn print_row(spec: FleetSpec, way: EraWay) {
    let figures = play(spec, way);
    println!(
        "{:>5}  {:>3.1} s  {:<14}  {:>7}  {:>6}  {:>7}  {:>11}  {:>11}  {:>5}  {:>6}  {:>8.1}  {:>10}  {:>5}",
        spec.nodes,
        spec.copy_age.as_secs_f64(),
        way.name(),
        seconds(figures.again),
        seconds(figures.next),
        seconds(figures.heartbeats),
        figures.most_heartbeats,
        figures.most_calls,
        figures.calls,
        figures.bytes / 1000,
        figures.behind,
        figures.misordered,
        figures.wrong_rows,
    );
}

fn seconds(time: Option<Duration>) -> String {
    time.map_or_else(
        || "never".to_owned(),
        |time| format!("{:.2}", time.as_secs_f64()),
    )
}
