//! Interface to the transactional table.

use std::future::Future;

use domain::{RowVersion, WriteToken};
use serde_json::Value;

use crate::error::StoreError;

/// A row of the table.
#[derive(Debug, Clone, PartialEq)]
pub struct TableRow {
    /// Key of the row.
    pub key: String,
    /// Version of the row; each batch gets a higher one than all earlier batches.
    pub version: RowVersion,
    /// Token of the batch that last wrote the row.
    pub token: String,
    /// Content of the row as JSON.
    pub value: Value,
}

/// Result of a conditional read.
#[derive(Debug, Clone, PartialEq)]
pub enum RowRead {
    /// The row exists and its version differs from the known one.
    Found(TableRow),
    /// The row does not exist.
    Absent,
    /// The row still has the known version.
    Unchanged,
}

/// Condition on a row; a batch is applied only if all its conditions hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RowExpectation {
    /// No condition.
    Any,
    /// The row does not exist.
    Absent,
    /// The row has this version.
    Version(RowVersion),
}

/// Change of a row.
#[derive(Debug, Clone, PartialEq)]
pub enum RowChange {
    /// Creates the row, or replaces its content.
    Put(Value),
    /// Deletes the row; deleting an absent row is no error.
    Delete,
    /// Leaves the row as it is; only its expectation is checked.
    Check,
}

/// A transactional batch of conditional writes, identified by a unique token.
#[derive(Debug, Clone, PartialEq)]
pub struct WriteBatch {
    /// Token that is stored with every row that the batch writes; unique to the batch.
    pub token: WriteToken,
    /// Key, expectation and change of each row.
    pub writes: Vec<(String, RowExpectation, RowChange)>,
}

impl WriteBatch {
    /// Creates an empty batch.
    #[must_use]
    pub fn new(token: WriteToken) -> Self {
        Self {
            token,
            writes: Vec::new(),
        }
    }

    /// Adds a write of a whole row.
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

/// A row whose expectation failed.
#[derive(Debug, Clone, PartialEq)]
pub struct RowConflict {
    /// Key of the row.
    pub key: String,
    /// The row as it is now; none if it does not exist.
    pub row: Option<TableRow>,
}

/// Result of a commit.
#[derive(Debug, Clone, PartialEq)]
pub enum CommitOutcome {
    /// The batch was applied; every row that it wrote has this version.
    Committed(RowVersion),
    /// Nothing was applied, because the expectations of these rows failed.
    Conflict(Vec<RowConflict>),
}

/// A transactional table.
pub trait TableStore: Clone + Send + Sync + 'static {
    /// Reads a row, unless it still has the version `known`.
    ///
    /// # Errors
    ///
    /// [`StoreError`].
    fn read(
        &self,
        key: &str,
        known: Option<RowVersion>,
    ) -> impl Future<Output = Result<RowRead, StoreError>> + Send;

    /// Reads all rows whose key starts with `prefix`, ordered by key. The result isn't a consistent
    /// snapshot.
    ///
    /// # Errors
    ///
    /// [`StoreError`].
    fn scan(&self, prefix: &str) -> impl Future<Output = Result<Vec<TableRow>, StoreError>> + Send;

    /// Reads up to `limit` rows whose key starts with `prefix` and sorts after `after`, ordered by
    /// key.
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

    /// Commits a batch once. [`crate::commit_with_retries`] handles [`StoreError::ResponseLost`].
    ///
    /// # Errors
    ///
    /// [`StoreError`].
    fn commit(
        &self,
        batch: &WriteBatch,
    ) -> impl Future<Output = Result<CommitOutcome, StoreError>> + Send;
}
