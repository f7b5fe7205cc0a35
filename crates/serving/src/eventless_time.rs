//! How long bytes of a stream have arrived without an event.

use std::time::Duration;

/// Time without an event, and bytes in it, from which on a stream counts as broken though bytes arrive. A
/// target that has something to say needs fewer; clients abandon the stream a second later.
const EVENTLESS_TIME: Duration = Duration::from_secs(1);
const EVENTLESS_BYTES: usize = 1 << 10;

/// Longest time between two reads that counts. In a longer one the target computes the next event, or its client reads
/// nothing, so that nothing is read from the target either; after it, an event comes in parts that have waited.
const MAX_READ_GAP: Duration = Duration::from_millis(250);

/// Time for which bytes have arrived without an event. All times are measured from process start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EventlessTime {
    read_at: Option<Duration>,
    time: Duration,
}

impl EventlessTime {
    /// Records that an event was complete.
    pub fn record_event(&mut self, now: Duration) {
        self.read_at = Some(now);
        self.time = Duration::ZERO;
    }

    /// Records that bytes were read, `bytes` since the last event. Returns whether the stream counts as broken.
    pub fn record_bytes(&mut self, now: Duration, bytes: usize) -> bool {
        let gap = self
            .read_at
            .map_or(Duration::ZERO, |read_at| now.saturating_sub(read_at));
        self.time += gap.min(MAX_READ_GAP);
        self.read_at = Some(now);
        bytes > EVENTLESS_BYTES && self.time > EVENTLESS_TIME
    }
}
