//! A table in memory that can hold commits back, as for a claimant that is frozen.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

use domain::RowVersion;
use platform::{
    CommitOutcome, RowChange, RowConflict, RowExpectation, RowRead, StoreError, TableRow,
    TableStore, WriteBatch,
};
use tokio::sync::Semaphore;

/// A handle of the table. Clones share the rows; each has faults of its own.
#[derive(Debug, Clone)]
pub struct FakeTable {
    rows: Arc<Mutex<RowBook>>,
    down: Arc<Mutex<bool>>,
    answers: Arc<Semaphore>,
    commits: Arc<Mutex<usize>>,
}

#[derive(Debug, Default)]
struct RowBook {
    version: u64,
    rows: BTreeMap<String, TableRow>,
}

impl Default for FakeTable {
    fn default() -> Self {
        Self {
            rows: Arc::default(),
            down: Arc::default(),
            answers: Arc::new(Semaphore::new(Semaphore::MAX_PERMITS)),
            commits: Arc::default(),
        }
    }
}

impl FakeTable {
    /// The same rows as another process sees them; its answers are held back until
    /// [`FakeTable::release`].
    pub fn held_back(&self) -> Self {
        Self {
            rows: Arc::clone(&self.rows),
            down: Arc::default(),
            answers: Arc::new(Semaphore::new(0)),
            commits: Arc::default(),
        }
    }

    /// Lets answers through again.
    pub fn release(&self) {
        self.answers.add_permits(1_000);
    }

    /// Switches the table off for this handle.
    pub fn set_down(&self, down: bool) {
        *self.down.lock().unwrap_or_else(PoisonError::into_inner) = down;
    }

    /// Commits that took effect through this handle.
    pub fn commits(&self) -> usize {
        *self.commits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn check(&self) -> Result<(), StoreError> {
        if *self.down.lock().unwrap_or_else(PoisonError::into_inner) {
            return Err(StoreError::Unavailable("down".to_owned()));
        }
        Ok(())
    }

    async fn answer(&self) {
        self.answers.acquire().await.expect("never closed").forget();
    }

    fn apply(&self, batch: &WriteBatch) -> CommitOutcome {
        let mut book = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        let mut conflicts = Vec::new();
        for (key, expect, _) in &batch.writes {
            let row = book.rows.get(key);
            let holds = match expect {
                RowExpectation::Any => true,
                RowExpectation::Absent => row.is_none(),
                RowExpectation::Version(version) => row.is_some_and(|row| row.version == *version),
            };
            if holds {
                continue;
            }
            conflicts.push(RowConflict {
                key: key.clone(),
                row: row.cloned(),
            });
        }
        if !conflicts.is_empty() {
            return CommitOutcome::Conflict(conflicts);
        }
        book.version += 1;
        let version = RowVersion(book.version);
        for (key, _, change) in &batch.writes {
            match change {
                RowChange::Check => {}
                RowChange::Delete => {
                    book.rows.remove(key);
                }
                RowChange::Put(value) => {
                    let row = TableRow {
                        key: key.clone(),
                        version,
                        token: batch.token.to_string(),
                        value: value.clone(),
                    };
                    book.rows.insert(key.clone(), row);
                }
            }
        }
        *self.commits.lock().unwrap_or_else(PoisonError::into_inner) += 1;
        CommitOutcome::Committed(version)
    }
}

impl TableStore for FakeTable {
    async fn read(&self, key: &str, _: Option<RowVersion>) -> Result<RowRead, StoreError> {
        self.check()?;
        self.answer().await;
        let book = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        Ok(book
            .rows
            .get(key)
            .cloned()
            .map_or(RowRead::Absent, RowRead::Found))
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<TableRow>, StoreError> {
        self.check()?;
        let book = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        let rows = book.rows.values();
        Ok(rows
            .filter(|row| row.key.starts_with(prefix))
            .cloned()
            .collect())
    }

    async fn commit(&self, batch: &WriteBatch) -> Result<CommitOutcome, StoreError> {
        self.check()?;
        let outcome = self.apply(batch);
        self.answer().await;
        Ok(outcome)
    }
}
