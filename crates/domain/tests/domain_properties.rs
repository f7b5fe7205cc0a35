//! Property tests of host slots, fleets, health evidence and the retention log, with random steps
//! that repeat and arrive out of order.

use std::collections::BTreeMap;
use std::time::Duration;

use domain::host::{EmptyProof, SlotAssignment};
use domain::replica::ReplicaRole;
use domain::{
    BootNumber, FabricFleet, HealthEvidence, HostId, HostSlot, IncarnationNumber, LeaseEpoch,
    ReplicaId, ReplicaPlan, RetentionLog, RowVersion,
};
use quickcheck::{Gen, QuickCheck};

fn host(number: u8) -> HostId {
    format!("h{}", number % 6).parse().expect("an id")
}

fn replica(number: u8) -> ReplicaId {
    format!("r{}", number % 3).parse().expect("an id")
}

fn plan(id: u8, incarnation: u8, hosts: &[u8]) -> ReplicaPlan {
    ReplicaPlan {
        id: replica(id),
        incarnation: IncarnationNumber(u64::from(incarnation % 8)),
        epoch: LeaseEpoch(1),
        fabric: "f0".parse().expect("an id"),
        hosts: hosts.iter().map(|number| host(*number)).collect(),
        model: "m".parse().expect("an id"),
        version: "v1".parse().expect("an id"),
        adapters: Vec::new(),
        role: ReplicaRole::Both,
        draining: false,
    }
}

fn check(test: impl quickcheck::Testable) {
    QuickCheck::new()
        .tests(2_000)
        .rng(Gen::from_size_and_seed(60, 7))
        .quickcheck(test);
}

/// A slot is never reassigned to another replica unless the host proved in between that it is
/// empty, and it never returns to an older incarnation or epoch.
#[test]
fn slot_handover() {
    fn property(steps: Vec<(u8, u8, u8, u8)>) -> bool {
        let mut slot = HostSlot::default();
        for (kind, id, number, epoch) in steps {
            let before = slot.clone();
            let epoch = LeaseEpoch(u64::from(epoch % 6));
            let proof = match kind % 4 {
                0 | 1 => None,
                2 => Some(EmptyProof::ReportedEmpty),
                _ => Some(EmptyProof::Rebooted(BootNumber(u64::from(number % 5)))),
            };
            let next = match proof {
                None => slot.assign(
                    SlotAssignment {
                        replica: replica(id),
                        incarnation: IncarnationNumber(u64::from(number % 8)),
                        boot: BootNumber(u64::from(number % 5)),
                    },
                    epoch,
                ),
                Some(proof) => slot.release(proof, epoch),
            };
            let Ok(next) = next else { continue };
            if next.epoch < before.epoch {
                return false;
            }
            if let (Some(old), Some(new)) = (&before.assignment, &next.assignment) {
                let allowed = old.replica == new.replica && old.incarnation <= new.incarnation;
                if !allowed {
                    return false;
                }
            }
            if let (Some(old), None) = (&before.assignment, &next.assignment) {
                let proven = match proof {
                    Some(EmptyProof::ReportedEmpty) => true,
                    Some(EmptyProof::Rebooted(boot)) => boot > old.boot,
                    None => false,
                };
                if !proven {
                    return false;
                }
            }
            slot = next;
        }
        true
    }
    check(property as fn(Vec<(u8, u8, u8, u8)>) -> bool);
}

/// No sequence of changes to a fleet puts a host into two replicas or twice into one, and a change
/// of hosts always raises the incarnation.
#[test]
fn fleet_hosts() {
    fn property(steps: Vec<(u8, u8, u8, Vec<u8>)>) -> bool {
        let mut fleet = FabricFleet::default();
        for (kind, id, incarnation, hosts) in steps {
            let requested = plan(id, incarnation, &hosts);
            let next = match kind % 3 {
                0 => fleet.with_replica(requested),
                1 => fleet.with_changed(requested),
                _ => fleet.without_replica(&replica(id)),
            };
            let Ok(next) = next else { continue };
            for plan in &next.plans {
                let Some(old) = fleet.plan(&plan.id) else {
                    continue;
                };
                if old.hosts != plan.hosts && old.incarnation >= plan.incarnation {
                    return false;
                }
            }
            if next.next_number < fleet.next_number {
                return false;
            }
            fleet = next;
            let mut seen = BTreeMap::new();
            for plan in &fleet.plans {
                for host in &plan.hosts {
                    if seen.insert(host.clone(), plan.id.clone()).is_some() {
                        return false;
                    }
                }
            }
        }
        true
    }
    check(property as fn(Vec<(u8, u8, u8, Vec<u8>)>) -> bool);
}

/// Evidence allows dispatch only if it lists exactly the plan's hosts in the plan's incarnation,
/// none of them is leaving, and it is recent enough.
#[test]
fn dispatch_check_fails_closed() {
    fn property(hosts: (Vec<u8>, Vec<u8>), numbers: (u8, u8, u8, u8), leaving: bool) -> bool {
        let (planned, seen) = hosts;
        let plan = plan(numbers.0, numbers.1, &planned);
        let evidence = HealthEvidence {
            replica: replica(numbers.2),
            incarnation: IncarnationNumber(u64::from(numbers.3 % 8)),
            hosts: seen.iter().map(|number| host(*number)).collect(),
            leaving,
            age: Duration::from_millis(u64::from(numbers.0) * 30),
        };
        let limit = Duration::from_secs(3);
        let missing = plan.hosts.iter().any(|host| !evidence.hosts.contains(host));
        let wrong = evidence.replica != plan.id || evidence.incarnation != plan.incarnation;
        let must_deny = missing || wrong || leaving || evidence.age > limit;
        !(must_deny && evidence.allows_dispatch(&plan, limit))
    }
    check(property as fn((Vec<u8>, Vec<u8>), (u8, u8, u8, u8), bool) -> bool);
    let healthy = plan(1, 2, &[0, 1]);
    let evidence = HealthEvidence {
        replica: healthy.id.clone(),
        incarnation: healthy.incarnation,
        hosts: healthy.hosts.clone(),
        leaving: false,
        age: Duration::from_secs(1),
    };
    assert!(evidence.allows_dispatch(&healthy, Duration::from_secs(3)));
}

/// A row's age is never overestimated, however the time is split among lease holders and however
/// many checkpoints were dropped. Otherwise the idempotency key of a payment would be released too
/// early.
#[test]
fn ages_never_overestimated() {
    fn property(rounds: Vec<(u16, u8)>, age: u16) -> bool {
        let mut log = RetentionLog::default();
        // The actual time at which each version of the table was written.
        let mut written: Vec<(u64, u64)> = Vec::new();
        let mut version = 0;
        let mut true_time = 0;
        for (elapsed, idle) in rounds {
            version += 1;
            written.push((version, true_time));
            let row = RowVersion(version);
            // The holder counts only its own time; time without a holder is not counted.
            true_time += u64::from(elapsed) + u64::from(idle);
            log = log.advanced(Duration::from_millis(u64::from(elapsed)), row);
        }
        let age = Duration::from_millis(u64::from(age));
        let Some(limit) = log.older_than(age) else {
            return true;
        };
        let old_enough =
            |(_, at): &&(u64, u64)| Duration::from_millis(true_time.saturating_sub(*at)) >= age;
        written
            .iter()
            .filter(|(version, _)| *version <= limit.0)
            .all(|entry| old_enough(&entry))
    }
    check(property as fn(Vec<(u16, u8)>, u16) -> bool);
}
