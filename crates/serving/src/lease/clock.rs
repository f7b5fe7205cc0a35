//! What a process knows of the store's clock.

use std::time::Duration;

/// A reading of the store's clock, between the call that asked for it and the response.
///
/// Local times must come from a clock that goes on while the host is suspended. If it stood still then, a
/// holder would use a lease that others see as ended.
#[derive(Debug, Clone, Copy)]
pub struct StoreClock {
    /// What the store's clock showed.
    pub reading: Duration,
    /// When the call was sent.
    pub sent_at: Duration,
    /// When its response arrived.
    pub received_at: Duration,
}

impl StoreClock {
    /// The earliest that the store's clock can show now.
    #[must_use]
    pub fn earliest(&self, now: Duration) -> Duration {
        self.reading + now.saturating_sub(self.received_at)
    }

    /// The latest that the store's clock can show now.
    #[must_use]
    pub fn latest(&self, now: Duration) -> Duration {
        self.reading + now.saturating_sub(self.sent_at)
    }
}
