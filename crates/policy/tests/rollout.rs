//! How many replicas of an old version may be drained at a time.

use policy::rollout::allowed_drains;

/// The room follows what serves, a model of few replicas still gets on, and one that nobody wants
/// goes at once.
#[test]
fn room_follows_serving() {
    assert_eq!(allowed_drains(20, 20, 20), 1);
    assert_eq!(allowed_drains(20, 19, 20), 0);
    assert_eq!(allowed_drains(20, 24, 20), 5);
    assert_eq!(allowed_drains(3, 3, 20), 1);
    assert_eq!(allowed_drains(0, 7, 20), 7);
}
