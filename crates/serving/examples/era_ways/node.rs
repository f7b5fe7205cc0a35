//! What a node makes of answers, in each way.

use std::time::Duration;

use serving::feed::{
    DeltaProof, EraObservation, EraSource, EraWatch, LostRows, TableCopy, TableDelta,
};

use crate::store::{ReadAnswer, StoreTable};

const NO_PROOF: DeltaProof = DeltaProof {
    confirmed_at: Duration::ZERO,
    proved_at: None,
};

/// How versions are compared, and what a restore of the store does to the copies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EraWay {
    /// Versions are bare numbers. A node whose number went back, or has not been given out, drops its copies.
    Bare,
    /// Versions are pairs of era and number. Values stay until the table is read whole.
    TypedAtOnce,
    /// The same, and the nodes spread what they write again.
    TypedSpread,
    /// The same, and nodes that follow others leave the store to their sources for a while.
    TypedPatient,
}

impl EraWay {
    pub const ALL: [Self; 4] = [
        Self::Bare,
        Self::TypedAtOnce,
        Self::TypedSpread,
        Self::TypedPatient,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Self::Bare => "bare numbers",
            Self::TypedAtOnce => "typed, at once",
            Self::TypedSpread => "typed, spread",
            Self::TypedPatient => "typed, patient",
        }
    }

    pub fn is_typed(self) -> bool {
        self != Self::Bare
    }
}

/// What an answer led to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TakeOutcome {
    /// Something changed, or was confirmed.
    Taken,
    /// It changed nothing; the table is read whole next.
    ReadWhole,
    /// The node dropped all of its copies.
    Dropped,
}

/// A node of the fleet.
#[derive(Debug)]
pub struct EraNode {
    way: EraWay,
    watch: EraWatch,
    pub copies: [TableCopy; 3],
    /// Era in which the position of each copy was given out.
    positions: [u64; 3],
    /// Revision in force; `None` if no configuration is known.
    pub revision: Option<u64>,
    newest_revision: u64,
    /// Positions that were compared with versions of another era.
    pub misordered: u64,
}

impl EraNode {
    pub fn new(way: EraWay) -> Self {
        Self {
            way,
            watch: EraWatch::default(),
            copies: std::array::from_fn(|_| TableCopy::default()),
            positions: [0; 3],
            revision: None,
            newest_revision: 0,
            misordered: 0,
        }
    }

    /// Number up to which a table is known.
    pub fn known(&self, table: StoreTable) -> Option<u64> {
        let copy = &self.copies[table.index()];
        let version = copy.version()?.within(copy.era())?;
        Some(version.0)
    }

    /// Whether the node serves by an older configuration than it did, or by none, or knows no targets.
    pub fn is_behind(&self) -> bool {
        let has_targets = self.copies[StoreTable::Registry.index()].is_read();
        self.revision < Some(self.newest_revision) || !has_targets
    }

    /// Takes in an era; returns whether a new one began after another.
    pub fn observe(&mut self, true_era: u64, now: Duration) -> bool {
        if !self.way.is_typed() {
            return false;
        }
        let stated = domain::StoreEra(true_era);
        let observation = self.watch.observe(Some(stated), EraSource::Store, now);
        for copy in &mut self.copies {
            copy.begin_era(self.watch.current());
        }
        matches!(observation, EraObservation::Began { before: Some(_) })
    }

    /// Takes in an answer of the store, or of a source.
    pub fn take(&mut self, table: StoreTable, answer: ReadAnswer) -> TakeOutcome {
        let known = self.known(table);
        let Some(delta) = answer.delta else {
            return self.drop_copies();
        };
        let is_typed = self.way.is_typed();
        if is_typed && delta.version.era() != self.watch.current() {
            return TakeOutcome::ReadWhole;
        }
        if is_typed && known.is_none() && !delta.is_full {
            return TakeOutcome::ReadWhole;
        }
        let number = delta.version.within(delta.version.era());
        let is_back = known > number.map(|number| number.0);
        if !is_typed && is_back {
            return self.drop_copies();
        }
        let position = &mut self.positions[table.index()];
        let is_compared = known.is_some() && *position != answer.true_era;
        self.misordered += u64::from(is_compared);
        *position = answer.true_era;
        self.apply(table, delta);
        TakeOutcome::Taken
    }

    fn apply(&mut self, table: StoreTable, delta: TableDelta) {
        let lost = if table == StoreTable::Nodes {
            LostRows::Kept
        } else {
            LostRows::Removed
        };
        let taken = self.copies[table.index()].take(delta, NO_PROOF, lost);
        if table != StoreTable::Config {
            return;
        }
        for row in &taken.changed {
            let value = row.value.as_deref().unwrap_or_default();
            let revision = value.first().map(|revision| u64::from(*revision));
            if self.way.is_typed() {
                self.revision = self.revision.max(revision);
            } else {
                self.revision = revision;
            }
            self.newest_revision = self.newest_revision.max(self.revision.unwrap_or_default());
        }
    }

    fn drop_copies(&mut self) -> TakeOutcome {
        if self.way.is_typed() {
            return TakeOutcome::ReadWhole;
        }
        self.copies = std::array::from_fn(|_| TableCopy::default());
        self.revision = None;
        TakeOutcome::Dropped
    }

    /// What this node answers one that knows the table up to a number of its own era.
    pub fn answer(&self, table: StoreTable, follower: &Self) -> Option<ReadAnswer> {
        let known = follower.copies[table.index()].latest();
        let delta = self.copies[table.index()].delta_since(known)?;
        Some(ReadAnswer {
            true_era: self.positions[table.index()],
            delta: Some(delta),
        })
    }
}
