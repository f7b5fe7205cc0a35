//! How often heartbeats come, and for how long a node counts without one.

use std::time::Duration;

/// Heartbeat interval in a small deployment. Each heartbeat costs one write of the store, and one
/// read of a node that follows no other.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(4);

/// Number of nodes up to which the heartbeat interval is constant; above it, the interval grows in
/// proportion. Each heartbeat reads about 100 bytes per node: at 410 nodes this reduces 10 KB per
/// second to 1.6.
const BASE_INTERVAL_NODES: usize = 64;

/// Number of intervals without a heartbeat after which a node counts as gone; two heartbeats may be
/// lost.
const EXPIRY_INTERVALS: f64 = 2.75;

/// Fraction of the expiry age after which a node that has written no heartbeat can't tell which others have
/// gone. Less than one, so that it notices before the heartbeats of others in the same state expire.
const BLIND_FRACTION: f64 = 0.6;

/// Number of intervals after a node's first heartbeat by which all others that reach the store count it: they
/// read heartbeats once per interval at least, and count at once.
const COUNTED_INTERVALS: f64 = 2.0;

/// Number of intervals after which a list of the nodes that was not confirmed may lack one that all others
/// count. Less than [`COUNTED_INTERVALS`].
const OUTDATED_INTERVALS: f64 = 1.5;

/// Interval between two heartbeats of a node.
pub fn heartbeat_interval(nodes: usize) -> Duration {
    let scaled = nodes.max(BASE_INTERVAL_NODES);
    let count = |count: usize| f64::from(u32::try_from(count).unwrap_or(u32::MAX));
    HEARTBEAT_INTERVAL.mul_f64(count(scaled) / count(BASE_INTERVAL_NODES))
}

/// Age of a heartbeat from which its node counts as gone.
pub fn expiry_age(nodes: usize) -> Duration {
    heartbeat_interval(nodes).mul_f64(EXPIRY_INTERVALS)
}

/// Age of a node's own last heartbeat from which it can't tell which others have gone.
pub fn blind_age(nodes: usize) -> Duration {
    expiry_age(nodes).mul_f64(BLIND_FRACTION)
}

/// Time since a node's first heartbeat after which all others count it.
pub fn counted_age(nodes: usize) -> Duration {
    heartbeat_interval(nodes).mul_f64(COUNTED_INTERVALS)
}

/// Age of the copy of the heartbeats from which it may lack a node that all others count.
pub fn outdated_age(nodes: usize) -> Duration {
    heartbeat_interval(nodes).mul_f64(OUTDATED_INTERVALS)
}
