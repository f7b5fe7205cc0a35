//! Conversions between rows and batches and their wire types.

use domain::RowVersion;
use wire::table::{BatchRequest, ChangeBody, ExpectBody, RowBody, WriteBody};

use crate::table::{RowChange, RowConflict, RowExpectation, TableRow, WriteBatch};

impl From<RowBody> for TableRow {
    fn from(body: RowBody) -> Self {
        Self {
            key: body.key,
            version: RowVersion(body.version),
            token: body.token,
            value: body.value,
        }
    }
}

impl From<RowBody> for RowConflict {
    fn from(body: RowBody) -> Self {
        let key = body.key.clone();
        let row = if body.version == 0 {
            None
        } else {
            Some(TableRow::from(body))
        };
        Self { key, row }
    }
}

impl From<&WriteBatch> for BatchRequest {
    fn from(batch: &WriteBatch) -> Self {
        let writes = batch
            .writes
            .iter()
            .map(|(key, expect, change)| WriteBody {
                key: key.clone(),
                expect: ExpectBody::from(*expect),
                change: ChangeBody::from(change.clone()),
            })
            .collect();
        Self {
            token: batch.token.to_string(),
            writes,
        }
    }
}

impl From<RowExpectation> for ExpectBody {
    fn from(expectation: RowExpectation) -> Self {
        match expectation {
            RowExpectation::Any => Self::Any,
            RowExpectation::Absent => Self::Absent,
            RowExpectation::Version(version) => Self::Version { version: version.0 },
        }
    }
}

impl From<RowChange> for ChangeBody {
    fn from(change: RowChange) -> Self {
        match change {
            RowChange::Put(value) => Self::Put { value },
            RowChange::Delete => Self::Delete,
            RowChange::Check => Self::Check,
        }
    }
}
