//! One attempt to commit an amendment.

use domain::{ConfigRevision, WriteToken};
use platform::{CommitOutcome, RowExpectation, TableStore, WriteBatch, commit_with_retries, keys};

use super::rows::{HeadRead, RecordRead, read_change, read_head, to_value};
use super::{AmendError, ChangeEntry, ConfigHead, RecordAmendment, StoredRecord};

/// Sends of one transaction before its outcome is reported as unknown.
const COMMIT_ATTEMPTS: u32 = 5;

/// The transaction of one amendment on top of one head.
#[derive(Debug)]
pub(super) struct AmendAttempt {
    pub(super) revision: ConfigRevision,
    record_key: String,
    change_key: String,
    batch: WriteBatch,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AttemptOutcome {
    /// It took effect.
    Accepted,
    /// Another record was amended first.
    HeadChanged,
    /// This record was amended first.
    RecordChanged,
}

impl AmendAttempt {
    pub(super) fn new(
        amendment: &RecordAmendment,
        initial: &RecordRead,
        head: &HeadRead,
        number: u32,
    ) -> Result<Self, AmendError> {
        let next = head.head.revision.next();
        let revision =
            next.ok_or_else(|| AmendError::MalformedRow(keys::CONFIG_HEAD.to_owned()))?;
        let record_key = keys::record_key(amendment.kind, &amendment.name);
        let change_key = keys::change_key(revision);
        let entry = ChangeEntry {
            revision,
            kind: amendment.kind,
            name: amendment.name.clone(),
            record: amendment.record.clone(),
            operator: amendment.operator.clone(),
        };
        let head_value = to_value(keys::CONFIG_HEAD, &ConfigHead { revision })?;
        let batch = WriteBatch::new(attempt_token(&amendment.token, number)?)
            .put(keys::CONFIG_HEAD, head.expectation, head_value)
            .put(
                change_key.clone(),
                RowExpectation::Absent,
                to_value(&change_key, &entry)?,
            );
        let batch = match &amendment.record {
            Some(record) => {
                let stored = StoredRecord {
                    revision,
                    record: record.clone(),
                };
                let value = to_value(&record_key, &stored)?;
                batch.put(record_key.clone(), initial.expectation, value)
            }
            None => batch.delete(record_key.clone(), initial.expectation),
        };
        Ok(Self {
            revision,
            record_key,
            change_key,
            batch,
        })
    }

    pub(super) async fn commit<T: TableStore>(
        &self,
        table: &T,
    ) -> Result<AttemptOutcome, AmendError> {
        let conflicts = match commit_with_retries(table, &self.batch, COMMIT_ATTEMPTS).await {
            Ok(CommitOutcome::Committed(_)) => return Ok(AttemptOutcome::Accepted),
            Ok(CommitOutcome::Conflict(conflicts)) => conflicts,
            Err(error) if error.is_not_applied() => return Err(error.into()),
            Err(error) => return Err(self.unsettled(error.to_string())),
        };
        let log_conflict = conflicts
            .iter()
            .find(|conflict| conflict.key == self.change_key);
        if log_conflict.is_none() && self.is_compacted(table).await? {
            // The head is past this revision, but the log row that would identify its author has
            // been compacted: this conflict may be with an earlier send of the same amendment.
            return Err(self.unsettled("its change-log row was compacted".to_owned()));
        }
        let record_changed = conflicts
            .iter()
            .any(|conflict| conflict.key == self.record_key);
        if record_changed {
            return Ok(AttemptOutcome::RecordChanged);
        }
        Ok(AttemptOutcome::HeadChanged)
    }

    async fn is_compacted<T: TableStore>(&self, table: &T) -> Result<bool, AmendError> {
        let head = read_head(table).await?;
        if head.head.revision < self.revision {
            return Ok(false);
        }
        Ok(read_change(table, self.revision).await?.is_none())
    }

    fn unsettled(&self, cause: String) -> AmendError {
        AmendError::Unsettled {
            revision: self.revision,
            token: self.batch.token.clone(),
            cause,
        }
    }
}

/// Derives a token for each attempt, because a token identifies a single batch.
fn attempt_token(token: &WriteToken, number: u32) -> Result<WriteToken, AmendError> {
    format!("{token}.{number}")
        .parse()
        .map_err(|_| AmendError::TokenTooLong(token.clone()))
}
