//! Conversions between the records' wire forms and the control plane's.

use control::amend::{AmendConflict, ChangeRow, StoredRecord};
use control::review::{FindingSeverity, ReviewReport, review_delete, review_record};
use control::{AmendError, AmendOutcome, ConfigView, Expect, RecordAmendment};
use domain::{FindingList, RecordSpec};
use wire::admin::{AmendAnswer, AmendBody, ChangeBody, ExpectBody, RecordBody};
use wire::record::RecordError;

/// Reviews an amendment against the configuration in force.
///
/// A record of a schema version that this node does not know is refused here, although the node
/// would keep serving beside it: nobody would have checked it. A node of the newer release takes
/// it.
///
/// # Errors
///
/// Why the body is no record.
pub fn review_amendment(view: &ConfigView, body: &AmendBody) -> Result<ReviewReport, FindingList> {
    let mut findings = FindingList::default();
    let Some(frame) = &body.record else {
        return Ok(review_delete(view, body.kind, &body.name));
    };
    if frame.kind != body.kind || frame.name != body.name {
        findings.add(
            "record",
            "the record has another kind or name than the call",
            "",
        );
        return Err(findings);
    }
    match RecordSpec::try_from(frame.clone()) {
        Ok(record) => Ok(review_record(view, &record, None)),
        Err(RecordError::Invalid(found)) => Err(found),
        Err(error) => {
            findings.add("schema", error.to_string(), "apply it through a newer node");
            Err(findings)
        }
    }
}

/// Errors and warnings of a review.
#[must_use]
pub fn split_report(report: ReviewReport) -> (FindingList, FindingList) {
    let (mut errors, mut warnings) = (FindingList::default(), FindingList::default());
    for found in report.findings {
        let list = match found.severity {
            FindingSeverity::Error => &mut errors,
            FindingSeverity::Warning => &mut warnings,
        };
        list.add(
            found.finding.path,
            found.finding.problem,
            found.finding.advice,
        );
    }
    (errors, warnings)
}

/// The amendment that a body asks for.
#[must_use]
pub fn amendment_from(body: AmendBody) -> RecordAmendment {
    RecordAmendment {
        kind: body.kind,
        name: body.name,
        record: body.record,
        expect: match body.expect {
            ExpectBody::Any => Expect::Any,
            ExpectBody::Absent => Expect::Absent,
            ExpectBody::Revision { revision } => Expect::Revision(revision),
        },
        operator: body.operator,
        token: body.token,
    }
}

/// What an operator is told of an amendment.
#[must_use]
pub fn answer_from(
    outcome: Result<AmendOutcome, AmendError>,
    warnings: FindingList,
) -> AmendAnswer {
    match outcome {
        Ok(AmendOutcome::Accepted(revision)) => AmendAnswer::Accepted { revision, warnings },
        Ok(AmendOutcome::Conflict(AmendConflict {
            current, change, ..
        })) => AmendAnswer::Conflict {
            current: current.map(record_body),
            change: change.map(|entry| {
                change_body(ChangeRow {
                    entry,
                    token: String::new(),
                })
            }),
        },
        Ok(AmendOutcome::Refused(findings)) => AmendAnswer::Refused { findings },
        Err(AmendError::Unsettled {
            revision,
            token,
            cause,
        }) => AmendAnswer::Unsettled {
            revision,
            reason: format!("{cause}; look for token {token} in the history"),
        },
        Err(error) => AmendAnswer::Unavailable {
            reason: error.to_string(),
        },
    }
}

/// A record as operators get it.
#[must_use]
pub fn record_body(stored: StoredRecord) -> RecordBody {
    RecordBody {
        revision: stored.revision,
        record: stored.record,
    }
}

/// A change as operators get it.
#[must_use]
pub fn change_body(row: ChangeRow) -> ChangeBody {
    ChangeBody {
        revision: row.entry.revision,
        kind: row.entry.kind,
        name: row.entry.name,
        record: row.entry.record,
        operator: row.entry.operator,
        token: row.token,
    }
}
