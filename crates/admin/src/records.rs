//! Conversions between the admin API's types and the control plane's.

use control::amend::{AmendConflict, ChangeRow, StoredRecord};
use control::review::{FindingSeverity, ReviewReport, review_delete, review_record};
use control::{AmendError, AmendOutcome, ConfigView, Expect, RecordAmendment};
use domain::{FindingList, RecordSpec};
use wire::admin::{AmendRequest, AmendResponse, ChangeBody, ExpectBody, RecordBody};
use wire::record::RecordError;

/// Checks an amendment against the configuration in `view`.
///
/// A record with an unknown schema version is refused, since this node can't check it. A stored one
/// would not stop the node from serving. A node of a newer release accepts it.
///
/// # Errors
///
/// The findings if the body doesn't hold a valid record.
pub fn review_amendment(
    view: &ConfigView,
    body: &AmendRequest,
) -> Result<ReviewReport, FindingList> {
    let mut findings = FindingList::default();
    let Some(envelope) = &body.record else {
        return Ok(review_delete(view, body.kind, &body.name));
    };
    if envelope.kind != body.kind || envelope.name != body.name {
        findings.add(
            "record",
            "kind or name differ from those of the request",
            "",
        );
        return Err(findings);
    }
    match RecordSpec::try_from(envelope.clone()) {
        Ok(record) => Ok(review_record(view, &record, None)),
        Err(RecordError::Invalid(invalid)) => Err(invalid),
        Err(error) => {
            findings.add(
                "schema",
                error.to_string(),
                "apply it through a node of a newer release",
            );
            Err(findings)
        }
    }
}

/// Splits the findings of a review into errors and warnings.
#[must_use]
pub fn split_report(report: ReviewReport) -> (FindingList, FindingList) {
    let (mut errors, mut warnings) = (FindingList::default(), FindingList::default());
    for rated in report.findings {
        let list = match rated.severity {
            FindingSeverity::Error => &mut errors,
            FindingSeverity::Warning => &mut warnings,
        };
        list.add(
            rated.finding.path,
            rated.finding.problem,
            rated.finding.advice,
        );
    }
    (errors, warnings)
}

/// Converts a request body into an amendment.
#[must_use]
pub fn amendment_from(body: AmendRequest) -> RecordAmendment {
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

/// Converts the result of an amendment into the response.
#[must_use]
pub fn response_from(
    outcome: Result<AmendOutcome, AmendError>,
    warnings: FindingList,
) -> AmendResponse {
    match outcome {
        Ok(AmendOutcome::Accepted(revision)) => AmendResponse::Accepted { revision, warnings },
        Ok(AmendOutcome::Conflict(AmendConflict {
            current, change, ..
        })) => AmendResponse::Conflict {
            current: current.map(record_body),
            change: change.map(|entry| {
                change_body(ChangeRow {
                    entry,
                    token: String::new(),
                })
            }),
        },
        Ok(AmendOutcome::Refused(findings)) => AmendResponse::Refused { findings },
        Err(AmendError::Unsettled {
            revision,
            token,
            cause,
        }) => AmendResponse::Unsettled {
            revision,
            reason: format!("{cause}; search the history for token {token}"),
        },
        Err(error) => AmendResponse::Unavailable {
            reason: error.to_string(),
        },
    }
}

/// Converts a stored record into its form in responses.
#[must_use]
pub fn record_body(stored: StoredRecord) -> RecordBody {
    RecordBody {
        revision: stored.revision,
        record: stored.record,
    }
}

/// Converts a row of the change log into its form in responses.
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
