//! Requests as the admission queue sees them, and its decisions.

use std::time::Duration;

use bon::Builder;
use domain::CustomerKey;

slotmap::new_key_type! {
    /// Key of a waiting request.
    pub struct RequestKey;
}

/// A request to be admitted.
#[derive(Debug, Clone, Copy, PartialEq, Builder)]
pub struct AdmissionRequest {
    /// The customer whose fair share the request counts against.
    pub customer: CustomerKey,
    /// The customer's weight relative to other customers, at least 1.
    #[builder(default = 1)]
    pub share: u32,
    /// Priority among the customer's own requests, highest first. Requests below 0 are background
    /// work, which yields to every customer. It does not raise a customer above others.
    #[builder(default = 0)]
    pub priority: i32,
    /// Time by which the first token is due, since the node's start.
    pub deadline: Duration,
    /// Predicted number of tokens, prompt and response together.
    pub cost: u32,
}

/// Decision on an offered request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The request waits until [`AdmissionQueue::next`](super::AdmissionQueue::next) returns its
    /// key.
    Admitted(RequestKey),
    /// The request gets its final response now; nothing was executed.
    Refused {
        /// Reason for the refusal, reported to the client.
        reason: RefusalReason,
        /// Time after which the client should retry.
        retry_after: Duration,
    },
}

/// Reason for refusing a request on arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, thiserror::Error)]
pub enum RefusalReason {
    /// The customer already holds as many places as are left.
    #[error("the queue is full for this customer")]
    QueueFull,
    /// The predicted wait exceeds the time to the deadline.
    #[error("the first token would miss the deadline")]
    WouldMissDeadline,
}

/// A request that a target has finished or given up.
#[derive(Debug, Clone, Copy, PartialEq, Builder)]
pub struct FinishedRequest {
    /// The customer that is charged for the difference in cost.
    pub customer: CustomerKey,
    /// Priority with which it was admitted; below 0 it is charged as background work.
    #[builder(default = 0)]
    pub priority: i32,
    /// Number of tokens that was predicted at admission.
    pub predicted_cost: u32,
    /// Number of tokens that were actually processed.
    pub actual_cost: u32,
    /// Time from sending to the first token, or `None` if there was none.
    pub first_token: Option<Duration>,
}
