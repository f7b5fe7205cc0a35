//! Claims on non-idempotent calls: who may send a payment or an award, once.

use serde::{Deserialize, Serialize};

use crate::ids::{AttemptId, NodeId};

/// The ledger row of one non-idempotent call.
///
/// A row is inserted conditionally before the call is sent; only the node that inserted it sends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallClaim {
    /// The node that may send.
    pub claimant: NodeId,
    /// The one attempt that may be sent.
    pub attempt: AttemptId,
    /// SHA-256 of the request's body, so that a reused key with another body is noticed.
    pub body_hash: String,
    /// How far the call is.
    pub state: ClaimState,
}

/// How far a claimed call is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum ClaimState {
    /// Claimed; it may have been sent.
    Claimed,
    /// The target answered.
    Answered {
        /// HTTP status of the answer.
        status: u16,
        /// Content type of the answer.
        content_type: String,
        /// Body of the answer, as text.
        body: String,
    },
    /// The claimant proved that no byte reached a target.
    NotRun,
}

impl CallClaim {
    /// Whether the row may be replaced by a new claim without a second run.
    ///
    /// Only a call that the claimant itself proved unsent is free again; a mere claim never is,
    /// however old, because a paused claimant could still send it.
    #[must_use]
    pub fn is_replaceable(&self) -> bool {
        matches!(self.state, ClaimState::NotRun)
    }
}
