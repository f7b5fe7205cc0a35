//! Pauses between tries.

use std::time::Duration;

use rand::Rng;

/// Pauses that double up to a longest one, each spread at random.
///
/// When the store returns after an outage, 410 nodes that waited the same time would all come back
/// at once and take it down again. Each pause is therefore drawn from half of it to the whole.
#[derive(Debug, Clone)]
pub struct RetryPause {
    first: Duration,
    longest: Duration,
    current: Duration,
}

impl RetryPause {
    /// Pauses from `first` to `longest`.
    #[must_use]
    pub fn new(first: Duration, longest: Duration) -> Self {
        Self {
            first,
            longest,
            current: first,
        }
    }

    /// The next pause.
    #[must_use]
    pub fn next_pause(&mut self) -> Duration {
        let whole = self.current;
        self.current = (whole * 2).min(self.longest);
        spread(whole, 0.5)
    }

    /// Starts over after a success.
    pub fn reset(&mut self) {
        self.current = self.first;
    }
}

/// A period shortened at random by up to `share` of it, so that nodes do not act in step.
#[must_use]
pub fn spread(period: Duration, share: f64) -> Duration {
    let part: f64 = rand::rng().random_range(0.0..=share);
    period.mul_f64(1.0 - part)
}
