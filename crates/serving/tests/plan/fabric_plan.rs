//! Steps for a fabric domain: which replicas are opened, closed and formed, and which spares load.

use std::time::Duration;

use cases::properties;
use domain::{FastSet, HostId};
use serving::MemberState;
use serving::plan::{CloseMode, HostLifecycle, HostState, PlanStep};

use crate::fixtures::{Domain, LONG_AGO, formed, host, large_replica, member, warm};

/// Returns the mode in which the first replica is closed, if any is.
fn closed_with(steps: &[PlanStep]) -> Option<CloseMode> {
    steps.iter().find_map(|step| match step {
        PlanStep::Close { mode, .. } => Some(*mode),
        _ => None,
    })
}

fn opens(steps: &[PlanStep]) -> bool {
    steps
        .iter()
        .any(|step| matches!(step, PlanStep::Open { .. }))
}

#[test]
fn intact_replica_needs_no_step() {
    let steps = Domain::new(large_replica(MemberState::Open)).plan();
    assert_eq!(steps, Vec::new());
}

/// While a member still loads its weights, the replica must not open, or it would accept requests
/// that one of its hosts can't work on.
#[test]
fn open_waits_for_all_members() {
    let mut hosts = large_replica(MemberState::Ready);
    hosts[2] = member("c", "large", "r-1", 2, MemberState::Joining);
    assert!(!opens(&Domain::new(hosts).plan()));
    assert!(opens(
        &Domain::new(large_replica(MemberState::Ready)).plan()
    ));
}

/// A replica was closed because a host was lost, and the registry still lists that host. If it were
/// opened again, it would accept requests that make no progress.
#[test]
fn closed_replica_not_reopened() {
    let steps = Domain::new(large_replica(MemberState::Ready))
        .never_reopen("r-1")
        .plan();
    assert!(!opens(&steps), "{steps:?}");
}

/// If a member is lost and a spare has the weights, the remaining members and the spare form a new
/// replica, so that clients whose streams stopped are served again within a second.
#[test]
fn lost_member_replaced() {
    let mut hosts = large_replica(MemberState::Open);
    hosts[1].silent_for = Some(Duration::ZERO);
    hosts.push(warm("s", "large"));
    let steps = Domain::new(hosts).plan();
    assert_eq!(formed(&steps), [["a", "c", "d", "s"]]);
}

/// If a member is lost and no host can replace it, the head keeps accepting requests that make no
/// progress. It is told to cancel them, so that their clients get a response at once.
#[test]
fn irreplaceable_member_closes() {
    let mut hosts = large_replica(MemberState::Open);
    hosts[1].silent_for = Some(Duration::ZERO);
    let steps = Domain::new(hosts).plan();
    assert_eq!(closed_with(&steps), Some(CloseMode::Cancel));
    assert!(formed(&steps).is_empty());
}

/// A head that stops responding may only be slow, so there is no step at first. After the timeout
/// its members and a spare form a new replica without it.
#[test]
fn silent_head_replaced() {
    let mut hosts = large_replica(MemberState::Open);
    hosts.push(warm("s", "large"));
    hosts[0].silent_for = Some(Duration::from_millis(100));
    assert!(formed(&Domain::new(hosts.clone()).plan()).is_empty());
    hosts[0].silent_for = Some(Duration::from_millis(500));
    assert_eq!(formed(&Domain::new(hosts).plan()), [["b", "c", "d", "s"]]);
}

/// If a member drains, its replica completes its requests before the member leaves.
#[test]
fn draining_member_closes() {
    let mut hosts = large_replica(MemberState::Open);
    hosts[3].lifecycle = HostLifecycle::Draining;
    let steps = Domain::new(hosts).plan();
    assert_eq!(closed_with(&steps), Some(CloseMode::Wait));
}

/// A member that is cut off from the registry still works, so its replica keeps serving; to close
/// it would cut off streams for no reason. Such a host does not join a new replica.
#[test]
fn unlisted_member_kept() {
    let mut hosts = large_replica(MemberState::Open);
    hosts[2].lifecycle = HostLifecycle::Unlisted;
    hosts.push(warm("s", "large"));
    assert_eq!(Domain::new(hosts).plan(), Vec::new());
    let mut spares: Vec<HostState> = ["p", "q", "r", "s"]
        .iter()
        .map(|id| warm(id, "large"))
        .collect();
    spares[0].lifecycle = HostLifecycle::Unlisted;
    assert!(formed(&Domain::new(spares).plan()).is_empty());
}

/// A head that is no longer in the registry but responds is leaving unannounced and completes its
/// requests. It is closed, and until then its members stay with it.
#[test]
fn unlisted_head_closes() {
    let mut hosts = large_replica(MemberState::Open);
    hosts[0].lifecycle = HostLifecycle::Unlisted;
    hosts.push(warm("e", "large"));
    let steps = Domain::new(hosts.clone()).plan();
    assert_eq!(closed_with(&steps), Some(CloseMode::Wait));
    assert_eq!(formed(&steps), Vec::<Vec<&str>>::new());
    // Once the head is gone, the spare replaces it.
    hosts.remove(0);
    let steps = Domain::new(hosts).never_reopen("r-1").plan();
    assert_eq!(formed(&steps), [["b", "c", "d", "e"]]);
}

