//! Number of replicas of an old version that may be drained at a time.

use policy::rollout::allowed_drains;

/// The number follows the serving replicas, a model with few replicas still makes progress, and a
/// model that is no longer desired may be drained at once.
#[test]
fn allowed_drains_follow_serving_replicas() {
    assert_eq!(allowed_drains(20, 20, 20), 1);
    assert_eq!(allowed_drains(20, 19, 20), 0);
    assert_eq!(allowed_drains(20, 24, 20), 5);
    assert_eq!(allowed_drains(3, 3, 20), 1);
    assert_eq!(allowed_drains(0, 7, 20), 7);
}
