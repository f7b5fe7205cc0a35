//! A store that is restored from an older copy gives out versions again. No copy of a table may compare them with
//! those of before, or miss what is written after the restore.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use domain::{EraVersion, RowVersion, StoreEra};
use quickcheck::{Arbitrary, Gen};
use serving::feed::{
    DeltaOutcome, DeltaProof, EraObservation, EraSource, EraWatch, LostRows, RefusalReason,
    StoreRow, TableCopy, TableDelta,
};

/// Number of nodes that pass on copies; node 0 reads the store.
const NODES: usize = 3;

const NO_PROOF: DeltaProof = DeltaProof {
    confirmed_at: Duration::ZERO,
    proved_at: None,
};

/// A table of a store that can be restored from a copy.
#[derive(Debug, Clone, Default)]
struct TestStore {
    era: u64,
    changes: Vec<(String, Option<u8>)>,
}

impl TestStore {
    fn at(&self, number: usize) -> EraVersion {
        let number = u64::try_from(number).expect("few changes");
        EraVersion::new(StoreEra(self.era), RowVersion(number))
    }

    fn row(&self, index: usize) -> StoreRow {
        let (key, value) = &self.changes[index];
        StoreRow {
            key: key.clone(),
            value: value.map(|value| Bytes::from(vec![value])),
            version: self.at(index + 1),
        }
    }

    fn contents(&self) -> BTreeMap<String, StoreRow> {
        let rows = (0..self.changes.len()).map(|index| self.row(index));
        let mut contents: BTreeMap<_, _> = rows.map(|row| (row.key.clone(), row)).collect();
        contents.retain(|_, row| row.value.is_some());
        contents
    }

    /// What a reader gets that knows the table up to `known`.
    fn read(&self, known: Option<EraVersion>) -> TableDelta {
        let known = known.and_then(|known| known.within(StoreEra(self.era)));
        let known = known.and_then(|known| usize::try_from(known.0).ok());
        let rows = match known {
            Some(known) => (known..self.changes.len())
                .map(|index| self.row(index))
                .collect(),
            None => self.contents().into_values().collect(),
        };
        TableDelta {
            version: self.at(self.changes.len()),
            is_full: known.is_none(),
            rows,
            gap: None,
        }
    }
}

#[derive(Debug, Clone)]
enum Step {
    Write(u8, Option<u8>),
    /// Back to the copy from this many changes ago.
    Restore(usize),
    Read,
    Follow(usize, usize),
    /// A response that was built now arrives after the next steps.
    HoldBack,
    Deliver,
}

impl Arbitrary for Step {
    fn arbitrary(generator: &mut Gen) -> Self {
        let node = |generator: &mut Gen| usize::arbitrary(generator) % NODES;
        match u8::arbitrary(generator) % 12 {
            0..=2 => Self::Write(u8::arbitrary(generator) % 4, Some(u8::arbitrary(generator))),
            3 => Self::Write(u8::arbitrary(generator) % 4, None),
            4 => Self::Restore(usize::arbitrary(generator) % 6),
            5..=7 => Self::Read,
            8 => Self::HoldBack,
            9 => Self::Deliver,
            _ => Self::Follow(node(generator), node(generator)),
        }
    }
}

fn values(copy: &TableCopy) -> BTreeMap<String, Bytes> {
    let values = copy.values();
    values
        .map(|(key, value)| (key.to_owned(), value.clone()))
        .collect()
}

fn follow(copies: &mut [TableCopy], follower: usize, source: usize) {
    if copies[source].era() < copies[follower].era() {
        return;
    }
    let Some(delta) = copies[source].delta_since(copies[follower].version()) else {
        return;
    };
    copies[follower].take(delta, NO_PROOF, LostRows::Removed);
}

cases::properties! {
    /// Guards against a change after a restore that no node takes, since its version is below one of before, and
    /// against a late answer that brings a row of before back.
    fn copies_end_as_the_restored_table(steps: Vec<Step>) -> bool {
        let mut store = TestStore { era: 1, ..TestStore::default() };
        let mut copies = vec![TableCopy::default(); NODES];
        let mut held_back = None;
        for step in steps {
            match step {
                Step::Write(key, value) => store.changes.push((format!("k{key}"), value)),
                Step::Restore(lost) => {
                    let left = store.changes.len().saturating_sub(lost);
                    store.changes.truncate(left);
                    store.era += 1;
                }
                Step::Read => {
                    let delta = store.read(copies[0].version());
                    copies[0].take(delta, NO_PROOF, LostRows::Removed);
                }
                Step::HoldBack => held_back = Some(store.read(copies[0].version())),
                Step::Deliver => {
                    if let Some(delta) = held_back.take() {
                        copies[0].take(delta, NO_PROOF, LostRows::Removed);
                    }
                }
                Step::Follow(follower, source) => follow(&mut copies, follower, source),
            }
        }
        let delta = store.read(copies[0].version());
        copies[0].take(delta, NO_PROOF, LostRows::Removed);
        follow(&mut copies, 1, 0);
        follow(&mut copies, 2, 1);
        let expected = store.contents().into_iter();
        let expected: BTreeMap<_, _> =
            expected.filter_map(|(key, row)| Some((key, row.value?))).collect();
        copies.iter().all(|copy| values(copy) == expected)
    }
}

