//! Conversion between copies of tables and the messages on links.

use std::time::Duration;

use bytes::Bytes;
use domain::RowVersion;
use serving::feed::{StoreRow, TableDelta};
use wire::feed::{FeedDelta, FeedRow, FeedTable};

/// Encodes changes of a table with the age of the copy that they come from.
pub fn encode_delta(table: FeedTable, delta: TableDelta, age: Duration) -> FeedDelta {
    let rows = delta.rows.into_iter().map(|row| FeedRow {
        key: row.key,
        version: row.version.0,
        value: row.value.map(|value| value.to_vec()),
    });
    FeedDelta {
        table,
        version: delta.version.0,
        age_ms: encode_millis(age),
        is_full: delta.is_full,
        rows: rows.collect(),
    }
}

/// Decodes changes of a table.
pub fn decode_delta(delta: FeedDelta) -> TableDelta {
    let rows = delta.rows.into_iter().map(|row| StoreRow {
        key: row.key,
        version: RowVersion(row.version),
        value: row.value.map(Bytes::from),
    });
    TableDelta {
        version: RowVersion(delta.version),
        is_full: delta.is_full,
        rows: rows.collect(),
    }
}

/// Milliseconds for a message, at most [`u32::MAX`].
pub fn encode_millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
