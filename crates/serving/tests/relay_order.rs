//! Which nodes are asked to connect to a target, and in which order.

use std::time::Duration;

use domain::{FastSet, NodeId};
use serving::relay_order::{MAX_RELAYS, RelayOrder};

fn nodes(count: usize) -> Vec<NodeId> {
    (0..count)
        .map(|number| format!("n{number}").parse().expect("valid id"))
        .collect()
}

/// Two of five relays are partitioned themselves. They are asked last, and the others take turns.
#[test]
fn partitioned_relays() {
    let relays = nodes(5);
    let mut order = RelayOrder::default();
    let now = Duration::from_secs(1);
    order.record_failure(&relays[0], now);
    order.record_failure(&relays[3], now);
    let mut first = FastSet::default();
    for _ in 0..6 {
        let next = order.next(&relays, now);
        assert_eq!(next.len(), MAX_RELAYS);
        assert!(!next.contains(&0) && !next.contains(&3), "{next:?}");
        first.insert(next[0]);
    }
    assert_eq!(first.len(), 3);
}

/// All relays failed. They are asked nevertheless, the one that failed first before the others.
#[test]
fn all_relays_failed() {
    let relays = nodes(3);
    let mut order = RelayOrder::default();
    for (index, relay) in relays.iter().enumerate().rev() {
        let now = Duration::from_millis(1000 - u64::try_from(index).unwrap_or(0) * 100);
        order.record_failure(relay, now);
    }
    assert_eq!(order.next(&relays, Duration::from_secs(1)), [2, 1, 0]);
}

/// A relay that failed is asked again after a while, and at once after a success.
#[test]
fn relay_recovers() {
    let relays = nodes(2);
    let mut order = RelayOrder::default();
    order.record_failure(&relays[0], Duration::ZERO);
    assert_eq!(order.next(&relays, Duration::from_millis(100))[0], 1);
    order.record_success(&relays[0]);
    let firsts: FastSet<usize> = (0..2)
        .map(|_| order.next(&relays, Duration::from_millis(100))[0])
        .collect();
    assert_eq!(firsts.len(), 2);
}
