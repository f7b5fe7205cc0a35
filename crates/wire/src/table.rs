//! Protocol of the platform's table service.
//!
//! * `GET /rows/{key}`: 200 with the value as body and the row's version as `ETag`, 304 when
//!   `If-None-Match` names it, 404 when there is no row. `X-Write-Token` tells who wrote it.
//! * `GET /scan?prefix=P&after=K&limit=N`: a [`ScanPage`].
//! * `POST /batch` with a [`BatchRequest`]: 200 with [`BatchCommitted`], or 412 with [`BatchConflict`];
//!   all its writes take effect together or none does.
//! * 503 means that nothing took effect; 429 likewise, with `Retry-After`.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Header that carries the token of the write that made a row.
pub const WRITE_TOKEN_HEADER: &str = "x-write-token";

/// A row as it is read.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RowBody {
    /// The row's key.
    pub key: String,
    /// The row's version.
    pub version: u64,
    /// Token of the batch that wrote it.
    pub token: String,
    /// Its content.
    pub value: Value,
}

/// A page of a scan, ordered by key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ScanPage {
    /// The rows.
    pub rows: Vec<RowBody>,
    /// Whether rows after the last one remain.
    pub more: bool,
}

/// A transactional batch of conditional writes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BatchRequest {
    /// Marks every row that the batch writes.
    pub token: String,
    /// The writes.
    pub writes: Vec<WriteBody>,
}

/// One conditional write.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WriteBody {
    /// The row's key.
    pub key: String,
    /// What must hold of the row for the batch to take effect.
    pub expect: ExpectBody,
    /// The new content; none deletes the row, and a delete of an absent row is no error.
    pub change: ChangeBody,
}

/// What must hold of a row.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "is", rename_all = "lowercase")]
pub enum ExpectBody {
    /// Anything.
    Any,
    /// There is no such row.
    Absent,
    /// The row has this version.
    Version {
        /// The version.
        version: u64,
    },
}

/// What becomes of a row.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "do", rename_all = "lowercase")]
pub enum ChangeBody {
    /// It gets this content.
    Put {
        /// The content.
        value: Value,
    },
    /// It is deleted.
    Delete,
    /// It stays; only its expectation counts.
    Check,
}

/// A batch that took effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchCommitted {
    /// Version of every row that it wrote.
    pub version: u64,
}

/// A batch that did not take effect.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BatchConflict {
    /// The rows whose expectation failed; an absent row has version 0 and a null value.
    pub conflicts: Vec<RowBody>,
}