/// A retired head accepts no connections and still completes its requests. It would refuse an
/// order, and its members must not join other replicas while its streams run.
#[test]
fn retired_head_left_alone() {
    let mut hosts = large_replica(MemberState::Open);
    hosts[0].lifecycle = HostLifecycle::Retired;
    hosts.push(warm("e", "large"));
    let steps = Domain::new(hosts).plan();
    assert_eq!(closed_with(&steps), None);
    assert_eq!(formed(&steps), Vec::<Vec<&str>>::new());
}

/// A replica of the large model closes because one of its hosts drains, and two spares have both
/// models. When both spares formed a replica of the small model at once, the three remaining hosts
/// stayed idle, and clients of the large model were refused until a new host came.
#[test]
fn spare_reserved_for_successor() {
    for state in [MemberState::Open, MemberState::Closing] {
        let mut hosts = large_replica(state);
        hosts[2].lifecycle = HostLifecycle::Draining;
        hosts[0].unchanged_for = Duration::ZERO;
        for id in ["e", "f"] {
            let mut spare = warm(id, "small");
            spare.staged.push("large".parse().expect("a model"));
            hosts.push(spare);
        }
        let steps = Domain::new(hosts).plan();
        assert_eq!(formed(&steps), Vec::<Vec<&str>>::new(), "{state:?}");
    }
}

/// Some members of a new replica have joined, and orders to the others are in flight. Another node
/// must not use these hosts now, or it would break up a replica that is about to serve.
#[test]
fn forming_replica_left_alone() {
    let mut hosts = large_replica(MemberState::Joining);
    hosts.truncate(2);
    for host in &mut hosts {
        host.unchanged_for = Duration::from_millis(50);
    }
    hosts.extend([warm("s", "large"), warm("t", "large")]);
    let steps = Domain::new(hosts.clone()).plan();
    assert!(formed(&steps).is_empty(), "{steps:?}");
    // If the node that formed it has failed, the hosts are used after a timeout.
    for host in &mut hosts[..2] {
        host.unchanged_for = LONG_AGO;
        if let Some(membership) = &mut host.membership {
            membership.state = MemberState::Ready;
        }
    }
    assert_eq!(formed(&Domain::new(hosts).plan()).len(), 1);
}

/// All hosts are empty when the system starts. Both models get their replica, and the last two
/// hosts become one spare for each.
#[test]
fn first_start_uses_all_hosts() {
    let hosts = (0..8).map(|index| host(&format!("h{index}"))).collect();
    let steps = Domain::new(hosts).loading().plan();
    assert_eq!(formed(&steps).len(), 2);
    let warmed: Vec<&str> = steps
        .iter()
        .filter_map(|step| match step {
            PlanStep::Warm { model, .. } => Some(model.as_str()),
            _ => None,
        })
        .collect();
    assert_eq!(warmed, ["large", "small"]);
}

/// An empty host that comes later first loads a model as a spare. A replica with it would have to
/// wait many seconds for that load.
#[test]
fn empty_host_warmed() {
    let mut hosts = large_replica(MemberState::Open);
    hosts.push(host("new"));
    let steps = Domain::new(hosts).plan();
    assert!(formed(&steps).is_empty());
    assert!(matches!(steps.as_slice(), [PlanStep::Warm { .. }]));
}

properties! {
    /// Whatever the hosts report, no host is in two steps, and no member of an intact serving
    /// replica is in any.
    fn steps_share_no_host(states: Vec<(u8, u8, bool, bool)>) -> bool {
        let mut hosts = large_replica(MemberState::Open);
        for (index, (kind, rank, silent, draining)) in states.into_iter().take(12).enumerate() {
            let id = format!("x{index}");
            let states = [
                MemberState::Joining,
                MemberState::Ready,
                MemberState::Open,
                MemberState::Closing,
                MemberState::Broken,
            ];
            let replica = format!("r-{}", 2 + kind % 4);
            let mut host = match kind % 7 {
                0 => host(&id),
                1 => warm(&id, "small"),
                2 => warm(&id, "large"),
                _ => member(&id, "large", &replica, u32::from(rank % 5), states[usize::from(rank % 5)]),
            };
            host.silent_for = silent.then_some(Duration::from_secs(1));
            host.lifecycle = if draining {
                HostLifecycle::Draining
            } else {
                HostLifecycle::Active
            };
            hosts.push(host);
        }
        let steps = Domain::new(hosts).loading().plan();
        let mut seen: FastSet<HostId> = FastSet::default();
        for step in &steps {
            for host in step.hosts() {
                if ["a", "b", "c", "d"].contains(&host.as_str()) || !seen.insert(host.clone()) {
                    return false;
                }
            }
        }
        true
    }
}
