//! Weighs ways to share a total among nodes: `cargo run --release -p serving --example total_ways`.
//!
//! A simulation without a network, in which three in ten requests want a retry for half a minute while
//! nodes fail in one way, and a target in need states a limit.

#[path = "../../tests/fleet/mod.rs"]
mod fleet;
mod limits;
mod retries;

fn main() {
    retries::print();
    limits::print();
}
