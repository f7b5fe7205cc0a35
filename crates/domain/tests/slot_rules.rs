//! Hosts, fleets and evidence under random steps, repeated and out of order.

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

/// A slot never passes from one replica to another without the host's own word in between, and
/// never goes back to an older incarnation or epoch.
#[test]
fn slot_handover() {
    fn holds(steps: Vec<(u8, u8, u8, u8)>) -> bool {
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
                let same = old.replica == new.replica && old.incarnation <= new.incarnation;
                if !same {
                    return false;
                }
            }
            if let (Some(old), None) = (&before.assignment, &next.assignment) {
                let proved = match proof {
                    Some(EmptyProof::ReportedEmpty) => true,
                    Some(EmptyProof::Rebooted(boot)) => boot > old.boot,
                    None => false,
                };
                if !proved {
                    return false;
                }
            }
            slot = next;
        }
        true
    }
    check(holds as fn(Vec<(u8, u8, u8, u8)>) -> bool);
}

/// Whatever is asked of a fleet, no host ever stands in two replicas or twice in one, and a change
/// of hosts always raises the incarnation.
#[test]
fn fleet_hosts() {
    fn holds(steps: Vec<(u8, u8, u8, Vec<u8>)>) -> bool {
        let mut fleet = FabricFleet::default();
        for (kind, id, incarnation, hosts) in steps {
            let asked = plan(id, incarnation, &hosts);
            let next = match kind % 3 {
                0 => fleet.with_replica(asked),
                1 => fleet.with_changed(asked),
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
    check(holds as fn(Vec<(u8, u8, u8, Vec<u8>)>) -> bool);
}

/// Evidence opens the gate only when it names exactly the plan's hosts in its incarnation, none of
/// them leaving, and is young enough.
#[test]
fn gate_fails_closed() {
    fn holds(hosts: (Vec<u8>, Vec<u8>), numbers: (u8, u8, u8, u8), leaving: bool) -> bool {
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
        let closed = missing || wrong || leaving || evidence.age > limit;
        !(closed && evidence.allows_dispatch(&plan, limit))
    }
    check(holds as fn((Vec<u8>, Vec<u8>), (u8, u8, u8, u8), bool) -> bool);
    let whole = plan(1, 2, &[0, 1]);
    let evidence = HealthEvidence {
        replica: whole.id.clone(),
        incarnation: whole.incarnation,
        hosts: whole.hosts.clone(),
        leaving: false,
        age: Duration::from_secs(1),
    };
    assert!(evidence.allows_dispatch(&whole, Duration::from_secs(3)));
}

/// A row is never taken for older than it is, however the time is split among holders and however
/// many points were merged away: a payment's key would otherwise be free too early.
#[test]
fn ages_undercount() {
    fn holds(rounds: Vec<(u16, u8)>, age: u16) -> bool {
        let mut log = RetentionLog::default();
        // The truth: when each version of the table was written.
        let mut written: Vec<(u64, u64)> = Vec::new();
        let mut version = 0;
        let mut true_time = 0;
        for (elapsed, idle) in rounds {
            version += 1;
            written.push((version, true_time));
            let row = RowVersion(version);
            // The holder counts what it saw; time without a holder passes uncounted.
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
    check(holds as fn(Vec<(u16, u8)>, u16) -> bool);
}
