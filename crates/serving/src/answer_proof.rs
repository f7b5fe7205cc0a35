//! Whether a response shows that it is its target's own, and the answer to the request that was sent.
//!
//! The registry names a target's address some time after its process has ended. Until then anything may
//! listen there: another target, a service of somebody else, a server that knows no such path. Bytes may
//! also be left on a connection from before. A status alone tells none of these from the target.

use std::fmt;

use crate::route::RouteKind;

/// Statuses by which clients learn that their request has not run and never will, so that they send it again.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// What a response says of the request that it answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestEcho {
    /// It names the id of the request, or the request has none.
    Same,
    /// It names no request.
    Missing,
    /// It names another request.
    Other,
}

impl RequestEcho {
    /// Compares the id that a response names with that of the request.
    #[must_use]
    pub fn of(named: Option<&str>, sent: Option<&str>) -> Self {
        match (named, sent) {
            (None, Some(_)) => Self::Missing,
            (Some(named), sent) if sent != Some(named) => Self::Other,
            _ => Self::Same,
        }
    }
}

/// Marks of a response by which a target shows that it made it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerMarks {
    /// Request that the response names.
    pub echo: RequestEcho,
    /// Whether it has the signature of a target that ran the request.
    pub is_signed: bool,
    /// Whether it says that the target did not run the request, or is not the one that was addressed.
    pub is_not_run: bool,
}

/// What the marks prove.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerProof {
    /// The target ran the request, and this is its answer.
    Run,
    /// The target did not run the request and never will.
    NotRun,
    /// Nothing, neither that the request ran nor that it did not.
    Missing(ProofGap),
}

impl AnswerProof {
    /// Whether a status promises that the request has not run, on an answer that proves that it ran.
    #[must_use]
    pub fn contradicts(self, status: u16) -> bool {
        self == Self::Run && NOT_RUN_STATUSES.contains(&status)
    }

    /// Whether an answer must not reach its client because it does. The client would take the promise for true and
    /// send a request again that may run once at most; any other request may run again.
    #[must_use]
    pub fn misleads(self, status: u16, kind: RouteKind) -> bool {
        self.contradicts(status) && !kind.allows_retry()
    }
}

/// Mark that a response lacks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProofGap {
    /// It names no request.
    NoRequest,
    /// It names another request.
    OtherRequest,
    /// It is neither signed nor marked as not run.
    Unsigned,
}

impl ProofGap {
    /// Name in metrics and logs.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::NoRequest => "no_request",
            Self::OtherRequest => "other_request",
            Self::Unsigned => "unsigned",
        }
    }
}

impl fmt::Display for ProofGap {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::NoRequest => "response names no request",
            Self::OtherRequest => "response belongs to another request",
            Self::Unsigned => "response is not signed",
        })
    }
}

impl AnswerMarks {
    /// What the marks prove.
    #[must_use]
    pub fn proof(self) -> AnswerProof {
        match self.echo {
            RequestEcho::Other => AnswerProof::Missing(ProofGap::OtherRequest),
            RequestEcho::Missing => AnswerProof::Missing(ProofGap::NoRequest),
            RequestEcho::Same if self.is_not_run => AnswerProof::NotRun,
            RequestEcho::Same if self.is_signed => AnswerProof::Run,
            RequestEcho::Same => AnswerProof::Missing(ProofGap::Unsigned),
        }
    }
}
