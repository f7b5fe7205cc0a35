//! Amending operators' records.
//!
//! One amendment is one transaction: the head goes up by one, a row is inserted into the change
//! log, and the record's row is written, each under its own expectation. The change-log row is
//! never written twice, so the token in it proves the acceptance for as long as the log keeps it.

use domain::record::RecordKind;
use domain::{ConfigRevision, FindingList, WriteToken};
use platform::{
    CommitOutcome, RowExpectation, RowRead, StoreError, TableStore, WriteBatch, keys,
    settled_commit,
};
use serde::{Deserialize, Serialize};
use wire::record::RecordFrame;

use crate::review::schema_findings;

/// Sends of one transaction before its outcome is reported as unknown.
const COMMIT_TRIES: u32 = 5;

/// Transactions that one amendment tries while operators amend other records.
///
/// At 2,300 changes a day two operators hardly ever meet; a script that applies hundreds of
/// records beside another one does. Each lost round means that another amendment was accepted.
const HEAD_TRIES: u32 = 20;

/// The configuration's head row.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigHead {
    /// Revision of the configuration as a whole.
    pub revision: ConfigRevision,
}

/// A record's row: the record with the revision that wrote it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoredRecord {
    /// The revision that wrote it.
    pub revision: ConfigRevision,
    /// The record.
    pub record: RecordFrame,
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

/// What an operator expects of the record that is to be amended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Expect {
    /// Whatever is there when the amendment begins.
    #[default]
    Any,
    /// There is no such record.
    Absent,
    /// The record was last written by this revision.
    Revision(ConfigRevision),
}

/// One amendment.
#[derive(Debug, Clone, PartialEq)]
pub struct RecordAmendment {
    /// Kind of the record.
    pub kind: RecordKind,
    /// Name of the record.
    pub name: String,
    /// The new content; none deletes the record.
    pub record: Option<RecordFrame>,
    /// What must hold of the record.
    pub expect: Expect,
    /// Who amends it.
    pub operator: String,
    /// Marks the amendment; never used for another one.
    pub token: WriteToken,
}

/// What became of an amendment.
#[derive(Debug, Clone, PartialEq)]
pub enum AmendOutcome {
    /// It is accepted with this revision.
    Accepted(ConfigRevision),
    /// The record is not what the operator expected, or another operator was faster.
    Conflict(AmendConflict),
    /// It would lose a part of the record in force.
    Refused(FindingList),
}

/// What an amendment ran into.
#[derive(Debug, Clone, PartialEq)]
pub struct AmendConflict {
    /// What the operator expected.
    pub expected: Expect,
    /// The record as it is now.
    pub current: Option<StoredRecord>,
    /// The change that made it so, while the log keeps it.
    pub change: Option<ChangeEntry>,
}

/// Why an amendment has no outcome.
#[derive(Debug, thiserror::Error)]
pub enum AmendError {
    /// The store gave no answer; nothing took effect.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The answer is lost and could not be settled.
    #[error(
        "revision {revision} may or may not be accepted ({cause}): ask for the history of the \
         record before amending it again"
    )]
    Unsettled {
        /// The revision that it would have made.
        revision: ConfigRevision,
        /// Token to look for in the change log.
        token: WriteToken,
        /// Why it is open.
        cause: String,
    },
    /// Other amendments were accepted all the time.
    #[error("{HEAD_TRIES} other amendments were faster; nothing took effect, try again")]
    Crowded,
    /// A row of the table holds something else than it should.
    #[error("row {0} can't be read")]
    BadRow(String),
}

/// Writes or deletes a record.
///
/// When only the head moved, because another record was amended, the amendment is tried again by
/// itself. When the record itself changed, the later operator gets a conflict, also under
/// [`Expect::Any`]: each would otherwise believe that his record is the one in force.
///
/// # Errors
///
/// [`AmendError`]; only [`AmendError::Unsettled`] leaves open whether it is accepted.
pub async fn amend_record<T: TableStore>(
    table: &T,
    amendment: &RecordAmendment,
) -> Result<AmendOutcome, AmendError> {
    let begun = read_record(table, amendment.kind, &amendment.name).await?;
    if !begun.fulfils(amendment.expect) {
        return conflict(table, amendment, begun.stored).await;
    }
    let findings = schema_findings(
        begun.stored.as_ref().map(|stored| &stored.record),
        amendment.record.as_ref(),
    );
    if !findings.is_empty() {
        return Ok(AmendOutcome::Refused(findings));
    }
    for round in 0..HEAD_TRIES {
        let head = read_head(table).await?;
        let step = AmendStep::new(amendment, &begun, &head, round)?;
        match step.commit(table).await? {
            StepOutcome::Accepted => return Ok(AmendOutcome::Accepted(step.revision)),
            StepOutcome::HeadMoved => {}
            StepOutcome::RecordMoved => {
                let now = read_record(table, amendment.kind, &amendment.name).await?;
                return conflict(table, amendment, now.stored).await;
            }
        }
    }
    Err(AmendError::Crowded)
}

async fn conflict<T: TableStore>(
    table: &T,
    amendment: &RecordAmendment,
    current: Option<StoredRecord>,
) -> Result<AmendOutcome, AmendError> {
    let change = match &current {
        Some(stored) => read_change(table, stored.revision).await?,
        None => None,
    };
    Ok(AmendOutcome::Conflict(AmendConflict {
        expected: amendment.expect,
        current,
        change: change.map(|row| row.entry),
    }))
}

