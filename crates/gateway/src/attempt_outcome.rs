//! How an attempt at one target ended.

use http::StatusCode;
use serving::SendBarrier;

use crate::target_response::TargetResponse;

/// Outcome of an attempt.
#[derive(Debug)]
pub enum AttemptOutcome {
    /// The target sent a response head.
    Responded(Box<TargetResponse>),
    /// No byte of the request reached the target.
    Unsent(String),
    /// No byte was sent, because of what the target states of itself.
    Barred(SendBarrier),
    /// The target reported that it did not execute the request.
    NotExecuted(StatusCode),
    /// The request may have been executed, but there is no usable response.
    Ambiguous(String),
    /// The request may have been executed; no response head came before the attempt timeout.
    TimedOut,
}

impl AttemptOutcome {
    /// Name in metrics.
    #[must_use]
    pub fn label(&self) -> &'static str {
        match self {
            Self::Responded(_) => "answered",
            Self::Unsent(_) => "unsent",
            Self::Barred(_) => "barred",
            Self::NotExecuted(_) => "not_run",
            Self::Ambiguous(_) => "lost",
            Self::TimedOut => "timed_out",
        }
    }
}
