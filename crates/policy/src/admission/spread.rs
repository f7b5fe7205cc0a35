//! When refused callers shall come back.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

/// Shortest time that a refused caller is asked to stay away.
///
/// Less would let a caller's immediate retries add more load than its first request.
const FLOOR: Duration = Duration::from_millis(500);

/// Longest time that a refused caller is asked to stay away.
///
/// A trader who is told to wait longer gives up, and capacity may be back long before.
const CEILING: Duration = Duration::from_secs(30);

/// Largest change of a return by chance, as a fraction.
///
/// Two entries that refuse the same wave hand out the same times; chance keeps them apart.
const JITTER: f64 = 0.2;

/// Hands out times to return, one after another at the rate at which work drains.
///
/// Made for a burst of many times the capacity. If all refused callers came back after the same
/// wait, the burst would come again as a whole, and again; seen as waves of refusals at equal
/// distances. Each refusal therefore books the next stretch of drained work for its caller.
#[derive(Debug)]
pub(super) struct ReturnSpread {
    booked_until: Duration,
    rng: SmallRng,
}

impl ReturnSpread {
    pub fn new(rng: SmallRng) -> Self {
        Self {
            booked_until: Duration::ZERO,
            rng,
        }
    }

    /// Time until a caller shall come back whose work of `cost` was refused.
    ///
    /// `excess` is how much too long the wait is now; `rate` the units of cost drained a second.
    pub fn book(
        &mut self,
        now: Duration,
        excess: Duration,
        cost: f64,
        rate: Option<f64>,
    ) -> Duration {
        let earliest = now + excess.max(FLOOR);
        let length = rate.map_or(FLOOR, |rate| {
            Duration::from_secs_f64((cost / rate.max(f64::MIN_POSITIVE)).min(CEILING.as_secs_f64()))
        });
        let last = now + CEILING;
        self.booked_until = (self.booked_until.max(earliest) + length).min(last);
        if self.booked_until == last {
            let part = self.rng.random_range(0.5..1.0);
            return CEILING.mul_f64(part);
        }
        let jitter = self.rng.random_range(1.0 - JITTER..1.0 + JITTER);
        self.booked_until
            .saturating_sub(now)
            .mul_f64(jitter)
            .clamp(FLOOR, CEILING)
    }
}
