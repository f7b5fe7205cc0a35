//! An in-memory table with versions and randomly injected faults.

use std::sync::{Arc, Mutex, MutexGuard};

use domain::RowVersion;
use platform::{CommitOutcome, RowRead, StoreError, TableRow, TableStore, WriteBatch};
use standin::rows::MemoryRows;

use super::SeededRng;

/// Probabilities of the faults, in percent of the commits.
#[derive(Debug, Clone, Copy, Default)]
pub struct FaultRates {
    /// The response is lost and nothing took effect.
    pub lost_before: u64,
    /// The response is lost and the write took effect.
    pub lost_after: u64,
    /// The response is lost and the write takes effect during a later call.
    pub late: u64,
    /// The table reports that it is unavailable; applies to reads as well.
    pub down: u64,
}

/// An in-memory table. Clones share it.
#[derive(Debug, Clone)]
pub struct FakeTable {
    inner: Arc<Mutex<TableInner>>,
}

#[derive(Debug)]
struct TableInner {
    rows: MemoryRows,
    rng: SeededRng,
    rates: FaultRates,
    late: Vec<WriteBatch>,
    commits: usize,
}

impl FakeTable {
    /// An empty table.
    pub fn new(seed: u64, rates: FaultRates) -> Self {
        let inner = TableInner {
            rows: MemoryRows::default(),
            rng: SeededRng::new(seed),
            rates,
            late: Vec::new(),
            commits: 0,
        };
        Self {
            inner: Arc::new(Mutex::new(inner)),
        }
    }

    fn inner(&self) -> MutexGuard<'_, TableInner> {
        self.inner.lock().expect("lock is not poisoned")
    }

    /// Sets the probabilities for all later calls.
    pub fn set_rates(&self, rates: FaultRates) {
        self.inner().rates = rates;
    }

    /// Number of commits that reached the table, with or without effect.
    pub fn commits(&self) -> usize {
        self.inner().commits
    }

    /// A row as currently stored.
    pub fn row(&self, key: &str) -> Option<TableRow> {
        self.inner().rows.row(key)
    }

    /// All rows with the given prefix.
    pub fn rows(&self, prefix: &str) -> Vec<TableRow> {
        self.inner().rows.scan(prefix)
    }

    /// Applies every delayed write, as far as its expectations hold.
    pub fn apply_all_late(&self) {
        let mut inner = self.inner();
        while let Some(batch) = inner.late.pop() {
            let _ = inner.rows.commit(&batch);
        }
    }
}

impl TableInner {
    fn apply_late_commits(&mut self) {
        if self.late.is_empty() || !self.rng.chance(30) {
            return;
        }
        let index = self.rng.index(self.late.len());
        let batch = self.late.swap_remove(index);
        let _ = self.rows.commit(&batch);
    }
}

fn lost() -> StoreError {
    StoreError::ResponseLost("injected response loss".to_owned())
}

impl TableStore for FakeTable {
    async fn read(&self, key: &str, known: Option<RowVersion>) -> Result<RowRead, StoreError> {
        tokio::task::yield_now().await;
        let mut inner = self.inner();
        inner.apply_late_commits();
        let down = inner.rates.down;
        if inner.rng.chance(down) {
            return Err(StoreError::Unavailable("injected outage".to_owned()));
        }
        Ok(inner.rows.read(key, known))
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<TableRow>, StoreError> {
        tokio::task::yield_now().await;
        Ok(self.rows(prefix))
    }

    async fn commit(&self, batch: &WriteBatch) -> Result<CommitOutcome, StoreError> {
        tokio::task::yield_now().await;
        let mut inner = self.inner();
        inner.commits += 1;
        inner.apply_late_commits();
        let rates = inner.rates;
        if inner.rng.chance(rates.down) {
            return Err(StoreError::Unavailable("injected outage".to_owned()));
        }
        if inner.rng.chance(rates.lost_before) {
            return Err(lost());
        }
        if inner.rng.chance(rates.late) {
            inner.late.push(batch.clone());
            return Err(lost());
        }
        let outcome = inner.rows.commit(batch);
        if inner.rng.chance(rates.lost_after) {
            return Err(lost());
        }
        Ok(outcome)
    }
}
