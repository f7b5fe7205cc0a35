//! A table in memory that can hold commits back, as for a claimant that is frozen.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use domain::RowVersion;
use platform::{CommitOutcome, RowRead, StoreError, TableRow, TableStore, WriteBatch};
use standin::rows::MemoryRows;
use tokio::sync::Semaphore;

/// A handle of the table. Clones share the rows; each has faults of its own.
#[derive(Debug, Clone)]
pub struct FakeTable {
    rows: Arc<Mutex<MemoryRows>>,
    down: Arc<Mutex<bool>>,
    answers: Arc<Semaphore>,
    commits: Arc<Mutex<usize>>,
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
        let outcome = self.rows().commit(batch);
        if matches!(outcome, CommitOutcome::Committed(_)) {
            *self.commits.lock().unwrap_or_else(PoisonError::into_inner) += 1;
        }
        outcome
    }

    fn rows(&self) -> MutexGuard<'_, MemoryRows> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl TableStore for FakeTable {
    async fn read(&self, key: &str, known: Option<RowVersion>) -> Result<RowRead, StoreError> {
        self.check()?;
        self.answer().await;
        Ok(self.rows().read(key, known))
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<TableRow>, StoreError> {
        self.check()?;
        Ok(self.rows().scan(prefix))
    }

    async fn commit(&self, batch: &WriteBatch) -> Result<CommitOutcome, StoreError> {
        self.check()?;
        let outcome = self.apply(batch);
        self.answer().await;
        Ok(outcome)
    }
}