fn row(key: &str, value: &str, version: EraVersion) -> StoreRow {
    StoreRow {
        key: key.to_owned(),
        value: Some(Bytes::from(value.to_owned())),
        version,
    }
}

fn full(rows: Vec<StoreRow>, version: EraVersion) -> TableDelta {
    TableDelta {
        version,
        is_full: true,
        rows,
        gap: None,
    }
}

fn at(era: u64, number: u64) -> EraVersion {
    EraVersion::new(StoreEra(era), RowVersion(number))
}

/// Guards against a node that acts on nothing between a restore and its first read.
#[test]
fn values_stay_until_read() {
    let mut copy = TableCopy::default();
    copy.take(
        full(vec![row("a", "new", at(1, 9))], at(1, 9)),
        NO_PROOF,
        LostRows::Removed,
    );
    copy.begin_era(StoreEra(2));
    assert_eq!(copy.version(), None);
    assert_eq!(values(&copy)["a"], Bytes::from("new"));
    let taken = copy.take(
        full(vec![row("a", "old", at(2, 4))], at(2, 5)),
        NO_PROOF,
        LostRows::Removed,
    );
    assert!(taken.is_restored);
    assert_eq!(taken.changed.len(), 1);
    assert_eq!(values(&copy)["a"], Bytes::from("old"));
}

/// Guards against nodes that take each other for dead after a restore that lost their heartbeats.
#[test]
fn lost_rows_kept_until_written() {
    let mut copy = TableCopy::default();
    let rows = vec![row("a", "1", at(1, 8)), row("b", "1", at(1, 9))];
    copy.take(full(rows, at(1, 9)), NO_PROOF, LostRows::Kept);
    copy.take(
        full(vec![row("a", "1", at(2, 3))], at(2, 4)),
        NO_PROOF,
        LostRows::Kept,
    );
    assert_eq!(values(&copy).len(), 2);
    let removal = TableDelta {
        version: at(2, 6),
        is_full: false,
        rows: vec![StoreRow {
            value: None,
            ..row("b", "", at(2, 6))
        }],
        gap: None,
    };
    copy.take(removal, NO_PROOF, LostRows::Kept);
    assert_eq!(values(&copy).len(), 1);
}

/// Guards against a change that is dropped without a word.
#[test]
fn refusals_say_why() {
    let mut copy = TableCopy::default();
    copy.take(
        full(vec![row("a", "2", at(1, 5))], at(1, 5)),
        NO_PROOF,
        LostRows::Removed,
    );
    let delta = TableDelta {
        version: at(1, 6),
        is_full: false,
        rows: vec![
            row("a", "1", at(1, 4)),
            row("b", "1", at(1, 5)),
            row("a", "2", at(1, 5)),
        ],
        gap: None,
    };
    let taken = copy.take(delta, NO_PROOF, LostRows::Removed);
    let reasons: Vec<_> = taken.refused.iter().map(|row| row.reason).collect();
    assert_eq!(reasons, [RefusalReason::Older, RefusalReason::RemovedSince]);
}

/// Guards against refusals that look proved since a read of the whole table from before a known change counts as
/// proof that there is no newer one.
#[test]
fn stale_read_proves_nothing() {
    let mut copy = TableCopy::default();
    let proof = |second: u32| DeltaProof {
        confirmed_at: SECOND * second,
        proved_at: Some(SECOND * second),
    };
    let rows = || vec![row("a", "1", at(1, 5))];
    copy.take(full(rows(), at(1, 9)), proof(1), LostRows::Removed);
    let taken = copy.take(full(rows(), at(1, 7)), proof(3), LostRows::Removed);
    assert_eq!(taken.outcome, DeltaOutcome::Stale);
    assert_eq!(copy.proof_age(SECOND * 3), Some(SECOND * 2));
    copy.take(full(rows(), at(1, 9)), proof(3), LostRows::Removed);
    assert_eq!(copy.proof_age(SECOND * 3), Some(Duration::ZERO));
}

