//! Copies of a table that nodes pass on to each other must end as the store's table, whichever
//! node each of them followed in between.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use domain::{EraVersion, RowVersion, StoreEra};
use quickcheck::{Arbitrary, Gen};
use serving::feed::{RefusalReason, StoreRow, TableCopy, TableDelta};

/// A version of the only era of these tests.
fn at(version: u64) -> EraVersion {
    EraVersion::new(StoreEra::UNSTATED, RowVersion(version))
}

/// Number of nodes that pass on copies; node 0 reads the store.
const NODES: usize = 4;

/// A table of a store with all its changes.
#[derive(Default)]
struct TestTable {
    changes: Vec<StoreRow>,
    /// Changes before this index are compacted away.
    compacted: usize,
}

impl TestTable {
    fn newest(&self) -> u64 {
        u64::try_from(self.changes.len()).expect("few changes")
    }

    fn version(&self) -> EraVersion {
        at(self.newest())
    }

    fn write(&mut self, key: u8, value: Option<u8>) {
        let version = at(self.newest() + 1);
        self.changes.push(StoreRow {
            key: format!("k{key}"),
            value: value.map(|value| Bytes::from(vec![value])),
            version,
        });
    }

    fn rows(&self) -> BTreeMap<String, StoreRow> {
        let mut rows = BTreeMap::new();
        for change in &self.changes {
            rows.insert(change.key.clone(), change.clone());
        }
        rows.retain(|_, row| row.value.is_some());
        rows
    }

    fn read_into(&self, copy: &mut TableCopy) {
        let known = copy
            .version()
            .and_then(|version| version.within(StoreEra::UNSTATED));
        let known = known.map(|version| version.0);
        let known = known.and_then(|known| usize::try_from(known).ok());
        match known.filter(|known| *known >= self.compacted) {
            Some(known) => {
                for row in &self.changes[known..] {
                    copy.apply(row);
                }
            }
            None => {
                copy.replace(self.rows().into_values().collect(), self.version());
            }
        }
        copy.confirm(self.version(), Duration::ZERO);
    }
}

fn follow(copies: &mut [TableCopy], follower: usize, source: usize) {
    let known = copies[follower].version();
    let Some(delta) = copies[source].delta_since(known) else {
        return;
    };
    if known.is_some_and(|known| known.compare(delta.version) == Some(Ordering::Greater)) {
        return;
    }
    let TableDelta {
        version,
        is_full,
        rows,
        gap,
    } = delta;
    let copy = &mut copies[follower];
    if is_full {
        copy.replace(rows, version);
    } else {
        for row in &rows {
            copy.apply(row);
        }
    }
    if let Some(gap) = gap {
        copy.record_gap(gap);
    }
    copy.confirm(version, Duration::ZERO);
}

fn contents(copy: &TableCopy) -> BTreeMap<String, Bytes> {
    let values = copy.values();
    values
        .map(|(key, value)| (key.to_owned(), value.clone()))
        .collect()
}

#[derive(Debug, Clone)]
enum Step {
    Write(u8, Option<u8>),
    Compact,
    Read(usize),
    Follow(usize, usize),
}

impl Arbitrary for Step {
    fn arbitrary(generator: &mut Gen) -> Self {
        let node = |generator: &mut Gen| usize::arbitrary(generator) % NODES;
        match u8::arbitrary(generator) % 8 {
            0 | 1 => Self::Write(u8::arbitrary(generator) % 5, Some(u8::arbitrary(generator))),
            2 => Self::Write(u8::arbitrary(generator) % 5, None),
            3 => Self::Compact,
            4 => Self::Read(node(generator)),
            _ => Self::Follow(node(generator), node(generator)),
        }
    }
}

cases::properties! {
    /// Guards against a removed target that lives on at a node which changed its source, and
    /// against an older row that replaces a newer one.
    fn copies_end_as_the_table(steps: Vec<Step>) -> bool {
        let mut table = TestTable::default();
        let mut copies = vec![TableCopy::default(); NODES];
        for step in steps {
            match step {
                Step::Write(key, value) => table.write(key, value),
                Step::Compact => table.compacted = table.changes.len(),
                Step::Read(node) => table.read_into(&mut copies[node]),
                Step::Follow(follower, source) => follow(&mut copies, follower, source),
            }
        }
        table.read_into(&mut copies[0]);
        for follower in 1..NODES {
            follow(&mut copies, follower, 0);
        }
        let rows = table.rows().into_iter();
        let expected: BTreeMap<String, Bytes> =
            rows.filter_map(|(key, row)| Some((key, row.value?))).collect();
        copies.iter().all(|copy| contents(copy) == expected)
    }

    /// Guards against a node whose known version falls when it follows a node that is behind.
    fn versions_never_fall(steps: Vec<Step>) -> bool {
        let mut table = TestTable::default();
        let mut copies = vec![TableCopy::default(); NODES];
        for step in steps {
            let before: Vec<_> = copies.iter().map(TableCopy::version).collect();
            match step {
                Step::Write(key, value) => table.write(key, value),
                Step::Compact => table.compacted = table.changes.len(),
                Step::Read(node) => table.read_into(&mut copies[node]),
                Step::Follow(follower, source) => follow(&mut copies, follower, source),
            }
            let fell = |(copy, before): (&TableCopy, &Option<EraVersion>)| {
                let number = |version: EraVersion| version.within(StoreEra::UNSTATED);
                copy.version().map(number) < before.map(number)
            };
            if copies.iter().zip(&before).any(fell) {
                return false;
            }
        }
        true
    }
}

