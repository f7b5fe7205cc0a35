//! Counters at the end of their range, as a row of another writer may state them.

use std::time::Duration;

use domain::lease::LeaseRecord;
use domain::{ConfigRevision, LeaseEpoch, NodeId};

/// Guards against a counter that starts again at 0, below all others, or ends the process.
#[test]
fn nothing_follows_last_number() {
    assert_eq!(ConfigRevision(6).next(), Some(ConfigRevision(7)));
    assert_eq!(ConfigRevision(u64::MAX).next(), None);
    let node: NodeId = "n0".parse().expect("a name");
    let ttl = Duration::from_secs(3);
    let last_epoch = LeaseRecord {
        epoch: LeaseEpoch(u64::MAX),
        ..LeaseRecord::default()
    };
    assert_eq!(last_epoch.acquired(&node, Duration::ZERO, ttl), None);
    let last_renewal = LeaseRecord {
        holder: Some(node.clone()),
        renewals: u64::MAX,
        ..LeaseRecord::default()
    };
    assert_eq!(last_renewal.renewed(&node), None);
    assert_eq!(last_renewal.released(&node), None);
}
