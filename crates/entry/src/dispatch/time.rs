//! Time and reply types shared by the dispatcher's modules.

use std::time::{Duration, Instant};

use tokio::sync::oneshot;

use super::request::SlotGuard;
use crate::error::RequestError;

/// Receives the slot for a request, or the error that ends it.
pub type SlotReply = oneshot::Sender<Result<SlotGuard, RequestError>>;

/// A point in time, on both clocks that the dispatcher works with.
#[derive(Debug, Clone, Copy)]
pub struct DispatchTime {
    /// Time since the dispatcher started, as used by the `policy` crate.
    pub now: Duration,
    /// The same point in time, as used for the age of health evidence.
    pub instant: Instant,
}
