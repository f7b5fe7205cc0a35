//! An in-memory table and object store with scripted faults.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use domain::RowVersion;
use platform::{CommitOutcome, ObjectStore, RowRead, StoreError, TableRow, TableStore, WriteBatch};
use standin::rows::MemoryRows;

/// Result of a commit; commits beyond the scripted ones succeed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommitFault {
    /// It takes effect and gets its response.
    None,
    /// It takes effect and the response is lost.
    LoseResponse,
    /// It never takes effect and the response is lost.
    LoseWrite,
    /// It takes effect only when [`FakeTable::deliver`] is called; the response is lost.
    Delay,
}

/// An in-memory table; clones share it.
#[derive(Debug, Clone, Default)]
pub struct FakeTable {
    inner: Arc<Mutex<FakeInner>>,
}

#[derive(Debug, Default)]
struct FakeInner {
    rows: MemoryRows,
    faults: Vec<CommitFault>,
    delayed: Vec<WriteBatch>,
    reads: u64,
    scans: u64,
}

impl FakeTable {
    fn inner(&self) -> MutexGuard<'_, FakeInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the results of the next commits, in order.
    pub fn set_faults(&self, faults: &[CommitFault]) {
        let mut inner = self.inner();
        inner.faults = faults.to_vec();
        inner.faults.reverse();
    }

    /// Applies the delayed commits now, if their expectations still hold.
    pub fn deliver(&self) {
        let mut inner = self.inner();
        for batch in std::mem::take(&mut inner.delayed) {
            inner.rows.commit(&batch);
        }
    }

    /// Number of single-row reads so far.
    pub fn reads(&self) -> u64 {
        self.inner().reads
    }

    /// Number of scans so far.
    pub fn scans(&self) -> u64 {
        self.inner().scans
    }

    /// Keys with the given prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let inner = self.inner();
        inner
            .rows
            .scan(prefix)
            .into_iter()
            .map(|row| row.key)
            .collect()
    }
}

fn lost() -> StoreError {
    StoreError::ResponseLost("injected response loss".to_owned())
}

impl TableStore for FakeTable {
    async fn read(&self, key: &str, known: Option<RowVersion>) -> Result<RowRead, StoreError> {
        tokio::task::yield_now().await;
        let mut inner = self.inner();
        inner.reads += 1;
        Ok(inner.rows.read(key, known))
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<TableRow>, StoreError> {
        tokio::task::yield_now().await;
        let mut inner = self.inner();
        inner.scans += 1;
        Ok(inner.rows.scan(prefix))
    }

    async fn commit(&self, batch: &WriteBatch) -> Result<CommitOutcome, StoreError> {
        tokio::task::yield_now().await;
        let mut inner = self.inner();
        match inner.faults.pop().unwrap_or(CommitFault::None) {
            CommitFault::None => Ok(inner.rows.commit(batch)),
            CommitFault::LoseResponse => {
                inner.rows.commit(batch);
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

/// An in-memory object store; clones share it.
#[derive(Debug, Clone, Default)]
pub struct FakeObjects {
    objects: Arc<Mutex<BTreeMap<String, Bytes>>>,
}

impl FakeObjects {
    /// Deletes all objects.
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

    async fn put_if_absent(&self, key: &str, bytes: Bytes) -> Result<bool, StoreError> {
        let mut objects = self.objects.lock().unwrap_or_else(PoisonError::into_inner);
        if objects.contains_key(key) {
            return Ok(false);
        }
        objects.insert(key.to_owned(), bytes);
        Ok(true)
    }
}
