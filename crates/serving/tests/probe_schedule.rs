//! Many nodes hear at the same time of hosts that lost the store, and each could probe them all.

use std::time::Duration;

use serving::probe_schedule::{
    MAX_ACTIVE_RANK, PROBE_INTERVAL, suspect_interval, unlisted_interval,
};

fn probes_per_s(nodes: usize) -> f64 {
    let rates = (0..nodes).map(|rank| 1.0 / unlisted_interval(rank).as_secs_f64());
    rates.sum()
}

/// Guards against probes that grow with nodes times hosts: 295 nodes sent 237,000 in 34 seconds.
#[test]
fn bounded_for_any_fleet() {
    assert!(probes_per_s(295) < 2.0 * probes_per_s(MAX_ACTIVE_RANK + 1));
    assert!(probes_per_s(4_000) < 1.1 * probes_per_s(295));
}

/// Guards against a dead host that nobody probes because the nodes that plan for it are gone.
#[test]
fn later_nodes_take_over() {
    assert!(unlisted_interval(MAX_ACTIVE_RANK + 1) < 2 * PROBE_INTERVAL);
    for rank in 0..400 {
        assert!(unlisted_interval(rank) <= unlisted_interval(rank + 1));
    }
}

/// Guards against a small deployment in which fewer nodes probe than before.
#[test]
fn small_deployments_probe_alike() {
    for rank in 0..=MAX_ACTIVE_RANK {
        assert_eq!(unlisted_interval(rank), PROBE_INTERVAL);
        assert_eq!(suspect_interval(rank, 9), PROBE_INTERVAL);
    }
}

/// Guards against a returned host that a node goes on avoiding for long.
#[test]
fn suspicion_is_checked_again() {
    let total: Duration = (0..4).map(|probes| suspect_interval(300, probes)).sum();
    assert!(total < Duration::from_secs(11));
    assert_eq!(suspect_interval(300, 0), PROBE_INTERVAL);
    assert_eq!(suspect_interval(300, 40), suspect_interval(300, 41));
}
