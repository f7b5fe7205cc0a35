//! Estimate of the time from sending a request to its first token.

use std::time::Duration;

/// Weight of a new observation in the moving average.
const MEAN_WEIGHT: f64 = 0.1;

/// Weight of a new observation in the mean deviation.
const DEVIATION_WEIGHT: f64 = 0.1;

/// Number of mean deviations added to the mean, as in TCP retransmission timers.
///
/// With the mean alone, many of the requests that had waited up to their limit were late: targets
/// at full load delay some requests by a second and others not at all.
const DEVIATION_FACTOR: f64 = 4.0;

/// Mean and mean deviation of the time from sending to the first token, estimated as TCP estimates
/// round-trip times.
#[derive(Debug, Default)]
pub(super) struct FirstTokenTime {
    mean: f64,
    deviation: f64,
}

impl FirstTokenTime {
    pub fn record(&mut self, time: Duration) {
        let error = time.as_secs_f64() - self.mean;
        self.mean += error * MEAN_WEIGHT;
        self.deviation += (error.abs() - self.deviation) * DEVIATION_WEIGHT;
    }

    /// Returns the time to reserve for the target's own work.
    pub fn allowance(&self) -> Duration {
        let seconds = self.mean + DEVIATION_FACTOR * self.deviation;
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }
}
