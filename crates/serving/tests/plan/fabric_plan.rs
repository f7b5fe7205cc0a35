//! Which replicas are opened, closed, formed and prepared for.

use std::time::Duration;

use cases::properties;
use domain::{FastSet, HostId};
use serving::MemberState;
use serving::plan::{CloseMode, HostLifecycle, HostState, PlanStep};

use crate::kit::{Domain, LONG, formed, host, large_replica, member, warm};

fn closed(steps: &[PlanStep]) -> Option<CloseMode> {
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
fn whole_replica_stays() {
    let steps = Domain::of(large_replica(MemberState::Open)).plan();
    assert_eq!(steps, Vec::new());
}

/// A member still loads its weights when the head is ready. Opened now, the replica would take a
/// trader's request that one of its hosts can't work on.
#[test]
fn open_waits_for_all() {
    let mut hosts = large_replica(MemberState::Ready);
    hosts[2] = member("c", "large", "r-1", 2, MemberState::Joining);
    assert!(!opens(&Domain::of(hosts).plan()));
    assert!(opens(&Domain::of(large_replica(MemberState::Ready)).plan()));
}

/// A replica was closed because a host was lost, and the registry still names that host. Opened
/// again, it would accept requests and move none of them.
#[test]
fn spent_replica_stays_shut() {
    let steps = Domain::of(large_replica(MemberState::Ready))
        .spent("r-1")
        .plan();
    assert!(!opens(&steps), "{steps:?}");
}

/// One member dies and a spare holds the weights. Callers of the replica see their streams stop;
/// the three that are left and the spare serve again within a second.
#[test]
fn lost_member_replaced() {
    let mut hosts = large_replica(MemberState::Open);
    hosts[1].silent_for = Some(Duration::ZERO);
    hosts.push(warm("s", "large"));
    let steps = Domain::of(hosts).plan();
    assert_eq!(formed(&steps), [["a", "c", "d", "s"]]);
}

/// One member dies and nobody can replace it. The head goes on accepting requests that never
/// move; it is told to cancel them, so their callers are told at once.
#[test]
fn lost_member_unreplaced() {
    let mut hosts = large_replica(MemberState::Open);
    hosts[1].silent_for = Some(Duration::ZERO);
    let steps = Domain::of(hosts).plan();
    assert_eq!(closed(&steps), Some(CloseMode::Cancel));
    assert!(formed(&steps).is_empty());
}

/// The head itself stops answering. For a moment it may only be slow, so nothing is done; then
/// its members and a spare serve without it.
#[test]
fn dead_head_replaced() {
    let mut hosts = large_replica(MemberState::Open);
    hosts.push(warm("s", "large"));
    hosts[0].silent_for = Some(Duration::from_millis(100));
    assert!(formed(&Domain::of(hosts.clone()).plan()).is_empty());
    hosts[0].silent_for = Some(Duration::from_millis(500));
    assert_eq!(formed(&Domain::of(hosts).plan()), [["b", "c", "d", "s"]]);
}

/// A member is about to leave. Its replica ends what runs instead of dying with it.
#[test]
fn leaving_member_closes() {
    let mut hosts = large_replica(MemberState::Open);
    hosts[3].lifecycle = HostLifecycle::Draining;
    let steps = Domain::of(hosts).plan();
    assert_eq!(closed(&steps), Some(CloseMode::Wait));
}

/// A member is cut off from the registry and works on. Its replica serves as before; taken apart,
/// its callers would lose their streams for nothing. No new replica is built on such a host.
#[test]
fn unlisted_member_kept() {
    let mut hosts = large_replica(MemberState::Open);
    hosts[2].lifecycle = HostLifecycle::Unlisted;
    hosts.push(warm("s", "large"));
    assert_eq!(Domain::of(hosts).plan(), Vec::new());
    let mut spares: Vec<HostState> = ["p", "q", "r", "s"]
        .iter()
        .map(|id| warm(id, "large"))
        .collect();
    spares[0].lifecycle = HostLifecycle::Unlisted;
    assert!(formed(&Domain::of(spares).plan()).is_empty());
}

/// The registry names a head no more, and it answers: it leaves without a word and ends what it
/// took. Nobody takes its members, and it is told to take nothing new.
#[test]
fn unlisted_head_ends() {
    let mut hosts = large_replica(MemberState::Open);
    hosts[0].lifecycle = HostLifecycle::Unlisted;
    hosts.push(warm("e", "large"));
    let steps = Domain::of(hosts.clone()).plan();
    assert_eq!(closed(&steps), Some(CloseMode::Wait));
    assert_eq!(formed(&steps), Vec::<Vec<&str>>::new());
    // Once it is done, the spare takes its place.
    hosts.remove(0);
    let steps = Domain::of(hosts).spent("r-1").plan();
    assert_eq!(formed(&steps), [["b", "c", "d", "e"]]);
}

/// A head that leaves takes no connections any more and still ends what it took. An order would be
/// refused, and its members are not given to others under its streams.
#[test]
fn retired_head_left_alone() {
    let mut hosts = large_replica(MemberState::Open);
    hosts[0].lifecycle = HostLifecycle::Retired;
    hosts.push(warm("e", "large"));
    let steps = Domain::of(hosts).plan();
    assert_eq!(closed(&steps), None);
    assert_eq!(formed(&steps), Vec::<Vec<&str>>::new());
}

/// A replica of the large model ends because one of its hosts leaves, and two spares have both models.
/// With both in a replica of the small model at once, the three hosts that stay would
/// serve nobody: callers of the large model were refused for as long as no new host came.
#[test]
fn successor_keeps_spare() {
    for state in [MemberState::Open, MemberState::Closing] {
        let mut hosts = large_replica(state);
        hosts[2].lifecycle = HostLifecycle::Draining;
        hosts[0].unchanged_for = Duration::ZERO;
        for id in ["e", "f"] {
            let mut spare = warm(id, "small");
            spare.staged.push("large".parse().expect("a model"));
            hosts.push(spare);
        }
        let steps = Domain::of(hosts).plan();
        assert_eq!(formed(&steps), Vec::<Vec<&str>>::new(), "{state:?}");
    }
}

/// Some joins of a new replica are done, others are on their way. Another node that takes these
/// hosts now would break up what is about to serve.
#[test]
fn forming_replica_left_alone() {
    let mut hosts = large_replica(MemberState::Joining);
    hosts.truncate(2);
    for host in &mut hosts {
        host.unchanged_for = Duration::from_millis(50);
    }
    hosts.extend([warm("s", "large"), warm("t", "large")]);
    let steps = Domain::of(hosts.clone()).plan();
    assert!(formed(&steps).is_empty(), "{steps:?}");
    // Whoever formed it died: the hosts are used after a while.
    for host in &mut hosts[..2] {
        host.unchanged_for = LONG;
        if let Some(membership) = &mut host.membership {
            membership.state = MemberState::Ready;
        }
    }
    assert_eq!(formed(&Domain::of(hosts).plan()).len(), 1);
}

/// All hosts are empty when the system starts. Both models get their replica, and the last two
/// hosts become one spare for each.
#[test]
fn first_start_fills() {
    let hosts = (0..8).map(|index| host(&format!("h{index}"))).collect();
    let steps = Domain::of(hosts).loading().plan();
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

/// An empty host comes during the day. A replica that waited for it would wait for a load of many
/// seconds; it becomes a spare first.
#[test]
fn empty_host_warmed() {
    let mut hosts = large_replica(MemberState::Open);
    hosts.push(host("new"));
    let steps = Domain::of(hosts).plan();
    assert!(formed(&steps).is_empty());
    assert!(matches!(steps.as_slice(), [PlanStep::Warm { .. }]));
}

properties! {
    /// Whatever the hosts report, no host is in two steps, and no member of a replica that serves
    /// whole is in any.
    fn steps_share_no_host(states: Vec<(u8, u8, bool, bool)>) -> bool {
        let mut hosts = large_replica(MemberState::Open);
        for (index, (kind, rank, silent, leaving)) in states.into_iter().take(12).enumerate() {
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
            host.lifecycle = if leaving {
                HostLifecycle::Draining
            } else {
                HostLifecycle::Active
            };
            hosts.push(host);
        }
        let steps = Domain::of(hosts).loading().plan();
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