fn row(key: &str, value: Option<&'static str>, version: u64) -> StoreRow {
    StoreRow {
        key: key.to_owned(),
        value: value.map(Bytes::from),
        version: at(version),
    }
}

/// Guards against a reader that sends its followers the whole table after each compaction of the
/// store, which fills their links.
#[test]
fn compaction_costs_no_full_copy() {
    let mut copy = TableCopy::default();
    copy.replace(vec![row("a", Some("1"), 3), row("b", Some("1"), 4)], at(5));
    copy.confirm(at(5), Duration::ZERO);
    copy.replace(vec![row("a", Some("2"), 8)], at(9));
    copy.confirm(at(9), Duration::ZERO);
    let delta = copy.delta_since(Some(at(5))).expect("table was read");
    assert!(!delta.is_full);
    assert_eq!(delta.rows, vec![row("a", Some("2"), 8), row("b", None, 9)]);
}

/// Guards against a node that passes on a gap as if it had seen all changes in it.
#[test]
fn gap_is_inherited() {
    let mut reader = TableCopy::default();
    reader.replace(Vec::new(), at(0));
    reader.confirm(at(0), Duration::ZERO);
    let mut copies = vec![reader.clone(), reader];
    copies[1].replace(Vec::new(), at(2));
    copies[1].confirm(at(2), Duration::ZERO);
    follow(&mut copies, 0, 1);
    let delta = copies[0].delta_since(Some(at(1))).expect("table was read");
    assert!(delta.is_full);
}

/// Guards against a target that stays known at a node which saw it come while the reader it now
/// follows saw neither its coming nor its end.
#[test]
fn gap_costs_a_full_copy() {
    let mut copy = TableCopy::default();
    copy.replace(vec![row("a", Some("1"), 3)], at(5));
    copy.confirm(at(5), Duration::ZERO);
    copy.replace(vec![row("a", Some("1"), 3)], at(9));
    copy.confirm(at(9), Duration::ZERO);
    let delta = copy.delta_since(Some(at(7))).expect("table was read");
    assert!(delta.is_full);
}

/// Guards against a node that leaves its source again and again because it read the store itself in
/// between: the store's version had grown by writes to other tables, and the source seemed behind.
#[test]
fn later_read_is_not_ahead() {
    let mut copy = TableCopy::default();
    copy.replace(vec![row("a", Some("1"), 3)], at(5));
    copy.confirm(at(90), Duration::ZERO);
    assert!(!copy.is_ahead_of(at(5)));
    assert!(copy.is_ahead_of(at(2)));
}

#[test]
fn age_counts_from_confirmation() {
    let mut copy = TableCopy::default();
    copy.confirm(at(5), Duration::from_secs(3));
    assert_eq!(copy.age(Duration::from_secs(4)), Duration::from_secs(1));
    copy.confirm(at(4), Duration::from_secs(4));
    assert_eq!(copy.age(Duration::from_secs(4)), Duration::from_secs(1));
}

/// Guards against a copy that counts as proved by a confirmation of something older: a node would refuse
/// for good what it has just missed.
#[test]
fn proof_is_of_what_is_held() {
    let mut copy = TableCopy::default();
    assert_eq!(copy.proof_age(Duration::from_secs(9)), None);
    let row = |version| StoreRow {
        key: "k".to_owned(),
        value: Some(Bytes::from_static(b"v")),
        version: at(version),
    };
    copy.apply(&row(5));
    copy.prove(at(4), Duration::from_secs(3));
    assert_eq!(copy.proof_age(Duration::from_secs(9)), None);
    copy.prove(at(5), Duration::from_secs(2));
    copy.prove(at(7), Duration::from_secs(1));
    assert_eq!(
        copy.proof_age(Duration::from_secs(9)),
        Some(Duration::from_secs(7))
    );
}

/// Guards against a row with the last version, which a node of an earlier release may pass on: it would hide all later
/// writes of its key, and a node that asked for changes after it would get none any more.
#[test]
fn last_version_refused() {
    let row = |key: &str, version: u64| StoreRow {
        key: key.to_owned(),
        value: Some(Bytes::from_static(b"v")),
        version: at(version),
    };
    let mut copy = TableCopy::default();
    copy.replace(vec![row("a", 2), row("b", u64::MAX)], at(3));
    copy.confirm(at(3), Duration::ZERO);
    let refused = copy
        .try_apply(&row("a", u64::MAX))
        .expect_err("no row can follow");
    assert_eq!(refused.reason, RefusalReason::LastVersion);
    assert_eq!(copy.latest(), Some(at(3)));
    assert!(copy.apply(&row("a", 4)));
    assert!(copy.apply(&row("b", 5)));
    assert_eq!(copy.latest(), Some(at(5)));
}
