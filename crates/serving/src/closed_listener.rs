//! Whether a target that leaves has stopped listening while it still sends a response.
//!
//! A target that leaves in order may stop listening and then end what it has begun. One that dies refuses
//! connections as well, but sends nothing after that.

use std::time::Duration;

/// Minimum time between two questions whether a target listens. Each of them opens a connection.
const ASK_INTERVAL: Duration = Duration::from_millis(500);

/// Time after a refused connection from which on bytes show that the target lives. Earlier ones may have been sent
/// before it died.
const SETTLE_TIME: Duration = Duration::from_millis(30);

/// What a response has shown of the listener of its target. All times are measured from process start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ClosedListener {
    asked_at: Option<Duration>,
    refused_at: Option<Duration>,
    is_outlived: bool,
}

impl ClosedListener {
    /// Records that bytes of the response arrived from a target that leaves. Returns whether to ask now whether it
    /// still listens.
    pub fn record_bytes(&mut self, now: Duration) -> bool {
        if let Some(refused_at) = self.refused_at {
            self.is_outlived |= now.saturating_sub(refused_at) >= SETTLE_TIME;
            return false;
        }
        let is_due = self
            .asked_at
            .is_none_or(|asked_at| now.saturating_sub(asked_at) >= ASK_INTERVAL);
        if is_due {
            self.asked_at = Some(now);
        }
        is_due
    }

    /// Records that the target refused a connection.
    pub fn record_refused(&mut self, now: Duration) {
        self.refused_at.get_or_insert(now);
    }

    /// Whether the response went on after its target had stopped listening, so that a refused connection does not
    /// show that the target has died.
    #[must_use]
    pub fn is_outlived(&self) -> bool {
        self.is_outlived
    }
}
