//! Takes what was read, or passed on by another node, into a copy of a table.

use std::cmp::Ordering;
use std::time::Duration;

use super::copy::TableCopy;
use super::delta::{StoreRow, TableDelta};
use super::refused::{RefusalReason, RefusedRow};

/// What becomes of values from before a new era that its first read of the whole table lacks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LostRows {
    /// They count as removed.
    Removed,
    /// They stay until their rows are written or removed: their writers write them again, and they expire by
    /// what they say themselves.
    Kept,
}

/// Up to when a delta is complete, in process time.
#[derive(Debug, Clone, Copy)]
pub struct DeltaProof {
    /// When this process was told.
    pub confirmed_at: Duration,
    /// A moment at which the store held nothing newer, proved by a call that began later.
    pub proved_at: Option<Duration>,
}

/// What a copy makes of a delta as a whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeltaOutcome {
    /// It is as new as what was known, or newer.
    Taken,
    /// It is a read of the whole table from before what was known. Its rows were taken where they are newer, but
    /// it proves nothing.
    Stale,
    /// It is of an earlier era of the store, and changed nothing.
    Outdated,
}

/// What changed with a delta.
#[derive(Debug)]
pub struct TakenDelta {
    /// What the copy made of it.
    pub outcome: DeltaOutcome,
    /// Whether it is the first read of the whole table after the store was restored from a copy. Its rows may be
    /// older than what was known before.
    pub is_restored: bool,
    /// Rows that changed.
    pub changed: Vec<StoreRow>,
    /// Rows that it held and that are not newer than those of the copy; rows that are held as they are don't
    /// count.
    pub refused: Vec<RefusedRow>,
}

impl TakenDelta {
    fn outdated() -> Self {
        Self {
            outcome: DeltaOutcome::Outdated,
            is_restored: false,
            changed: Vec::new(),
            refused: Vec::new(),
        }
    }
}

impl TableCopy {
    /// Takes in a delta. One of a later era begins that era.
    pub fn take(&mut self, delta: TableDelta, proof: DeltaProof, lost: LostRows) -> TakenDelta {
        let era = delta.version.era();
        if era < self.era() {
            return TakenDelta::outdated();
        }
        let was_read = self.is_read();
        self.begin_era(era);
        let known = self.version();
        if known.is_none() && !delta.is_full {
            // Changes since a version of an earlier era; the table has to be read whole.
            return TakenDelta::outdated();
        }
        let order = known.and_then(|known| delta.version.compare(known));
        let is_stale = delta.is_full && order == Some(Ordering::Less);
        let (changed, mut refused) = if delta.is_full {
            self.replace_all(delta.rows, delta.version, lost)
        } else {
            self.apply_all(delta.rows)
        };
        if let Some(gap) = delta.gap {
            self.record_gap(gap);
        }
        self.confirm(delta.version, proof.confirmed_at);
        // A read of the whole table from before what is known says nothing of what was written since.
        if let Some(proved_at) = proof.proved_at.filter(|_| !is_stale) {
            self.prove(delta.version, proved_at);
        }
        refused.retain(|row| row.reason != RefusalReason::Known);
        TakenDelta {
            outcome: if is_stale {
                DeltaOutcome::Stale
            } else {
                DeltaOutcome::Taken
            },
            is_restored: was_read && known.is_none(),
            changed,
            refused,
        }
    }

    fn apply_all(&mut self, rows: Vec<StoreRow>) -> (Vec<StoreRow>, Vec<RefusedRow>) {
        let mut changed = Vec::new();
        let mut refused = Vec::new();
        for row in rows {
            match self.try_apply(&row) {
                Ok(()) => changed.push(row),
                Err(reason) => refused.push(reason),
            }
        }
        (changed, refused)
    }
}
