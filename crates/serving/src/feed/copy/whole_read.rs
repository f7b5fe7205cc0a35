//! Takes a read of the whole table into a copy of it.

use std::collections::BTreeMap;

use bytes::Bytes;
use domain::{EraVersion, FastSet, RowVersion};

use super::{EraGap, TableCopy};
use crate::feed::delta::StoreRow;
use crate::feed::refused::RefusedRow;
use crate::feed::take::LostRows;

impl TableCopy {
    /// Applies a read of the whole table as of `version`: rows that it lacks were removed, unless
    /// they are newer. Returns the rows that changed.
    pub fn replace(&mut self, rows: Vec<StoreRow>, version: EraVersion) -> Vec<StoreRow> {
        let (changed, _) = self.replace_all(rows, version, LostRows::Removed);
        changed
    }

    /// Applies a read of the whole table as of `version`, of the era of this copy. Returns the rows that changed,
    /// and those that were not taken.
    pub(in crate::feed) fn replace_all(
        &mut self,
        rows: Vec<StoreRow>,
        version: EraVersion,
        lost: LostRows,
    ) -> (Vec<StoreRow>, Vec<RefusedRow>) {
        let Some(read_at) = version.within(self.era) else {
            return (Vec::new(), Vec::new());
        };
        let present: FastSet<String> = rows.iter().map(|row| row.key.clone()).collect();
        let mut changed = rows;
        changed.extend(self.removals(&present, read_at));
        let before = std::mem::take(&mut self.carried);
        let missing = before.iter().filter(|(key, _)| !present.contains(*key));
        match lost {
            LostRows::Removed => changed.extend(missing.map(|(key, _)| removal(key, version))),
            LostRows::Kept => {
                self.carried = missing
                    .map(|(key, value)| (key.clone(), value.clone()))
                    .collect();
            }
        }
        let refused = self.put_all(&mut changed, read_at);
        changed.retain(|row| !is_same(&before, row));
        self.record_read(read_at);
        (changed, refused)
    }

    /// Removals of the rows of this era that a read as of `read_at` lacks.
    fn removals(&self, present: &FastSet<String>, read_at: RowVersion) -> Vec<StoreRow> {
        let held = self.rows.iter();
        let gone = held.filter(|(key, row)| {
            row.value.is_some() && row.version <= read_at && !present.contains(*key)
        });
        gone.map(|(key, row)| {
            // Newer than the row, however the versions of the two compare.
            let next = RowVersion(row.version.0.saturating_add(1));
            removal(key, self.of_era(read_at.max(next)))
        })
        .collect()
    }

    /// Takes the rows of a read as of `read_at`; leaves those in `rows` that were taken, and returns the others.
    fn put_all(&mut self, rows: &mut Vec<StoreRow>, read_at: RowVersion) -> Vec<RefusedRow> {
        let is_older = self.complete_at > Some(read_at);
        let mut refused = Vec::new();
        rows.retain(|row| {
            let taken = if is_older {
                self.try_apply(row)
            } else {
                self.put(row)
            };
            let is_taken = taken.is_ok();
            refused.extend(taken.err());
            is_taken
        });
        refused
    }

    fn record_read(&mut self, read_at: RowVersion) {
        self.complete_at = self.complete_at.max(Some(read_at));
        match self.version {
            Some(before) => self.push_gap(EraGap {
                before,
                after: read_at,
            }),
            None => self.horizon = Some(read_at),
        }
    }
}

fn removal(key: &str, version: EraVersion) -> StoreRow {
    StoreRow {
        key: key.to_owned(),
        value: None,
        version,
    }
}

/// Whether a row holds what was known before the era of a copy began.
fn is_same(before: &BTreeMap<String, Bytes>, row: &StoreRow) -> bool {
    row.value.is_some() && before.get(&row.key) == row.value.as_ref()
}
