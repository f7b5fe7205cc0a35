//! Retry times for refused clients.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

/// Minimum retry time for a refused client.
///
/// With less, immediate retries of a client could add more load than its first request.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Maximum retry time for a refused client.
///
/// Users who are told to wait longer give up, and capacity may be available long before.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Maximum random deviation from a retry time, as a fraction.
///
/// Two entries that refuse the same burst compute the same times; the jitter keeps them apart.
const JITTER: f64 = 0.2;

/// Assigns retry times to refused clients at the rate at which work drains.
///
/// Designed for a burst of many times the capacity. If all refused clients retried after the same
/// delay, the burst would repeat as a whole, which shows as bursts of refusals at regular
/// intervals. Each refusal therefore reserves the next interval of drained work for its client.
#[derive(Debug)]
pub(super) struct RetrySchedule {
    reserved_until: Duration,
    rng: SmallRng,
}

impl RetrySchedule {
    pub fn new(rng: SmallRng) -> Self {
        Self {
            reserved_until: Duration::ZERO,
            rng,
        }
    }

    /// Returns the time after which a client should retry whose request of `cost` was refused.
    ///
    /// `excess` is the time by which the current wait is too long; `rate` is the units of cost
    /// drained per second.
    pub fn reserve(
        &mut self,
        now: Duration,
        excess: Duration,
        cost: f64,
        rate: Option<f64>,
    ) -> Duration {
        let earliest = now + excess.max(MIN_RETRY_AFTER);
        let work_time = rate.map_or(MIN_RETRY_AFTER, |rate| {
            Duration::from_secs_f64(
                (cost / rate.max(f64::MIN_POSITIVE)).min(MAX_RETRY_AFTER.as_secs_f64()),
            )
        });
        let latest = now + MAX_RETRY_AFTER;
        self.reserved_until = (self.reserved_until.max(earliest) + work_time).min(latest);
        if self.reserved_until == latest {
            let factor = self.rng.random_range(0.5..1.0);
            return MAX_RETRY_AFTER.mul_f64(factor);
        }
        let jitter = self.rng.random_range(1.0 - JITTER..1.0 + JITTER);
        self.reserved_until
            .saturating_sub(now)
            .mul_f64(jitter)
            .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }
}