const SECOND: Duration = Duration::from_secs(1);

/// Guards against a late answer of before a restore that takes a node back.
#[test]
fn late_answer_outdated() {
    let mut watch = EraWatch::default();
    assert_eq!(
        watch.observe(Some(StoreEra(4)), EraSource::Store, SECOND),
        EraObservation::Began { before: None }
    );
    let began = EraObservation::Began {
        before: Some(StoreEra(4)),
    };
    assert_eq!(
        watch.observe(Some(StoreEra(5)), EraSource::Store, SECOND),
        began
    );
    assert_eq!(
        watch.observe(Some(StoreEra(4)), EraSource::Store, SECOND * 2),
        EraObservation::Outdated
    );
    assert_eq!(
        watch.observe(None, EraSource::Store, SECOND * 2),
        EraObservation::Same
    );
    assert_eq!(watch.current(), StoreEra(5));
}

/// Guards against one answer with an absurd era that makes a node drop all others for good.
#[test]
fn mistaken_era_given_up() {
    let mut watch = EraWatch::default();
    watch.observe(Some(StoreEra(4)), EraSource::Store, SECOND);
    watch.observe(Some(StoreEra(u64::MAX)), EraSource::Store, SECOND);
    for second in 2..6 {
        assert_eq!(
            watch.observe(Some(StoreEra(4)), EraSource::Store, SECOND * second),
            EraObservation::Outdated
        );
    }
    watch.observe(Some(StoreEra(4)), EraSource::Store, SECOND * 7);
    assert_eq!(watch.current(), StoreEra(4));
}

/// Guards against nodes that tell each other of a mistaken era again after the store has refuted it, and against
/// those that do so before.
#[test]
fn refuted_era_not_spread() {
    let mut watch = EraWatch::default();
    let mistaken = Some(StoreEra(u64::MAX));
    watch.observe(Some(StoreEra(4)), EraSource::Store, SECOND);
    watch.observe(mistaken, EraSource::Store, SECOND);
    for second in 2..8 {
        watch.observe(mistaken, EraSource::Node, SECOND * second);
        watch.observe(Some(StoreEra(4)), EraSource::Store, SECOND * second);
    }
    assert_eq!(watch.current(), StoreEra(4));
    let told = watch.observe(mistaken, EraSource::Node, SECOND * 8);
    assert_eq!(told, EraObservation::Outdated);
    let next = watch.observe(Some(StoreEra(5)), EraSource::Node, SECOND * 8);
    let before = Some(StoreEra(4));
    assert_eq!(next, EraObservation::Began { before });
}

/// Guards against an era that was rightly stated, given up for a moment, and never believed again.
#[test]
fn refuted_era_stated_again() {
    let mut watch = EraWatch::default();
    watch.observe(Some(StoreEra(5)), EraSource::Store, SECOND);
    for second in 7..13 {
        watch.observe(Some(StoreEra(4)), EraSource::Store, SECOND * second);
    }
    assert_eq!(watch.current(), StoreEra(4));
    watch.observe(Some(StoreEra(5)), EraSource::Store, SECOND * 13);
    assert_eq!(watch.current(), StoreEra(5));
    let told = watch.observe(Some(StoreEra(6)), EraSource::Node, SECOND * 13);
    assert!(matches!(told, EraObservation::Began { .. }));
}

/// Guards against an era that is given up after a pause of the process: answers of before the restore that waited in its
/// sockets arrive at one moment, long after the era was stated.
#[test]
fn pause_gives_up_no_era() {
    let mut watch = EraWatch::default();
    watch.observe(Some(StoreEra(1)), EraSource::Store, SECOND);
    watch.observe(Some(StoreEra(2)), EraSource::Store, SECOND * 2);
    for _ in 0..4 {
        let observation = watch.observe(Some(StoreEra(1)), EraSource::Store, SECOND * 8);
        assert_eq!(observation, EraObservation::Outdated);
    }
    assert_eq!(watch.current(), StoreEra(2));
}

/// Guards against epochs that go back with the store's versions, which hosts would reject.
#[test]
fn fencing_number_rises_with_eras() {
    assert!(at(2, 3).fencing_number() > at(1, 900).fencing_number());
    assert!(at(2, 4).fencing_number() > at(2, 3).fencing_number());
    assert_eq!(at(0, 7).fencing_number(), 7);
    assert!(at(u64::MAX, u64::MAX).fencing_number() >= at(9, 1).fencing_number());
}
