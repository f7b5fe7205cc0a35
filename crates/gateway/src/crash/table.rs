//! The table of evidence in the store, as far as a node has read it.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use domain::{EraVersion, FastMap};
use serving::poison::CRASH_RETENTION;
use serving::{PoisonDetector, TargetProcess};

use super::rows::EvidenceRow;

/// A row of the table.
#[derive(Debug)]
struct KnownRow {
    /// When what it tells of was; `None` if it tells nothing.
    newest: Option<Duration>,
    /// Process whose crash it tells of.
    process: Option<TargetProcess>,
    /// Version of its last write.
    version: EraVersion,
}

/// What a node remembers of the table, so that it reads changes only and notices rows that are gone.
#[derive(Debug, Default)]
pub struct EvidenceTable {
    /// Version of the store up to which the table is known.
    pub version: Cell<Option<EraVersion>>,
    rows: RefCell<FastMap<String, KnownRow>>,
}

impl EvidenceTable {
    /// Remembers a row of the table; `None` if it can't be read.
    pub fn note_row(&self, key: &str, version: EraVersion, row: Option<&EvidenceRow>) {
        let known = KnownRow {
            newest: row.and_then(EvidenceRow::newest),
            process: row.and_then(EvidenceRow::process),
            version,
        };
        self.rows.borrow_mut().insert(key.to_owned(), known);
    }

    /// When what a row tells of was, and the version of the row; `None` if no such row is known.
    #[must_use]
    pub fn known_row(&self, key: &str) -> Option<(Option<Duration>, EraVersion)> {
        let rows = self.rows.borrow();
        let row = rows.get(key)?;
        Some((row.newest, row.version))
    }

    /// Forgets a deleted row of the table, and what it told of.
    pub fn forget_row(&self, detector: &mut PoisonDetector, key: &str) {
        let known = self.rows.borrow_mut().remove(key);
        if let Some(process) = known.and_then(|known| known.process) {
            detector.forget(&process);
        }
    }

    /// Keys of known rows.
    #[must_use]
    pub fn row_keys(&self) -> Vec<String> {
        self.rows.borrow().keys().cloned().collect()
    }

    /// Keys of rows that tell nothing, or nothing any more.
    #[must_use]
    pub fn expired_rows(&self, now: Duration) -> Vec<String> {
        let rows = self.rows.borrow();
        let expired = rows.iter().filter(|(_, row)| {
            let newest = row.newest;
            newest.is_none_or(|newest| now.saturating_sub(newest) >= CRASH_RETENTION)
        });
        expired.map(|(key, _)| key.clone()).collect()
    }
}
