//! Which calls the store takes, and how quickly it responds.

use std::time::Duration;

/// Behaviour of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreMode {
    /// Handles requests as usual.
    Healthy,
    /// Accepts requests but never responds.
    Unresponsive,
    /// Responds with 503.
    Unavailable,
    /// Closes connections on which a call arrives or waits, without a response.
    Away,
}

/// How quickly the store responds, and how many calls it takes.
#[derive(Debug, Clone, Copy)]
pub struct StoreRates {
    /// Time until each response.
    pub answer: Duration,
    /// Reading calls per second; further ones are refused.
    pub reads_per_s: u32,
    /// Writing calls per second; further ones are refused.
    pub writes_per_s: u32,
}

/// Calls within the current second.
#[derive(Debug, Default)]
pub(super) struct CallWindow {
    second: u64,
    reads: u32,
    writes: u32,
}

impl CallWindow {
    /// Counts a call; returns whether it is within the rates.
    pub(super) fn admits(&mut self, second: u64, is_write: bool, rates: StoreRates) -> bool {
        if second != self.second {
            *self = Self {
                second,
                ..Self::default()
            };
        }
        let (count, most) = if is_write {
            (&mut self.writes, rates.writes_per_s)
        } else {
            (&mut self.reads, rates.reads_per_s)
        };
        *count += 1;
        *count <= most
    }
}
