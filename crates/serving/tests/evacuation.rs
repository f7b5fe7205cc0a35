//! What a node knows of evacuations, by the rows that it learns of in any order.

use std::time::Duration;

use bytes::Bytes;
use domain::{DomainId, EraVersion, RowVersion, StoreEra};
use quickcheck::quickcheck;
use serving::evacuation::{EvacuationChange, EvacuationLedger};
use serving::feed::{StoreRow, TableCopy};
use serving::{
    MemberState, ReplicaMembership, SendBarrier, TargetEntry, TargetRegistry, TargetState,
};

fn zone(name: &str) -> DomainId {
    name.parse().expect("a failure domain")
}

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// Guards against an evacuation that is announced twice, or ends although it was never known.
#[test]
fn changes_told_once() {
    let mut ledger = EvacuationLedger::default();
    let z1 = zone("z1");
    assert_eq!(ledger.apply(&z1, false, seconds(1)), None);
    assert_eq!(
        ledger.apply(&z1, true, seconds(2)),
        Some(EvacuationChange::Begun)
    );
    assert_eq!(ledger.apply(&z1, true, seconds(3)), None);
    assert_eq!(ledger.active().next(), Some((&z1, seconds(2))));
    assert_eq!(
        ledger.apply(&z1, false, seconds(4)),
        Some(EvacuationChange::Ended)
    );
    assert_eq!(ledger.apply(&z1, false, seconds(5)), None);
    assert!(ledger.is_empty());
}

/// Guards against a failure domain that is evacuated because another one is, or is free because another one is.
#[test]
fn domains_apart() {
    let mut ledger = EvacuationLedger::default();
    let (z1, z2) = (zone("z1"), zone("z2"));
    ledger.apply(&z1, true, seconds(1));
    assert_eq!(ledger.check([&z2, &z2]), Ok(()));
    assert_eq!(ledger.check([&z2, &z1]), Err(SendBarrier::Evacuated));
    ledger.apply(&z2, true, seconds(2));
    ledger.apply(&z1, false, seconds(3));
    assert_eq!(ledger.check([&z1]), Ok(()));
    assert_eq!(ledger.check([&z2]), Err(SendBarrier::Evacuated));
}

/// Guards against a drained failure domain that counts as drained at its next evacuation, while requests run
/// there.
#[test]
fn drained_anew() {
    let mut ledger = EvacuationLedger::default();
    let z1 = zone("z1");
    ledger.apply(&z1, true, seconds(1));
    assert_eq!(ledger.undrained().count(), 1);
    ledger.record_drained(&z1);
    assert_eq!(ledger.undrained().count(), 0);
    assert!(ledger.is_evacuated(&z1));
    ledger.apply(&z1, false, seconds(2));
    assert_eq!(ledger.undrained().count(), 0);
    ledger.apply(&z1, true, seconds(3));
    assert_eq!(ledger.undrained().next(), Some((&z1, seconds(3))));
}

fn member(id: &str, zone_name: &str, rank: u32) -> TargetEntry {
    TargetEntry {
        id: id.parse().expect("an id"),
        service: "assistant".parse().expect("a service"),
        address: ([127, 0, 0, 1], 9).into(),
        domain: zone(zone_name),
        slots: 8,
        state: TargetState::Ready,
        boot: domain::BootNumber(1),
        fabric: Some("f0".parse().expect("a fabric domain")),
        loaded: None,
        staged: Vec::new(),
        membership: Some(ReplicaMembership {
            replica: "r-1".parse().expect("a replica"),
            epoch: 7,
            rank,
            state: MemberState::Open,
        }),
    }
}

/// Guards against requests to a replica of which a host other than its head is evacuated.
#[test]
fn other_members_count() {
    let mut registry = TargetRegistry::default();
    let head = member("a", "z0", 0);
    registry.put(head.clone());
    registry.put(member("b", "z0", 1));
    registry.put(member("c", "z1", 2));
    let mut alone = member("d", "z0", 0);
    alone.membership = None;
    registry.put(alone.clone());
    let mut ledger = EvacuationLedger::default();
    ledger.apply(&zone("z1"), true, seconds(1));
    let check = |target| ledger.check(registry.failure_domains(target));
    assert_eq!(check(&head), Err(SendBarrier::Evacuated));
    assert_eq!(check(&alone), Ok(()));
    // A host that the registry does not know yet has the failure domain of its own entry at least.
    let unknown = member("e", "z1", 3);
    assert_eq!(check(&unknown), Err(SendBarrier::Evacuated));
}

fn row(version: u64) -> StoreRow {
    StoreRow {
        key: "z1".to_owned(),
        // Odd versions add the row, even ones remove it.
        value: (version % 2 == 1).then(Bytes::new),
        version: EraVersion::new(StoreEra::UNSTATED, RowVersion(version)),
    }
}

quickcheck! {
    /// Guards against an older copy of another node that restores an evacuation or ends one: whatever order and
    /// however often changes arrive, the newest one holds.
    fn newest_row_holds(versions: Vec<u8>) -> bool {
        let mut copy = TableCopy::default();
        let mut ledger = EvacuationLedger::default();
        let mut newest = 0;
        for version in versions {
            let version = u64::from(version % 16) + 1;
            let row = row(version);
            if copy.apply(&row) {
                ledger.apply(&zone(&row.key), row.value.is_some(), seconds(version));
            }
            newest = newest.max(version);
            if ledger.is_evacuated(&zone("z1")) != (newest % 2 == 1) {
                return false;
            }
        }
        true
    }

    /// Guards against an evacuation that survives a read of the whole table without its row, or that such a read
    /// of an older state ends or restores.
    fn full_reads_hold(reads: Vec<(u8, bool)>) -> bool {
        let mut copy = TableCopy::default();
        let mut ledger = EvacuationLedger::default();
        let mut newest = 0;
        for (version, is_full) in reads {
            let version = u64::from(version % 16) + 1;
            let changed = if is_full {
                let rows = Some(row(version)).filter(|row| row.value.is_some());
                {
                    let version = EraVersion::new(StoreEra::UNSTATED, RowVersion(version));
                    copy.replace(rows.into_iter().collect(), version)
                }
            } else {
                let row = row(version);
                let is_new = copy.apply(&row);
                Some(row).filter(|_| is_new).into_iter().collect()
            };
            for row in changed {
                ledger.apply(&zone(&row.key), row.value.is_some(), seconds(version));
            }
            newest = newest.max(version);
            if ledger.is_evacuated(&zone("z1")) != (newest % 2 == 1) {
                return false;
            }
        }
        true
    }
}
