//! A table and an object store in memory, with switches for lost answers and outages.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use domain::RowVersion;
use platform::{
    CommitOutcome, ObjectStore, RowChange, RowConflict, RowExpectation, RowRead, StoreError,
    TableRow, TableStore, WriteBatch,
};

/// What becomes of the next commits, in order; none left means that they work.
#[allow(dead_code, reason = "not every test file needs it")]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommitFault {
    /// It takes effect and is answered.
    None,
    /// It takes effect and the answer is lost.
    LoseAnswer,
    /// It never takes effect and the answer is lost.
    LoseWrite,
    /// It takes effect only when [`FakeTable::deliver`] is called; the answer is lost.
    Delay,
}

/// A table in memory; clones share it.
#[derive(Debug, Clone, Default)]
pub struct FakeTable {
    inner: Arc<Mutex<FakeInner>>,
}

#[derive(Debug, Default)]
struct FakeInner {
    version: u64,
    rows: BTreeMap<String, TableRow>,
    faults: Vec<CommitFault>,
    delayed: Vec<WriteBatch>,
    down: bool,
    reads: u64,
    scans: u64,
}

impl FakeTable {
    fn inner(&self) -> MutexGuard<'_, FakeInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets what becomes of the next commits.
    #[allow(dead_code, reason = "not every test file needs it")]
    pub fn set_faults(&self, faults: &[CommitFault]) {
        let mut inner = self.inner();
        inner.faults = faults.to_vec();
        inner.faults.reverse();
    }

    /// Lets the delayed commits take effect now, as far as their expectations still hold.
    #[allow(dead_code, reason = "not every test file needs it")]
    pub fn deliver(&self) {
        let mut inner = self.inner();
        for batch in std::mem::take(&mut inner.delayed) {
            inner.run(&batch);
        }
    }

    /// Takes the table down or up.
    #[allow(dead_code, reason = "not every test file needs it")]
    pub fn set_down(&self, down: bool) {
        self.inner().down = down;
    }

    /// Reads of single rows so far.
    #[allow(dead_code, reason = "not every test file needs it")]
    pub fn reads(&self) -> u64 {
        self.inner().reads
    }

    /// Scans so far.
    #[allow(dead_code, reason = "not every test file needs it")]
    pub fn scans(&self) -> u64 {
        self.inner().scans
    }

    /// Keys that start so.
    #[allow(dead_code, reason = "not every test file needs it")]
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let inner = self.inner();
        let keys = inner.rows.keys();
        keys.filter(|key| key.starts_with(prefix))
            .cloned()
            .collect()
    }
}

impl FakeInner {
    fn run(&mut self, batch: &WriteBatch) -> CommitOutcome {
        let mut conflicts = Vec::new();
        for (key, expect, _) in &batch.writes {
            let row = self.rows.get(key);
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
        self.version += 1;
        for (key, _, change) in &batch.writes {
            match change {
                RowChange::Check => {}
                RowChange::Delete => {
                    self.rows.remove(key);
                }
                RowChange::Put(value) => {
                    let row = TableRow {
                        key: key.clone(),
                        version: RowVersion(self.version),
                        token: batch.token.to_string(),
                        value: value.clone(),
                    };
                    self.rows.insert(key.clone(), row);
                }
            }
        }
        CommitOutcome::Committed(RowVersion(self.version))
    }
}

fn down() -> StoreError {
    StoreError::Unavailable("switched off".to_owned())
}

fn lost() -> StoreError {
    StoreError::AnswerLost("switched off".to_owned())
}

impl TableStore for FakeTable {
    async fn read(&self, key: &str, known: Option<RowVersion>) -> Result<RowRead, StoreError> {
        tokio::task::yield_now().await;
        let mut inner = self.inner();
        if inner.down {
            return Err(down());
        }
        inner.reads += 1;
        match inner.rows.get(key) {
            None => Ok(RowRead::Absent),
            Some(row) if Some(row.version) == known => Ok(RowRead::Unchanged),
            Some(row) => Ok(RowRead::Found(row.clone())),
        }
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<TableRow>, StoreError> {
        tokio::task::yield_now().await;
        let mut inner = self.inner();
        if inner.down {
            return Err(down());
        }
        inner.scans += 1;
        let rows = inner.rows.values();
        Ok(rows
            .filter(|row| row.key.starts_with(prefix))
            .cloned()
            .collect())
    }

    async fn commit(&self, batch: &WriteBatch) -> Result<CommitOutcome, StoreError> {
        tokio::task::yield_now().await;
        let mut inner = self.inner();
        if inner.down {
            return Err(down());
        }
        match inner.faults.pop().unwrap_or(CommitFault::None) {
            CommitFault::None => Ok(inner.run(batch)),
            CommitFault::LoseAnswer => {
                inner.run(batch);
                Err(lost())
            }
            CommitFault::LoseWrite => Err(lost()),
            CommitFault::Delay => {
                inner.delayed.push(batch.clone());
                Err(lost())
            }
        }
    }
}

/// An object store in memory; clones share it.
#[derive(Debug, Clone, Default)]
pub struct FakeObjects {
    objects: Arc<Mutex<BTreeMap<String, Bytes>>>,
}

impl FakeObjects {
    /// Forgets everything.
    #[allow(dead_code, reason = "not every test file needs it")]
    pub fn clear(&self) {
        self.objects
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clear();
    }
}

impl ObjectStore for FakeObjects {
    async fn get(&self, key: &str) -> Result<Option<Bytes>, StoreError> {
        let objects = self.objects.lock().unwrap_or_else(PoisonError::into_inner);
        Ok(objects.get(key).cloned())
    }

    async fn put_new(&self, key: &str, bytes: Bytes) -> Result<bool, StoreError> {
        let mut objects = self.objects.lock().unwrap_or_else(PoisonError::into_inner);
        if objects.contains_key(key) {
            return Ok(false);
        }
        objects.insert(key.to_owned(), bytes);
        Ok(true)
    }
}
