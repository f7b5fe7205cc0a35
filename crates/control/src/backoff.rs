//! Exponential backoff and jitter.

use std::time::Duration;

use rand::Rng;

/// Exponential backoff with jitter: delays double up to a maximum.
///
/// When the store returns after an outage, 410 nodes with equal delays would all reconnect at once
/// and overload it again. Each delay is therefore drawn between half of its nominal value and the
/// full value.
#[derive(Debug, Clone)]
pub struct Backoff {
    initial: Duration,
    max: Duration,
    current: Duration,
}

impl Backoff {
    /// A backoff whose nominal delay starts at `initial` and doubles up to `max`.
    #[must_use]
    pub fn new(initial: Duration, max: Duration) -> Self {
        Self {
            initial,
            max,
            current: initial,
        }
    }

    /// Returns the next delay and doubles the nominal one.
    #[must_use]
    pub fn next_delay(&mut self) -> Duration {
        let delay = self.current;
        self.current = (delay * 2).min(self.max);
        with_jitter(delay, 0.5)
    }

    /// Restarts at the initial delay; call it after a success.
    pub fn reset(&mut self) {
        self.current = self.initial;
    }
}

/// Shortens a period at random by up to `fraction` of it, so that nodes do not act in lockstep.
#[must_use]
pub fn with_jitter(period: Duration, fraction: f64) -> Duration {
    let cut: f64 = rand::rng().random_range(0.0..=fraction);
    period.mul_f64(1.0 - cut)
}
