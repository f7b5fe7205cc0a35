//! Health evidence that arrives late, repeatedly and out of order.

use std::time::{Duration, Instant};

use control::EvidenceStore;
use domain::{HealthEvidence, IncarnationNumber, ReplicaId};
use quickcheck::{Gen, QuickCheck};

fn replica() -> ReplicaId {
    "r1".parse().expect("valid id")
}

fn evidence(incarnation: u64, complete: bool, age: Duration) -> HealthEvidence {
    let hosts = ["h0", "h1"];
    let seen = if complete { &hosts[..] } else { &hosts[..1] };
    HealthEvidence {
        replica: replica(),
        incarnation: IncarnationNumber(incarnation),
        hosts: seen
            .iter()
            .map(|host| host.parse().expect("valid id"))
            .collect(),
        leaving: false,
        age,
    }
}

/// Peers relay evidence, so old observations arrive after new ones. Guards against old evidence
/// that makes a replica look healthy although it has lost a host since: the newest observation of
/// the highest incarnation wins.
#[test]
fn newest_observation_wins() {
    fn property(observations: Vec<(u8, bool, u16)>) -> bool {
        let evidence_store = EvidenceStore::default();
        let start = Instant::now();
        let mut newest: Option<(u64, Duration, bool)> = None;
        for (incarnation, complete, age) in observations {
            let incarnation = u64::from(incarnation % 3);
            // Whole seconds, so that the test's own run time does not matter.
            let age = Duration::from_secs(u64::from(age));
            evidence_store.record(evidence(incarnation, complete, age));
            // The same age at a later time is a newer observation.
            let newer = newest.is_none_or(|(known, known_age, _)| {
                incarnation > known || (incarnation == known && age <= known_age)
            });
            if newer {
                newest = Some((incarnation, age, complete));
            }
        }
        let Some((incarnation, age, complete)) = newest else {
            return evidence_store.newest_for(&replica()).is_none();
        };
        let Some(entry) = evidence_store.newest_for(&replica()) else {
            return false;
        };
        let now = Instant::now();
        entry.evidence.incarnation.0 == incarnation
            && (entry.evidence.hosts.len() == 2) == complete
            && entry.age(now) >= age
            && entry.age(now) <= age + start.elapsed()
    }
    QuickCheck::new()
        .tests(500)
        .rng(Gen::from_size_and_seed(40, 13))
        .quickcheck(property as fn(Vec<(u8, bool, u16)>) -> bool);
}

/// Evidence keeps aging in the store and is exported with its current age. Guards against a peer
/// that makes it look fresh.
#[test]
fn age_keeps_growing() {
    let evidence_store = EvidenceStore::default();
    let age = Duration::from_secs(2);
    evidence_store.record(evidence(1, true, age));
    std::thread::sleep(Duration::from_millis(30));
    let exported = evidence_store.export(10);
    assert_eq!(exported.len(), 1);
    assert!(exported[0].age >= age + Duration::from_millis(30));
    let peer = EvidenceStore::default();
    peer.record(exported[0].clone());
    evidence_store.record(exported[0].clone());
    let entry = peer.newest_for(&replica()).expect("evidence is stored");
    assert!(entry.age(Instant::now()) >= exported[0].age);
}
