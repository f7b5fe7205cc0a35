//! Protocol of the platform's transactional table service.
//!
//! * `GET /rows/{key}`: 200 with the value as body and the row's version as `ETag`, 304 if
//!   `If-None-Match` matches the version, 404 if the row does not exist. `X-Write-Token` contains the
//!   token of the batch that wrote the row.
//! * `GET /scan?prefix=P&after=K&limit=N`: a [`ScanPage`].
//! * `POST /batch` with a [`BatchRequest`]: 200 with [`BatchCommitted`], or 412 with
//!   [`BatchConflict`]. Either all writes are applied or none.
//! * 503, and 429 with `Retry-After`: nothing was applied.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Header with the token of the batch that last wrote a row.
pub const WRITE_TOKEN_HEADER: &str = "x-write-token";

/// A row of the table, in a scan or a conflict.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RowBody {
    /// Key of the row.
    pub key: String,
    /// Version of the row; each batch gets a higher one than all earlier batches.
    pub version: u64,
    /// Token of the batch that last wrote the row.
    pub token: String,
    /// Content of the row.
    pub value: Value,
}

/// A page of a scan, ordered by key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ScanPage {
    /// Rows whose keys follow the `after` parameter.
    pub rows: Vec<RowBody>,
    /// Whether more rows follow the last one.
    pub more: bool,
}

/// A transactional batch of conditional writes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BatchRequest {
    /// Token that is stored with every row that the batch writes; unique to the batch.
    pub token: String,
    /// Conditional writes, which are applied together or not at all.
    pub writes: Vec<WriteBody>,
}

/// A conditional write of one row.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WriteBody {
    /// Key of the row.
    pub key: String,
    /// Condition on the row; the batch is applied only if all its conditions hold.
    pub expect: ExpectBody,
    /// Change of the row.
    pub change: ChangeBody,
}

/// Condition on a row before the batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "is", rename_all = "lowercase")]
pub enum ExpectBody {
    /// No condition.
    Any,
    /// The row does not exist.
    Absent,
    /// The row has this version.
    Version {
        /// Expected version.
        version: u64,
    },
}

/// What a batch does to a row if all its conditions hold.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "do", rename_all = "lowercase")]
pub enum ChangeBody {
    /// Creates the row, or replaces its content.
    Put {
        /// New content.
        value: Value,
    },
    /// Deletes the row; deleting an absent row is no error.
    Delete,
    /// Leaves the row as it is; only its expectation is checked.
    Check,
}

/// Response to a batch that was applied.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchCommitted {
    /// Version of every row that the batch wrote.
    pub version: u64,
}

/// Response to a batch that was not applied, because a condition did not hold.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BatchConflict {
    /// Rows whose expectation failed; an absent row has version 0 and a null value.
    pub conflicts: Vec<RowBody>,
}
