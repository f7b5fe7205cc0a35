//! What a decision of the dispatcher comes with: its time, and where the answer goes.

use std::time::{Duration, Instant};

use tokio::sync::oneshot;

use super::request::SlotGuard;
use crate::error::RequestError;

/// The answer to an request.
pub type SlotReply = oneshot::Sender<Result<SlotGuard, RequestError>>;

/// A moment, on the clock of the policies and on that of the evidence.
#[derive(Debug, Clone, Copy)]
pub struct DispatchTime {
    /// Since the dispatcher's start.
    pub now: Duration,
    /// The same moment.
    pub instant: Instant,
}
