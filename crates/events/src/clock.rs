//! A hybrid logical clock: close to wall time, and never behind anything that a process heard of.
//!
//! The clocks of two hosts differ, so sorting events by wall time alone shows an answer before its
//! request. A stamp received from another process moves this clock past it, so an event that was
//! caused by a message sorts behind the event that sent it. Nothing is decided by these stamps;
//! they order the time line for people.

use std::sync::{Mutex, PoisonError};
use std::time::SystemTime;

use serde::{Deserialize, Serialize};

/// A moment of a hybrid logical clock.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct HybridTimestamp {
    /// Milliseconds since 1970.
    pub millis: u64,
    /// Order of the events within one millisecond.
    pub counter: u32,
}

/// Farthest that a received stamp may move the clock ahead of wall time, in milliseconds; one
/// process with a broken clock would otherwise take all the others with it.
pub const MAX_CLOCK_OFFSET_MS: u64 = 60_000;

/// The clock of one process.
#[derive(Debug, Default)]
pub struct HybridClock {
    last: Mutex<HybridTimestamp>,
}

impl HybridClock {
    /// The next stamp, higher than every one before.
    pub fn next(&self) -> HybridTimestamp {
        self.next_at(wall_millis())
    }

    /// The next stamp at a given wall time in milliseconds.
    pub fn next_at(&self, wall: u64) -> HybridTimestamp {
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        let next = if wall > last.millis {
            HybridTimestamp {
                millis: wall,
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

    /// Moves the clock past a stamp that another process sent.
    pub fn observe(&self, stamp: HybridTimestamp) {
        self.observe_at(stamp, wall_millis());
    }

    /// Moves the clock past a stamp, at a given wall time in milliseconds.
    pub fn observe_at(&self, stamp: HybridTimestamp, wall: u64) {
        if stamp.millis > wall.saturating_add(MAX_CLOCK_OFFSET_MS) {
            return;
        }
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        *last = (*last).max(stamp);
    }
}

fn wall_millis() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
