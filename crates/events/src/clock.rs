//! Hybrid logical clock: close to wall clock time, but never behind a timestamp that was received.
//!
//! The clocks of two hosts differ, so sorting events by wall clock time could show a response before
//! its request. A timestamp received from another process advances this clock past it, so an event
//! caused by a message sorts after the event that sent the message. The timestamps only order the
//! timeline for operators; no decision depends on them.

use std::sync::{Mutex, PoisonError};
use std::time::SystemTime;

use serde::{Deserialize, Serialize};

/// A timestamp of a hybrid logical clock.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct HybridTimestamp {
    /// Milliseconds since the Unix epoch.
    pub millis: u64,
    /// Orders timestamps within the same millisecond.
    pub counter: u32,
}

/// Maximum offset from wall clock time, in milliseconds, by which a received timestamp may advance
/// the clock. Without a limit, one process with a wrong clock would advance the clocks of all others.
pub const MAX_CLOCK_OFFSET_MS: u64 = 60_000;

/// The hybrid logical clock of a process.
#[derive(Debug, Default)]
pub struct HybridClock {
    last: Mutex<HybridTimestamp>,
}

impl HybridClock {
    /// Returns a timestamp that is higher than all earlier ones.
    pub fn next(&self) -> HybridTimestamp {
        self.next_at(wall_clock_millis())
    }

    /// Like [`Self::next`], with the wall clock time given in milliseconds since the Unix epoch.
    pub fn next_at(&self, wall_millis: u64) -> HybridTimestamp {
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        let next = if wall_millis > last.millis {
            HybridTimestamp {
                millis: wall_millis,
                counter: 0,
            }
        } else {
            HybridTimestamp {
                millis: last.millis,
                counter: last.counter.saturating_add(1),
            }
        };
        *last = next;
        next
    }

    /// Advances the clock past a timestamp received from another process. A timestamp that is more
    /// than [`MAX_CLOCK_OFFSET_MS`] ahead of wall clock time is ignored.
    pub fn observe(&self, timestamp: HybridTimestamp) {
        self.observe_at(timestamp, wall_clock_millis());
    }

    /// Like [`Self::observe`], with the wall clock time given in milliseconds since the Unix epoch.
    pub fn observe_at(&self, timestamp: HybridTimestamp, wall_millis: u64) {
        if timestamp.millis > wall_millis.saturating_add(MAX_CLOCK_OFFSET_MS) {
            return;
        }
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        *last = (*last).max(timestamp);
    }
}

fn wall_clock_millis() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
