//! An in-memory table for tests that wrap it with faults of their own.

use std::collections::BTreeMap;

use domain::RowVersion;
use platform::{
    CommitOutcome, RowChange, RowConflict, RowExpectation, RowRead, TableRow, WriteBatch,
};

/// Rows with the conditional, atomic batch writes of the table.
#[derive(Debug, Default)]
pub struct MemoryRows {
    version: u64,
    rows: BTreeMap<String, TableRow>,
}

impl MemoryRows {
    /// Returns the current row, or `None` if it does not exist.
    #[must_use]
    pub fn row(&self, key: &str) -> Option<TableRow> {
        self.rows.get(key).cloned()
    }

    /// Reads a row; a row whose version is still `known` is reported as unchanged.
    #[must_use]
    pub fn read(&self, key: &str, known: Option<RowVersion>) -> RowRead {
        match self.rows.get(key) {
            None => RowRead::Absent,
            Some(row) if Some(row.version) == known => RowRead::Unchanged,
            Some(row) => RowRead::Found(row.clone()),
        }
    }

    /// Returns every row whose key starts with `prefix`, ordered by key.
    #[must_use]
    pub fn scan(&self, prefix: &str) -> Vec<TableRow> {
        let rows = self.rows.values();
        rows.filter(|row| row.key.starts_with(prefix))
            .cloned()
            .collect()
    }

    /// Commits a batch atomically; if any expectation fails, nothing is written.
    pub fn commit(&mut self, batch: &WriteBatch) -> CommitOutcome {
        let conflicts = self.conflicts(batch);
        if !conflicts.is_empty() {
            return CommitOutcome::Conflict(conflicts);
        }
        self.version += 1;
        let version = RowVersion(self.version);
        for (key, _, change) in &batch.writes {
            self.change(key, change, batch.token.as_str(), version);
        }
        CommitOutcome::Committed(version)
    }

    fn conflicts(&self, batch: &WriteBatch) -> Vec<RowConflict> {
        let mut conflicts = Vec::new();
        for (key, expect, _) in &batch.writes {
            let row = self.rows.get(key);
            let matches = match expect {
                RowExpectation::Any => true,
                RowExpectation::Absent => row.is_none(),
                RowExpectation::Version(version) => row.is_some_and(|row| row.version == *version),
            };
            if !matches {
                conflicts.push(RowConflict {
                    key: key.clone(),
                    row: row.cloned(),
                });
            }
        }
        conflicts
    }

    fn change(&mut self, key: &str, change: &RowChange, token: &str, version: RowVersion) {
        match change {
            RowChange::Check => {}
            RowChange::Delete => {
                self.rows.remove(key);
            }
            RowChange::Put(value) => {
                let row = TableRow {
                    key: key.to_owned(),
                    version,
                    token: token.to_owned(),
                    value: value.clone(),
                };
                self.rows.insert(key.to_owned(), row);
            }
        }
    }
}
