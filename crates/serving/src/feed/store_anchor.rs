//! When a response of the store was built, at the earliest, by the store's own clock.
//!
//! A response may wait for a process that is paused or gets no processor time. Neither the time at which
//! it is read nor how long the call took tells how long the store held it.

use std::time::Duration;

/// Fraction by which the clocks of two hosts may differ in speed; a clock that is being corrected runs
/// this much faster or slower.
const CLOCK_DRIFT: f64 = 0.0005;

/// A moment of this process, and what the store's clock showed then or later.
#[derive(Debug, Clone, Copy)]
struct ClockAnchor {
    at: Duration,
    clock: Duration,
}

/// Places responses of the store on this process's clock.
///
/// Clocks are compared within one connection alone: after another one the store may be another machine,
/// whose clock may be ahead, and an old response would look younger than it is.
#[derive(Debug, Clone, Copy, Default)]
pub struct StoreAnchor {
    connection: u64,
    anchor: Option<ClockAnchor>,
}

impl StoreAnchor {
    /// Takes in a response that shows `clock` to a call from `started_at` to `answered_at`, which is told
    /// from those of other connections by `connection`. Returns the earliest time at which the store can
    /// have built it.
    pub fn place(
        &mut self,
        connection: u64,
        (started_at, answered_at): (Duration, Duration),
        clock: Duration,
    ) -> Duration {
        if self.connection != connection {
            *self = Self {
                connection,
                anchor: None,
            };
        }
        let own = ClockAnchor {
            at: started_at,
            clock,
        };
        let known = self.anchor.and_then(|anchor| anchor.time_of(clock));
        // A clock that is ahead of the response has been stepped, so the anchor no longer holds.
        let placed = known.filter(|placed| *placed > started_at && *placed <= answered_at);
        if placed.is_none() {
            self.anchor = Some(own);
        }
        placed.unwrap_or(started_at)
    }
}

impl ClockAnchor {
    /// Earliest time at which the store's clock can have shown a reading; `None` before this process's
    /// start.
    fn time_of(&self, clock: Duration) -> Option<Duration> {
        let Some(passed) = clock.checked_sub(self.clock) else {
            return self.at.checked_sub(self.clock.saturating_sub(clock));
        };
        Some(self.at + passed.mul_f64(1.0 - CLOCK_DRIFT))
    }
}
