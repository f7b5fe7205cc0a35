//! Amending operators' records.
//!
//! One amendment is one transaction: the head is raised by one, a row is inserted into the change
//! log, and the record's row is written, each with its own expectation. The change-log row is never
//! overwritten, so its token proves the acceptance for as long as the log keeps it.

mod attempt;
mod rows;

use domain::record::RecordKind;
use domain::{ConfigRevision, FindingList, WriteToken};
use platform::{StoreError, TableStore};
use serde::{Deserialize, Serialize};
use wire::record::RecordEnvelope;

use attempt::{AmendAttempt, AttemptOutcome};
use rows::{read_head, read_record};

use crate::review::schema_findings;

pub use rows::{ChangeRow, read_change};

/// Transactions tried by one amendment while operators amend other records.
///
/// At 2,300 changes a day two operators rarely collide; a script that applies hundreds of records
/// next to another one does. Each failed attempt means that another amendment was accepted.
const HEAD_ATTEMPTS: u32 = 20;

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
    /// Content of the record in its schema version.
    pub record: RecordEnvelope,
}

/// One row of the change log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChangeEntry {
    /// Revision that the change made.
    pub revision: ConfigRevision,
    /// Kind of the changed record.
    pub kind: RecordKind,
    /// Name of the changed record.
    pub name: String,
    /// The new content; none after a deletion.
    pub record: Option<RecordEnvelope>,
    /// Name of the operator who made the change.
    pub operator: String,
}

/// What an operator expects of the record before the amendment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Expect {
    /// Whatever is there when the amendment starts.
    #[default]
    Any,
    /// There is no such record.
    Absent,
    /// The record was last written by this revision.
    Revision(ConfigRevision),
}

/// A change of one record that an operator asks for.
#[derive(Debug, Clone, PartialEq)]
pub struct RecordAmendment {
    /// Kind of the record to write or delete.
    pub kind: RecordKind,
    /// Name of the record, unique within its kind.
    pub name: String,
    /// The new content; none deletes the record.
    pub record: Option<RecordEnvelope>,
    /// Precondition on the current record.
    pub expect: Expect,
    /// Name of the operator, written to the change log.
    pub operator: String,
    /// Idempotency token of the amendment; never reused for another one.
    pub token: WriteToken,
}

/// Result of an amendment.
#[derive(Debug, Clone, PartialEq)]
pub enum AmendOutcome {
    /// It is accepted with this revision.
    Accepted(ConfigRevision),
    /// The record does not meet the expectation, or another operator changed it first.
    Conflict(AmendConflict),
    /// It would lose a part of the current record.
    Refused(FindingList),
}

/// Details of a conflict.
#[derive(Debug, Clone, PartialEq)]
pub struct AmendConflict {
    /// What the operator expected.
    pub expected: Expect,
    /// The current record; none when there is none.
    pub current: Option<StoredRecord>,
    /// The change that wrote the current record, while the log keeps it.
    pub change: Option<ChangeEntry>,
}

/// Why an amendment has no result.
#[derive(Debug, thiserror::Error)]
pub enum AmendError {
    /// The store failed; nothing took effect.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The response is lost and the outcome could not be determined.
    #[error(
        "revision {revision} may or may not be accepted ({cause}): check the history of the \
         record before amending it again"
    )]
    Unsettled {
        /// The revision that the amendment would have made.
        revision: ConfigRevision,
        /// Token to look for in the change log.
        token: WriteToken,
        /// Why the outcome is unknown.
        cause: String,
    },
    /// Other amendments were accepted in every attempt.
    #[error("{HEAD_ATTEMPTS} other amendments were accepted first; nothing took effect, try again")]
    Contention,
    /// The token leaves no room for the number of the attempt.
    #[error("token {0} is too long")]
    TokenTooLong(WriteToken),
    /// The content of the row with this key can't be parsed, or a value can't be stored in it.
    #[error("row {0} is malformed")]
    MalformedRow(String),
}

/// Writes or deletes a record.
///
/// When only the head changed, because another record was amended, the amendment is retried. When
/// the record itself changed, the later operator gets a conflict, even with [`Expect::Any`]: each
/// would otherwise believe that their record is the one in force.
///
/// # Errors
///
/// [`AmendError`]; only [`AmendError::Unsettled`] leaves open whether it is accepted.
pub async fn amend_record<T: TableStore>(
    table: &T,
    amendment: &RecordAmendment,
) -> Result<AmendOutcome, AmendError> {
    let initial = read_record(table, amendment.kind, &amendment.name).await?;
    if !initial.satisfies(amendment.expect) {
        return conflict(table, amendment, initial.stored).await;
    }
    let findings = schema_findings(
        initial.stored.as_ref().map(|stored| &stored.record),
        amendment.record.as_ref(),
    );
    if !findings.is_empty() {
        return Ok(AmendOutcome::Refused(findings));
    }
    for number in 0..HEAD_ATTEMPTS {
        let head = read_head(table).await?;
        let attempt = AmendAttempt::new(amendment, &initial, &head, number)?;
        match attempt.commit(table).await? {
            AttemptOutcome::Accepted => return Ok(AmendOutcome::Accepted(attempt.revision)),
            AttemptOutcome::HeadChanged => {}
            AttemptOutcome::RecordChanged => {
                let now = read_record(table, amendment.kind, &amendment.name).await?;
                return conflict(table, amendment, now.stored).await;
            }
        }
    }
    Err(AmendError::Contention)
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
