//! Which failures of connections count as lost paths, and which as a partition from all targets.

use std::time::Duration;

use cases::properties;
use domain::HostId;
use serving::target_paths::{PathChange, PathLoss, TargetPaths};

fn host(number: u8) -> HostId {
    format!("h{number}").parse().expect("valid id")
}

const fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A target that refuses this node but not another one has a lost path at once; a second one shows a
/// partition, in which all others are reached through other nodes as well.
#[test]
fn refused_by_several() {
    let mut paths = TargetPaths::default();
    paths.record_connected(&host(0), at(500));
    let change = paths.record_lost(&host(1), PathLoss::Refused, at(1000));
    assert_eq!(change, PathChange::Path);
    assert!(paths.is_lost(&host(1)) && !paths.is_lost(&host(2)));
    let change = paths.record_lost(&host(2), PathLoss::Refused, at(1010));
    assert_eq!(change, PathChange::Partition);
    assert!(paths.is_lost(&host(3)));
    assert!(
        !paths.is_silent(&host(3)),
        "open connections may still work"
    );
}

/// A link loses single packets while others arrive. No path counts as lost, so no open connection is
/// given up.
#[test]
fn single_lost_packets() {
    let mut paths = TargetPaths::default();
    for round in 0..50 {
        let now = at(100 * round);
        let change = paths.record_lost(&host(1), PathLoss::Silent, now);
        assert_eq!(change, PathChange::None);
        paths.record_received(&host(1), now + at(10));
        paths.record_lost(&host(2), PathLoss::Silent, now + at(20));
        paths.record_received(&host(2), now + at(30));
    }
    assert_eq!(paths.partition(), None);
    assert_eq!(paths.lost_count(), 0);
}

/// Connections to two targets are lost in silence, and nothing arrives in between. Open connections to
/// all targets are dead then.
#[test]
fn silent_partition() {
    let mut paths = TargetPaths::default();
    paths.record_received(&host(3), at(900));
    paths.record_lost(&host(1), PathLoss::Silent, at(1000));
    let change = paths.record_lost(&host(2), PathLoss::Silent, at(1050));
    assert_eq!(change, PathChange::Partition);
    assert!(paths.is_silent(&host(3)));
}

/// The paths to some targets are lost and others work. A check of one that works ends the partition,
/// and only the lost ones are reached through other nodes.
#[test]
fn half_partition() {
    let mut paths = TargetPaths::default();
    paths.record_lost(&host(1), PathLoss::Refused, at(1000));
    paths.record_lost(&host(2), PathLoss::Refused, at(1010));
    let others = [host(1), host(2), host(3)];
    let checks = paths.due_checks(&others, at(1600));
    assert!(checks.contains(&host(3)), "{checks:?}");
    let change = paths.record_connected(&host(3), at(1600));
    assert_eq!(change, PathChange::Partition);
    assert!(paths.is_lost(&host(1)) && paths.is_lost(&host(2)));
    assert!(!paths.is_lost(&host(3)));
}

/// After a partition, each lost path is checked, and used again once a connection is established.
#[test]
fn healed_partition() {
    let mut paths = TargetPaths::default();
    for number in 0..20 {
        paths.record_lost(&host(number), PathLoss::Silent, at(1000));
        paths.record_lost(&host(number), PathLoss::Silent, at(1001));
    }
    paths.record_connected(&host(0), at(5000));
    let mut now = at(5000);
    while paths.lost_count() > 0 {
        for id in paths.due_checks(&[], now) {
            paths.record_connected(&id, now);
        }
        now += at(250);
        assert!(
            now < at(6000),
            "{} paths are not checked",
            paths.lost_count()
        );
    }
}

/// Connections to two targets break at once. Idle ones to all others are not to be trusted either; those
/// of a target that crashed alone say nothing of the others.
#[test]
fn broken_together() {
    let mut paths = TargetPaths::default();
    assert!(!paths.record_broken(&host(1), at(1000)));
    assert!(!paths.record_broken(&host(1), at(1010)));
    assert!(paths.record_broken(&host(2), at(1020)));
    assert!(!paths.record_broken(&host(3), at(2000)));
}

/// Other nodes are asked less and less often about a target that they don't reach either.
#[test]
fn denied_target() {
    let mut paths = TargetPaths::default();
    let mut asked = 0;
    for step in 0..100 {
        let now = at(100 * step);
        if !paths.is_denied(&host(1), now) {
            asked += 1;
            paths.record_denied(&host(1), now);
        }
    }
    assert!(asked <= 6, "asked {asked} times in ten seconds");
}

properties! {
    /// Whatever was lost before, a connection that this node established itself ends a partition and
    /// restores that path.
    fn own_connection_restores(lost: Vec<(u8, bool, u16)>, restored: u8) -> bool {
        let mut paths = TargetPaths::default();
        let mut now = Duration::ZERO;
        for (number, is_silent, pause) in lost {
            now += at(u64::from(pause));
            let loss = if is_silent { PathLoss::Silent } else { PathLoss::Refused };
            paths.record_lost(&host(number), loss, now);
        }
        paths.record_connected(&host(restored), now + at(1));
        paths.partition().is_none() && !paths.is_lost(&host(restored))
    }

    /// Without any loss no target is reached through another node, and no path is checked.
    fn nothing_lost(received: Vec<u8>) -> bool {
        let mut paths = TargetPaths::default();
        for (index, number) in received.iter().enumerate() {
            let now = at(u64::try_from(index).unwrap_or(0) * 400);
            paths.record_connected(&host(*number), now);
            paths.record_received(&host(*number), now);
            if paths.is_lost(&host(*number)) || !paths.due_checks(&[host(*number)], now).is_empty() {
                return false;
            }
        }
        true
    }
}
