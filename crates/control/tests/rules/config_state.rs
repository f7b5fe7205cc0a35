//! The configuration state with reordered, repeated, lost and late messages.
#![expect(
    clippy::needless_pass_by_value,
    reason = "quickcheck hands its inputs over by value"
)]

use std::time::Duration;

use control::amend::ChangeEntry;
use control::config::state::ApplyOutcome;
use control::config::{
    ConfigSnapshot, ConfigState, NodeReadiness, ReadinessFacts, ReadinessPolicy,
};
use control::members::MemberReach;
use domain::ConfigRevision;
use domain::record::RecordKind;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use serde_json::json;
use wire::record::RecordEnvelope;

const TESTS: u64 = 500;
const SEED: u64 = 0x5eed_0c0f;

fn check<A: quickcheck::Testable>(property: A) {
    let source = Gen::from_size_and_seed(60, SEED);
    QuickCheck::new()
        .rng(source)
        .tests(TESTS)
        .quickcheck(property);
}

/// A history of changes, and the order in which a node receives them.
#[derive(Debug, Clone)]
struct ConfigRun {
    history: Vec<ChangeEntry>,
    deliveries: Vec<Delivery>,
}

#[derive(Debug, Clone, Copy)]
enum Delivery {
    Change(usize),
    Snapshot(usize),
}

impl Arbitrary for ConfigRun {
    fn arbitrary(source: &mut Gen) -> Self {
        let count = u64::arbitrary(source) % 12 + 1;
        let mut history = Vec::new();
        for revision in 1..=count {
            let name = format!("r{}", u8::arbitrary(source) % 3);
            let deleted = u8::arbitrary(source).is_multiple_of(4);
            let schema = u32::from(u8::arbitrary(source) % 3) + 1;
            let record = (!deleted).then(|| RecordEnvelope {
                schema,
                kind: RecordKind::Drain,
                name: name.clone(),
                spec: json!({ "hosts": [format!("h{revision}")] }),
            });
            history.push(ChangeEntry {
                revision: ConfigRevision(revision),
                kind: RecordKind::Drain,
                name,
                record,
                operator: "test".to_owned(),
            });
        }
        let mut deliveries = Vec::new();
        for _ in 0..source.size() {
            let index = usize::arbitrary(source) % history.len();
            if u8::arbitrary(source).is_multiple_of(5) {
                deliveries.push(Delivery::Snapshot(index));
            } else {
                deliveries.push(Delivery::Change(index));
            }
        }
        Self {
            history,
            deliveries,
        }
    }
}

impl ConfigRun {
    /// The configuration after the first `changes` changes, replayed in order.
    fn expected(&self, changes: u64) -> ConfigSnapshot {
        let mut state = ConfigState::default();
        for change in &self.history {
            if change.revision.0 > changes {
                break;
            }
            assert_eq!(state.apply_change(change.clone()), ApplyOutcome::Applied);
        }
        state.snapshot()
    }

    fn deliver(&self, state: &mut ConfigState, delivery: Delivery) {
        match delivery {
            Delivery::Change(index) => {
                state.apply_change(self.history[index].clone());
            }
            Delivery::Snapshot(index) => {
                let revision = self.history[index].revision.0;
                state.apply_snapshot(self.expected(revision));
            }
        }
    }
}

#[test]
fn revision_never_decreases() {
    fn property(run: ConfigRun) -> bool {
        let mut state = ConfigState::default();
        for delivery in &run.deliveries {
            let before = state.revision();
            run.deliver(&mut state, *delivery);
            let consistent =
                state.revision() >= before && state.snapshot() == run.expected(state.revision().0);
            if !consistent {
                return false;
            }
        }
        true
    }
    check(property as fn(ConfigRun) -> bool);
}

#[test]
fn changes_relay_to_peers() {
    fn property(run: ConfigRun) -> bool {
        let mut ahead = ConfigState::default();
        let mut behind = ConfigState::default();
        for (step, delivery) in run.deliveries.iter().enumerate() {
            run.deliver(&mut ahead, *delivery);
            if step % 3 != 0 {
                continue;
            }
            let missing = ahead.changes_after(behind.revision(), 4);
            let Some(changes) = missing else {
                behind.apply_snapshot(ahead.snapshot());
                continue;
            };
            for change in changes {
                if behind.apply_change(change) != ApplyOutcome::Applied {
                    return false;
                }
            }
            if behind.snapshot() != run.expected(behind.revision().0) {
                return false;
            }
        }
        true
    }
    check(property as fn(ConfigRun) -> bool);
}

#[test]
fn unknown_schema_listed() {
    fn property(run: ConfigRun) -> bool {
        let snapshot = run.expected(run.history.len() as u64);
        let unknown = snapshot
            .records
            .iter()
            .filter(|stored| stored.record.schema == 3)
            .count();
        let mut state = ConfigState::default();
        state.apply_snapshot(snapshot.clone());
        let view = state.view();
        view.unknown.len() == unknown && view.drains.len() == snapshot.records.len() - unknown
    }
    check(property as fn(ConfigRun) -> bool);
}

/// Random inputs of the readiness decision, in tenths of a second.
#[derive(Debug, Clone)]
struct ReadinessStep(ReadinessFacts);

impl Arbitrary for ReadinessStep {
    fn arbitrary(source: &mut Gen) -> Self {
        let tenths = |source: &mut Gen| Duration::from_millis(u64::arbitrary(source) % 300 * 100);
        let roster_size = usize::arbitrary(source) % 20 + 1;
        Self(ReadinessFacts {
            applied: bool::arbitrary(source),
            confirmed_age: bool::arbitrary(source).then(|| tenths(source)),
            served: bool::arbitrary(source),
            behind: bool::arbitrary(source),
            reach: MemberReach {
                reachable: usize::arbitrary(source) % (roster_size + 1),
                roster_size,
            },
            majority_held: tenths(source),
        })
    }
}

const POLICY: ReadinessPolicy = ReadinessPolicy {
    confirm_limit: Duration::from_secs(8),
    settle: Duration::from_secs(12),
};

// Guards against outdated responses: the minority side of a partition must not serve records that
// were amended since, nor may a node that knows of a newer revision which it can't fetch.
#[test]
fn minority_never_serves() {
    fn property(step: ReadinessStep) -> bool {
        let facts = step.0;
        let confirmed = facts
            .confirmed_age
            .is_some_and(|age| age <= POLICY.confirm_limit);
        let minority = facts.reach.reachable * 2 <= facts.reach.roster_size;
        let readiness = POLICY.evaluate(&facts);
        if confirmed {
            return readiness == NodeReadiness::Confirmed;
        }
        !(readiness.serves() && (minority || facts.behind || !facts.applied))
    }
    check(property as fn(ReadinessStep) -> bool);
}

#[test]
fn starting_node_waits_for_settle() {
    fn property(step: ReadinessStep) -> bool {
        let facts = ReadinessFacts {
            served: false,
            ..step.0
        };
        let confirmed = facts
            .confirmed_age
            .is_some_and(|age| age <= POLICY.confirm_limit);
        let early = facts.majority_held < POLICY.settle;
        confirmed || !early || !POLICY.evaluate(&facts).serves()
    }
    check(property as fn(ReadinessStep) -> bool);
}
