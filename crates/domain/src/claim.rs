//! Claims on non-idempotent calls such as payments, which must run at most once.

use serde::{Deserialize, Serialize};

use crate::ids::{AttemptId, NodeId};

/// The ledger row of one non-idempotent call.
///
/// The row is inserted conditionally before the call is sent, and only the node whose insert
/// succeeded sends the call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallClaim {
    /// The node that may send the call.
    pub claimant: NodeId,
    /// The only attempt that may be sent.
    pub attempt: AttemptId,
    /// SHA-256 of the request body, to detect an idempotency key that is reused with another body.
    pub body_hash: String,
    /// Progress of the call.
    pub state: ClaimState,
}

/// Progress of a claimed call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum ClaimState {
    /// The call may or may not have been sent.
    Claimed,
    /// The target responded; the response is kept as the response to repeats of the call.
    Answered {
        /// HTTP status code of the response.
        status: u16,
        /// `Content-Type` header of the response.
        content_type: String,
        /// Response body as text.
        body: String,
    },
    /// The claimant established that no byte reached a target.
    NotRun,
}

impl CallClaim {
    /// Whether a new claim may replace the row without risking that the call runs twice.
    ///
    /// This holds only once the claimant itself has recorded that the call was not sent. A
    /// [`ClaimState::Claimed`] row is never replaceable, however old, because a paused claimant
    /// could still send the call.
    #[must_use]
    pub fn is_replaceable(&self) -> bool {
        matches!(self.state, ClaimState::NotRun)
    }
}
