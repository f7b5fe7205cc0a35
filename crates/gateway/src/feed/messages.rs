//! Conversion between copies of tables and the messages on links.

use std::time::Duration;

use bytes::Bytes;
use domain::RowVersion;
use serving::feed::{RowPatch, StoreRow, TableCopy, TableDelta, VersionGap};
use wire::feed::{FeedContent, FeedDelta, FeedPosition, FeedRow};

/// Encodes what the sender of a position lacks of a table; `None` before the first read.
pub fn encode_delta(copy: &TableCopy, position: FeedPosition, now: Duration) -> Option<FeedDelta> {
    let known = position.known.map(RowVersion);
    let delta = copy.delta_since(known)?;
    // A receiver that gets all rows is not known to have any.
    let known = known.filter(|_| !delta.is_full);
    let rows = delta.rows.iter().map(|row| encode_row(copy, row, known));
    Some(FeedDelta {
        table: position.table,
        version: delta.version.0,
        age_ms: encode_millis(copy.age(now)),
        proof_age_ms: copy.proof_age(now).map(encode_millis),
        is_full: delta.is_full,
        rows: rows.collect(),
        gap: delta.gap.map(|gap| (gap.before.0, gap.after.0)),
    })
}

fn encode_row(copy: &TableCopy, row: &StoreRow, known: Option<RowVersion>) -> FeedRow {
    FeedRow {
        key: row.key.clone(),
        version: row.version.0,
        content: encode_content(copy, row, known),
    }
}

fn encode_content(copy: &TableCopy, row: &StoreRow, known: Option<RowVersion>) -> FeedContent {
    let Some(value) = &row.value else {
        return FeedContent::Removed;
    };
    let whole = || FeedContent::Whole(value.to_vec());
    let Some((base, old)) = known.and_then(|known| copy.previous(&row.key, known)) else {
        return whole();
    };
    let patch = RowPatch::between(old, value);
    let lengths = u32::try_from(patch.prefix)
        .ok()
        .zip(u32::try_from(patch.suffix).ok());
    let Some((prefix, suffix)) = lengths else {
        return whole();
    };
    FeedContent::Patch {
        base: base.0,
        prefix,
        suffix,
        middle: patch.middle.to_vec(),
    }
}

/// Decodes changes of a table; `None` if one refers to a value that the copy does not have.
pub fn decode_delta(copy: &TableCopy, delta: FeedDelta) -> Option<TableDelta> {
    let mut rows = Vec::with_capacity(delta.rows.len());
    for row in delta.rows {
        rows.push(decode_row(copy, row)?);
    }
    Some(TableDelta {
        version: RowVersion(delta.version),
        is_full: delta.is_full,
        rows,
        gap: delta.gap.map(|(before, after)| VersionGap {
            before: RowVersion(before),
            after: RowVersion(after),
        }),
    })
}

fn decode_row(copy: &TableCopy, row: FeedRow) -> Option<StoreRow> {
    let value = match row.content {
        FeedContent::Removed => None,
        FeedContent::Whole(value) => Some(Bytes::from(value)),
        FeedContent::Patch {
            base,
            prefix,
            suffix,
            middle,
        } => {
            let patch = RowPatch {
                prefix: usize::try_from(prefix).ok()?,
                suffix: usize::try_from(suffix).ok()?,
                middle: Bytes::from(middle),
            };
            let old = copy.value_at(&row.key, RowVersion(base))?;
            Some(patch.apply(old)?)
        }
    };
    Some(StoreRow {
        key: row.key,
        value,
        version: RowVersion(row.version),
    })
}

/// Milliseconds for a message, at most [`u32::MAX`].
pub fn encode_millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
