//! A node's share of the limit on loads of model weights.

use std::time::Duration;

use serving::load_budget::{LoadBudget, LoadLimit};

fn count_starts(limit: LoadLimit, seconds: u64) -> usize {
    let mut budget = LoadBudget::default();
    let times = (0..seconds * 10).map(|tenth| Duration::from_millis(tenth * 100));
    times.filter(|now| budget.try_start(*now, limit)).count()
}

/// The platform counts loads over another window than usual. With the usual one, a node would start
/// more than its share in a window, and the platform would count it as a violation.
#[test]
fn window_of_settings() {
    let limit = |seconds| LoadLimit {
        rate: 1.0,
        window: Duration::from_secs(seconds),
        nodes: 10,
    };
    assert_eq!(count_starts(limit(20), 20), 2);
    assert_eq!(count_starts(limit(10), 20), 2);
    assert_eq!(count_starts(limit(40), 40), 4);
}

/// A node among hundreds has a share below one load. It must still load a spare now and then.
#[test]
fn one_load_at_least() {
    let limit = LoadLimit {
        rate: 4.0,
        window: Duration::from_secs(5),
        nodes: 410,
    };
    assert_eq!(count_starts(limit, 10), 2);
}
