//! Amending operators' records.

use domain::record::RecordKind;
use domain::{ConfigRevision, RowVersion, WriteToken};
use platform::{
    CommitOutcome, RowExpectation, RowRead, StoreError, TableStore, WriteBatch, keys,
    settled_commit,
};
use serde::{Deserialize, Serialize};
use wire::record::RecordFrame;

/// Sends of one amendment before its outcome is reported as unknown.
const COMMIT_TRIES: u32 = 5;

/// The configuration's head row.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigHead {
    /// Revision of the configuration as a whole.
    pub revision: ConfigRevision,
}

/// One row of the change log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChangeEntry {
    /// Revision that the change made.
    pub revision: ConfigRevision,
    /// Kind of the record.
    pub kind: RecordKind,
    /// Name of the record.
    pub name: String,
    /// The record now; none after a delete.
    pub record: Option<RecordFrame>,
    /// Who amended it.
    pub operator: String,
}

/// What became of an amendment.
#[derive(Debug, Clone, PartialEq)]
pub enum AmendOutcome {
    /// It is accepted with this revision.
    Accepted(ConfigRevision),
    /// Another operator was faster; the record as it is now.
    Conflict(Option<RecordFrame>),
}

/// Why an amendment has no outcome.
#[derive(Debug, thiserror::Error)]
pub enum AmendError {
    /// The store.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// A row of the table holds something else than it should.
    #[error("row {0} can't be read")]
    BadRow(String),
}

/// Writes a record, or deletes it with `record` none, when it still has the version `expected`
/// (`None`: whatever it has).
///
/// # Errors
///
/// [`AmendError`]; with [`StoreError::AnswerLost`] the amendment may or may not be accepted.
pub async fn amend_record<T: TableStore>(
    table: &T,
    kind: RecordKind,
    name: &str,
    record: Option<RecordFrame>,
    operator: &str,
    token: WriteToken,
) -> Result<AmendOutcome, AmendError> {
    let record_key = keys::record_key(kind, name);
    let (head, head_expect) = match table.read(keys::CONFIG_HEAD, None).await? {
        RowRead::Found(row) => {
            let head: ConfigHead = serde_json::from_value(row.value)
                .map_err(|_| AmendError::BadRow(keys::CONFIG_HEAD.to_owned()))?;
            (head, RowExpectation::Version(row.version))
        }
        RowRead::Absent | RowRead::Unchanged => (ConfigHead::default(), RowExpectation::Absent),
    };
    let record_expect = match table.read(&record_key, None).await? {
        RowRead::Found(row) => RowExpectation::Version(RowVersion(row.version.0)),
        RowRead::Absent | RowRead::Unchanged => RowExpectation::Absent,
    };
    let revision = head.revision.next();
    let entry = ChangeEntry {
        revision,
        kind,
        name: name.to_owned(),
        record: record.clone(),
        operator: operator.to_owned(),
    };
    let to_value = |value: Result<serde_json::Value, serde_json::Error>, key: &str| {
        value.map_err(|_| AmendError::BadRow(key.to_owned()))
    };
    let change_key = keys::change_key(revision);
    let mut batch = WriteBatch::new(token)
        .put(
            keys::CONFIG_HEAD,
            head_expect,
            to_value(
                serde_json::to_value(ConfigHead { revision }),
                keys::CONFIG_HEAD,
            )?,
        )
        .put(
            change_key.clone(),
            RowExpectation::Absent,
            to_value(serde_json::to_value(&entry), &change_key)?,
        );
    batch = match &record {
        Some(frame) => batch.put(
            record_key.clone(),
            record_expect,
            to_value(serde_json::to_value(frame), &record_key)?,
        ),
        None => batch.delete(record_key.clone(), record_expect),
    };
    match settled_commit(table, &batch, COMMIT_TRIES).await? {
        CommitOutcome::Committed(_) => Ok(AmendOutcome::Accepted(revision)),
        CommitOutcome::Conflict(_) => {
            let current = match table.read(&record_key, None).await? {
                RowRead::Found(row) => Some(
                    serde_json::from_value(row.value)
                        .map_err(|_| AmendError::BadRow(record_key.clone()))?,
                ),
                RowRead::Absent | RowRead::Unchanged => None,
            };
            Ok(AmendOutcome::Conflict(current))
        }
    }
}
