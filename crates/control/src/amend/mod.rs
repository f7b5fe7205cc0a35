//! Amending operators' records.
//!
//! One amendment is one transaction: the head goes up by one, a row is inserted into the change
//! log, and the record's row is written, each under its own expectation. The change-log row is
//! never written twice, so the token in it proves the acceptance for as long as the log keeps it.

mod attempt;
mod rows;

use domain::record::RecordKind;
use domain::{ConfigRevision, FindingList, WriteToken};
use platform::{StoreError, TableStore};
use serde::{Deserialize, Serialize};
use wire::record::RecordFrame;

use attempt::{AmendAttempt, AttemptOutcome};
use rows::{read_head, read_record};

use crate::review::schema_findings;

pub use rows::{ChangeRow, read_change};

/// Transactions that one amendment tries while operators amend other records.
///
/// At 2,300 changes a day two operators hardly ever meet; a script that applies hundreds of
/// records beside another one does. Each lost round means that another amendment was accepted.
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
    #[error("{HEAD_ATTEMPTS} other amendments were faster; nothing took effect, try again")]
    Contention,
    /// A row of the table holds something else than it should.
    #[error("row {0} can't be read")]
    MalformedRow(String),
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
