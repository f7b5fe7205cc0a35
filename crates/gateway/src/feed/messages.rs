//! Conversion between copies of tables and the messages on links.

use std::time::Duration;

use bytes::Bytes;
use domain::{EraVersion, RowVersion, StoreEra};
use serving::feed::{RowPatch, StoreRow, TableCopy, TableDelta, VersionGap};
use wire::feed::{FeedContent, FeedDelta, FeedPosition, FeedRow};

/// Encodes what the sender of a position lacks of a table; `None` before the first read.
pub fn encode_delta(copy: &TableCopy, position: FeedPosition, now: Duration) -> Option<FeedDelta> {
    let era = copy.era();
    // Rows of an era that has ended are of no use to the sender.
    if era < StoreEra(position.era) {
        return None;
    }
    let known = known_version(position);
    let delta = copy.delta_since(known)?;
    // A receiver that gets all rows is not known to have any.
    let known = known.filter(|_| !delta.is_full);
    let rows = delta.rows.iter().map(|row| encode_row(copy, row, known));
    Some(FeedDelta {
        table: position.table,
        era: era.0,
        version: number(era, delta.version)?,
        age_ms: encode_millis(copy.age(now)),
        proof_age_ms: copy.proof_age(now).map(encode_millis),
        is_full: delta.is_full,
        rows: rows.collect::<Option<_>>()?,
        gap: match delta.gap {
            Some(gap) => Some((number(era, gap.before)?, number(era, gap.after)?)),
            None => None,
        },
    })
}

/// Version up to which the sender of a position knows the table.
pub fn known_version(position: FeedPosition) -> Option<EraVersion> {
    let known = position.known?;
    Some(EraVersion::new(StoreEra(position.era), RowVersion(known)))
}

/// Number of a version that is of the era of a message, as all in it are.
fn number(era: StoreEra, version: EraVersion) -> Option<u64> {
    version.within(era).map(|version| version.0)
}

fn encode_row(copy: &TableCopy, row: &StoreRow, known: Option<EraVersion>) -> Option<FeedRow> {
    Some(FeedRow {
        key: row.key.clone(),
        version: number(copy.era(), row.version)?,
        content: encode_content(copy, row, known),
    })
}

fn encode_content(copy: &TableCopy, row: &StoreRow, known: Option<EraVersion>) -> FeedContent {
    let Some(value) = &row.value else {
        return FeedContent::Removed;
    };
    let whole = || FeedContent::Whole(value.to_vec());
    let previous = known.and_then(|known| copy.previous(&row.key, known));
    let based = previous.and_then(|(base, old)| Some((number(copy.era(), base)?, old)));
    let Some((base, old)) = based else {
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
        base,
        prefix,
        suffix,
        middle: patch.middle.to_vec(),
    }
}

/// Decodes changes of a table; `None` if one refers to a value that the copy does not have.
pub fn decode_delta(copy: &TableCopy, delta: FeedDelta) -> Option<TableDelta> {
    let version = |number| EraVersion::new(StoreEra(delta.era), RowVersion(number));
    let mut rows = Vec::with_capacity(delta.rows.len());
    for row in delta.rows {
        rows.push(decode_row(copy, row, version)?);
    }
    Some(TableDelta {
        version: version(delta.version),
        is_full: delta.is_full,
        rows,
        gap: delta.gap.map(|(before, after)| VersionGap {
            before: version(before),
            after: version(after),
        }),
    })
}

fn decode_row(
    copy: &TableCopy,
    row: FeedRow,
    version: impl Fn(u64) -> EraVersion,
) -> Option<StoreRow> {
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
            let old = copy.value_at(&row.key, version(base))?;
            Some(patch.apply(old)?)
        }
    };
    Some(StoreRow {
        key: row.key,
        value,
        version: version(row.version),
    })
}

/// Milliseconds for a message, at most [`u32::MAX`].
pub fn encode_millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