/// A record's row with its expectation for the next write.
#[derive(Debug)]
struct RecordRead {
    stored: Option<StoredRecord>,
    expectation: RowExpectation,
}

impl RecordRead {
    fn fulfils(&self, expect: Expect) -> bool {
        match expect {
            Expect::Any => true,
            Expect::Absent => self.stored.is_none(),
            Expect::Revision(revision) => self
                .stored
                .as_ref()
                .is_some_and(|stored| stored.revision == revision),
        }
    }
}

/// The head row with its expectation for the next write.
#[derive(Debug)]
struct HeadRead {
    head: ConfigHead,
    expectation: RowExpectation,
}

/// A change with the token that made it.
#[derive(Debug, Clone, PartialEq)]
pub struct ChangeRow {
    /// The change.
    pub entry: ChangeEntry,
    /// Token of the amendment.
    pub token: String,
}

fn parse_row<V: serde::de::DeserializeOwned>(
    key: &str,
    value: serde_json::Value,
) -> Result<V, AmendError> {
    serde_json::from_value(value).map_err(|_| AmendError::BadRow(key.to_owned()))
}

fn to_value<V: Serialize>(key: &str, value: &V) -> Result<serde_json::Value, AmendError> {
    serde_json::to_value(value).map_err(|_| AmendError::BadRow(key.to_owned()))
}

async fn read_head<T: TableStore>(table: &T) -> Result<HeadRead, AmendError> {
    match table.read(keys::CONFIG_HEAD, None).await? {
        RowRead::Found(row) => Ok(HeadRead {
            head: parse_row(keys::CONFIG_HEAD, row.value)?,
            expectation: RowExpectation::Version(row.version),
        }),
        RowRead::Absent | RowRead::Unchanged => Ok(HeadRead {
            head: ConfigHead::default(),
            expectation: RowExpectation::Absent,
        }),
    }
}

async fn read_record<T: TableStore>(
    table: &T,
    kind: RecordKind,
    name: &str,
) -> Result<RecordRead, AmendError> {
    let key = keys::record_key(kind, name);
    match table.read(&key, None).await? {
        RowRead::Found(row) => Ok(RecordRead {
            stored: Some(parse_row(&key, row.value)?),
            expectation: RowExpectation::Version(row.version),
        }),
        RowRead::Absent | RowRead::Unchanged => Ok(RecordRead {
            stored: None,
            expectation: RowExpectation::Absent,
        }),
    }
}

/// Reads a change; none when the log no longer keeps it or it was never made.
///
/// # Errors
///
/// [`AmendError`].
pub async fn read_change<T: TableStore>(
    table: &T,
    revision: ConfigRevision,
) -> Result<Option<ChangeRow>, AmendError> {
    let key = keys::change_key(revision);
    match table.read(&key, None).await? {
        RowRead::Found(row) => Ok(Some(ChangeRow {
            entry: parse_row(&key, row.value)?,
            token: row.token,
        })),
        RowRead::Absent | RowRead::Unchanged => Ok(None),
    }
}

/// One try of an amendment against one head.
#[derive(Debug)]
struct AmendStep {
    revision: ConfigRevision,
    record_key: String,
    change_key: String,
    batch: WriteBatch,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StepOutcome {
    Accepted,
    HeadMoved,
    RecordMoved,
}

impl AmendStep {
    fn new(
        amendment: &RecordAmendment,
        begun: &RecordRead,
        head: &HeadRead,
        round: u32,
    ) -> Result<Self, AmendError> {
        let revision = head.head.revision.next();
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
        let batch = WriteBatch::new(step_token(&amendment.token, round)?)
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
                batch.put(record_key.clone(), begun.expectation, value)
            }
            None => batch.delete(record_key.clone(), begun.expectation),
        };
        Ok(Self {
            revision,
            record_key,
            change_key,
            batch,
        })
    }

    async fn commit<T: TableStore>(&self, table: &T) -> Result<StepOutcome, AmendError> {
        let conflicts = match settled_commit(table, &self.batch, COMMIT_TRIES).await {
            Ok(CommitOutcome::Committed(_)) => return Ok(StepOutcome::Accepted),
            Ok(CommitOutcome::Conflict(conflicts)) => conflicts,
            Err(error) if error.is_unwritten() => return Err(error.into()),
            Err(error) => return Err(self.unsettled(error.to_string())),
        };
        let log_row = conflicts
            .iter()
            .find(|conflict| conflict.key == self.change_key);
        if log_row.is_none() && self.is_compacted(table).await? {
            // The head went past this revision, yet the row that would tell whose it is has been
            // compacted: a conflict here may be with an earlier send of this very amendment.
            return Err(self.unsettled("the change log no longer keeps it".to_owned()));
        }
        let record_moved = conflicts
            .iter()
            .any(|conflict| conflict.key == self.record_key);
        if record_moved {
            return Ok(StepOutcome::RecordMoved);
        }
        Ok(StepOutcome::HeadMoved)
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

/// A token for each round: a batch's token marks that batch alone.
fn step_token(token: &WriteToken, round: u32) -> Result<WriteToken, AmendError> {
    format!("{token}.{round}")
        .parse()
        .map_err(|_| AmendError::BadRow(format!("token {token} is too long")))
}
