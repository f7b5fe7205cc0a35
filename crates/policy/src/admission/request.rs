//! What is offered to a queue, and what becomes of it.

use std::time::Duration;

use bon::Builder;
use domain::CustomerKey;

slotmap::new_key_type! {
    /// Key of a waiting request.
    pub struct RequestKey;
}

/// A request that asks to be let in.
#[derive(Debug, Clone, Copy, PartialEq, Builder)]
pub struct AdmissionRequest {
    /// The customer.
    pub customer: CustomerKey,
    /// The customer's weight against others, at least 1.
    #[builder(default = 1)]
    pub share: u32,
    /// Order among the customer's own requests, higher first. Below 0 it is background work,
    /// which yields to every customer. A customer can't raise itself above others by it.
    #[builder(default = 0)]
    pub priority: i32,
    /// When the first token is due, since the node's start.
    pub deadline: Duration,
    /// Predicted tokens, of prompt and answer together.
    pub cost: u32,
}

/// What becomes of an offered request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferOutcome {
    /// It waits for its turn; [`AdmissionQueue::next`](super::AdmissionQueue::next) will name it.
    Admitted(RequestKey),
    /// It gets its final answer now; nothing of it was run.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// When the caller shall come back.
        retry_after: Duration,
    },
}

/// Why a request is refused at arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, thiserror::Error)]
pub enum RefusalReason {
    /// The queue has no room left for this customer.
    #[error("too many requests of this customer wait already")]
    QueueFull,
    /// It would wait beyond its deadline.
    #[error("the first token would be late")]
    TooLate,
}

/// A request that a target has finished, or given up.
#[derive(Debug, Clone, Copy, PartialEq, Builder)]
pub struct FinishedRequest {
    /// The customer.
    pub customer: CustomerKey,
    /// Tokens that were predicted.
    pub predicted_cost: u32,
    /// Tokens that it took.
    pub actual_cost: u32,
    /// Time from sending to the first token; none when none came.
    pub first_token: Option<Duration>,
}
