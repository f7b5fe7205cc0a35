//! An in-memory table that can withhold responses, to simulate a suspended claimant.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use domain::RowVersion;
use platform::{CommitOutcome, RowRead, StoreError, TableRow, TableStore, WriteBatch};
use standin::rows::MemoryRows;
use tokio::sync::Semaphore;

/// A handle of the table. Clones share rows and faults; [`FakeTable::withholding`] shares only the
/// rows.
#[derive(Debug, Clone)]
pub struct FakeTable {
    rows: Arc<Mutex<MemoryRows>>,
    unavailable: Arc<Mutex<bool>>,
    response_permits: Arc<Semaphore>,
    commits: Arc<Mutex<usize>>,
}

impl Default for FakeTable {
    fn default() -> Self {
        Self {
            rows: Arc::default(),
            unavailable: Arc::default(),
            response_permits: Arc::new(Semaphore::new(Semaphore::MAX_PERMITS)),
            commits: Arc::default(),
        }
    }
}

impl FakeTable {
    /// Returns a handle to the same rows, as seen by another process. Its responses are withheld
    /// until [`FakeTable::release`].
    pub fn withholding(&self) -> Self {
        Self {
            rows: Arc::clone(&self.rows),
            unavailable: Arc::default(),
            response_permits: Arc::new(Semaphore::new(0)),
            commits: Arc::default(),
        }
    }

    /// Releases the withheld responses.
    pub fn release(&self) {
        self.response_permits.add_permits(1_000);
    }

    /// Makes the table unavailable through this handle.
    pub fn set_unavailable(&self, unavailable: bool) {
        *self
            .unavailable
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = unavailable;
    }

    /// Returns the number of commits that took effect through this handle.
    pub fn commits(&self) -> usize {
        *self.commits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn check(&self) -> Result<(), StoreError> {
        if *self
            .unavailable
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
        {
            return Err(StoreError::Unavailable("unavailable".to_owned()));
        }
        Ok(())
    }

    async fn wait_for_release(&self) {
        self.response_permits
            .acquire()
            .await
            .expect("never closed")
            .forget();
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
        self.wait_for_release().await;
        Ok(self.rows().read(key, known))
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<TableRow>, StoreError> {
        self.check()?;
        Ok(self.rows().scan(prefix))
    }

    async fn commit(&self, batch: &WriteBatch) -> Result<CommitOutcome, StoreError> {
        self.check()?;
        let outcome = self.apply(batch);
        self.wait_for_release().await;
        Ok(outcome)
    }
}
