//! How many replicas of a model may be drained while it goes over to others.

use control::assembly::ModelCounts;

/// A record names a new version and nothing is free: one replica in twenty may be missing, so that
/// callers notice no dip.
#[test]
fn part_at_a_time() {
    let all = ModelCounts {
        standing: 20,
        serving: 20,
    };
    assert_eq!(all.drain_room(20, false), 1);
    let one_loads = ModelCounts {
        standing: 20,
        serving: 19,
    };
    assert_eq!(one_loads.drain_room(20, false), 0);
}

/// Hosts are free for the new version: nothing of the old one goes before the new one serves.
#[test]
fn new_ones_first() {
    let before = ModelCounts {
        standing: 2,
        serving: 2,
    };
    assert_eq!(before.drain_room(2, true), 0);
    let loading = ModelCounts {
        standing: 3,
        serving: 2,
    };
    assert_eq!(loading.drain_room(2, false), 0);
    let serving = ModelCounts {
        standing: 3,
        serving: 3,
    };
    assert_eq!(serving.drain_room(2, false), 1);
}

#[test]
fn unwanted_model_goes() {
    let all = ModelCounts {
        standing: 3,
        serving: 3,
    };
    assert_eq!(all.drain_room(0, false), 3);
}
