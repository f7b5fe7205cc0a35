//! What a node remembers of replicas that come and go.

use domain::{BootNumber, HostId};
use serving::replica_history::ReplicaHistory;
use serving::{MemberState, ReplicaMembership, TargetEntry, TargetRegistry, TargetState};

fn membership(number: u64) -> ReplicaMembership {
    ReplicaMembership {
        replica: format!("r-{number}").parse().expect("valid name"),
        epoch: number,
        rank: 0,
        state: MemberState::Open,
    }
}

fn entry(id: &HostId, membership: ReplicaMembership) -> TargetEntry {
    TargetEntry {
        id: id.clone(),
        service: "assistant".parse().expect("valid name"),
        address: ([127, 0, 0, 1], 80).into(),
        domain: "z0".parse().expect("valid name"),
        slots: 8,
        state: TargetState::Ready,
        boot: BootNumber(1),
        fabric: None,
        loaded: None,
        staged: Vec::new(),
        membership: Some(membership),
    }
}

/// A node runs for months while replicas are formed and repaired. Its memory must not grow with
/// them, and what it knows of a replica that exists must stay.
#[test]
fn bounded_over_time() {
    let host: HostId = "h1".parse().expect("valid id");
    let mut history = ReplicaHistory::default();
    let mut registry = TargetRegistry::default();
    registry.put(entry(&host, membership(0)));
    history.record(&host, &membership(0));
    for number in 1..20_000 {
        history.record(&host, &membership(number));
        history.prune(&registry);
        assert!(history.never_reopen().len() <= 2_049);
    }
    assert_eq!(history.last_head(&membership(0).key()), Some(&host));
    assert!(history.never_reopen().contains(&membership(0).key()));
}
