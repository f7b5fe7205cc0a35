//! Pauses between tries.

use std::time::Duration;

use rand::Rng;

/// Pauses that double up to a max one, each with_jitter at random.
///
/// When the store returns after an outage, 410 nodes that waited the same time would all come back
/// at once and take it down again. Each pause is therefore drawn from half of it to the delay.
#[derive(Debug, Clone)]
pub struct Backoff {
    initial: Duration,
    max: Duration,
    current: Duration,
}

impl Backoff {
    /// Pauses from `initial` to `max`.
    #[must_use]
    pub fn new(initial: Duration, max: Duration) -> Self {
        Self {
            initial,
            max,
            current: initial,
        }
    }

    /// The next pause.
    #[must_use]
    pub fn next_delay(&mut self) -> Duration {
        let delay = self.current;
        self.current = (delay * 2).min(self.max);
        with_jitter(delay, 0.5)
    }

    /// Starts over after a success.
    pub fn reset(&mut self) {
        self.current = self.initial;
    }
}

/// A period shortened at random by up to `fraction` of it, so that nodes do not act in step.
#[must_use]
pub fn with_jitter(period: Duration, fraction: f64) -> Duration {
    let cut: f64 = rand::rng().random_range(0.0..=fraction);
    period.mul_f64(1.0 - cut)
}
