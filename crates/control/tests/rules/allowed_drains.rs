//! How many replicas of a model may be drained while its versions change.

use control::assembly::ModelCounts;

/// Guards against a loss of capacity when a record names a new version and no hosts are free: at
/// most one replica in twenty may be missing.
#[test]
fn without_free_hosts() {
    let all = ModelCounts {
        active: 20,
        serving: 20,
    };
    assert_eq!(all.allowed_drains(20, false), 1);
    let one_loads = ModelCounts {
        active: 20,
        serving: 19,
    };
    assert_eq!(one_loads.allowed_drains(20, false), 0);
}

/// Guards against draining the old version too early when hosts are free for the new one: no old
/// replica is drained before a new one serves.
#[test]
fn new_version_serves_first() {
    let before = ModelCounts {
        active: 2,
        serving: 2,
    };
    assert_eq!(before.allowed_drains(2, true), 0);
    let loading = ModelCounts {
        active: 3,
        serving: 2,
    };
    assert_eq!(loading.allowed_drains(2, false), 0);
    let serving = ModelCounts {
        active: 3,
        serving: 3,
    };
    assert_eq!(serving.allowed_drains(2, false), 1);
}

#[test]
fn undesired_model() {
    let all = ModelCounts {
        active: 3,
        serving: 3,
    };
    assert_eq!(all.allowed_drains(0, false), 3);
}
