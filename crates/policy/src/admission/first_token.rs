//! Time from sending a request to its first token.

use std::time::Duration;

/// Weight of a new observation in the mean.
const MEAN_WEIGHT: f64 = 0.1;

/// Weight of a new observation in the mean deviation.
const DEVIATION_WEIGHT: f64 = 0.1;

/// Mean deviations beyond the mean that are allowed for, as a retransmission timer does.
///
/// With the mean alone many of the requests that had waited to the limit were late: targets at
/// full load keep some of them waiting for a second, others not at all.
const DEVIATIONS: f64 = 4.0;

/// Mean and mean deviation of the time from sending to the first token, as a retransmission timer
/// keeps them for round trips.
#[derive(Debug, Default)]
pub(super) struct FirstTokenTime {
    mean: f64,
    deviation: f64,
}

impl FirstTokenTime {
    pub fn note(&mut self, time: Duration) {
        let gap = time.as_secs_f64() - self.mean;
        self.mean += gap * MEAN_WEIGHT;
        self.deviation += (gap.abs() - self.deviation) * DEVIATION_WEIGHT;
    }

    /// Time to put aside for the target's part.
    pub fn allowance(&self) -> Duration {
        let seconds = self.mean + DEVIATIONS * self.deviation;
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }
}
