//! Port to the transactional table.

use std::future::Future;

use domain::{RowVersion, WriteToken};
use serde_json::Value;

use crate::error::StoreError;

/// A row.
#[derive(Debug, Clone, PartialEq)]
pub struct TableRow {
    /// Its key.
    pub key: String,
    /// Its version; every write to the table raises the table's versions.
    pub version: RowVersion,
    /// Token of the batch that wrote it.
    pub token: String,
    /// Its content.
    pub value: Value,
}

/// Answer of a conditional read.
#[derive(Debug, Clone, PartialEq)]
pub enum RowRead {
    /// The row.
    Found(TableRow),
    /// There is no such row.
    Absent,
    /// The row still has the version that the reader knows.
    Unchanged,
}

/// What must hold of a row for a batch to take effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RowExpectation {
    /// Anything.
    Any,
    /// There is no such row.
    Absent,
    /// The row has this version.
    Version(RowVersion),
}

/// What becomes of a row.
#[derive(Debug, Clone, PartialEq)]
pub enum RowChange {
    /// It gets this content.
    Put(Value),
    /// It is deleted.
    Delete,
    /// It stays; only its expectation counts.
    Check,
}

/// A transactional batch of conditional writes, marked by a token of its own.
#[derive(Debug, Clone, PartialEq)]
pub struct WriteBatch {
    /// Marks every row that the batch writes; never used for another batch.
    pub token: WriteToken,
    /// Key, expectation and change of each row.
    pub writes: Vec<(String, RowExpectation, RowChange)>,
}

impl WriteBatch {
    /// An empty batch.
    #[must_use]
    pub fn new(token: WriteToken) -> Self {
        Self {
            token,
            writes: Vec::new(),
        }
    }

    /// Adds a write.
    #[must_use]
    pub fn put(mut self, key: impl Into<String>, expect: RowExpectation, value: Value) -> Self {
        self.writes
            .push((key.into(), expect, RowChange::Put(value)));
        self
    }

    /// Adds a delete.
    #[must_use]
    pub fn delete(mut self, key: impl Into<String>, expect: RowExpectation) -> Self {
        self.writes.push((key.into(), expect, RowChange::Delete));
        self
    }

    /// Adds a condition on a row that the batch does not write.
    #[must_use]
    pub fn check(mut self, key: impl Into<String>, expect: RowExpectation) -> Self {
        self.writes.push((key.into(), expect, RowChange::Check));
        self
    }
}

/// A row whose expectation failed, as it is now; none when there is no such row.
#[derive(Debug, Clone, PartialEq)]
pub struct RowConflict {
    /// The key.
    pub key: String,
    /// The row.
    pub row: Option<TableRow>,
}

/// What became of a batch.
#[derive(Debug, Clone, PartialEq)]
pub enum CommitOutcome {
    /// All its writes took effect; every row written has this version.
    Committed(RowVersion),
    /// None took effect, because of these rows.
    Conflict(Vec<RowConflict>),
}

/// The transactional table.
pub trait TableStore: Clone + Send + Sync + 'static {
    /// Reads a row; `known` is a version that need not be sent again.
    ///
    /// # Errors
    ///
    /// [`StoreError`].
    fn read(
        &self,
        key: &str,
        known: Option<RowVersion>,
    ) -> impl Future<Output = Result<RowRead, StoreError>> + Send;

    /// Reads every row whose key starts with `prefix`, ordered by key. Not a snapshot.
    ///
    /// # Errors
    ///
    /// [`StoreError`].
    fn scan(&self, prefix: &str) -> impl Future<Output = Result<Vec<TableRow>, StoreError>> + Send;

    /// Reads up to `limit` rows whose key starts with `prefix` and follows `after`, by key.
    ///
    /// # Errors
    ///
    /// [`StoreError`].
    fn scan_page(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> impl Future<Output = Result<Vec<TableRow>, StoreError>> + Send {
        async move {
            let rows = self.scan(prefix).await?;
            let later = rows.into_iter().filter(|row| row.key.as_str() > after);
            Ok(later.take(limit).collect())
        }
    }

    /// Commits a batch. After [`StoreError::ResponseLost`] use [`crate::commit_with_retries`].
    ///
    /// # Errors
    ///
    /// [`StoreError`].
    fn commit(
        &self,
        batch: &WriteBatch,
    ) -> impl Future<Output = Result<CommitOutcome, StoreError>> + Send;
}
