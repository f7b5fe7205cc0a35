//! Noticing a replica that stands still.

use std::time::Duration;

/// Silence after which the members of a replica are asked whether they live.
///
/// A pass of a full replica that also reads prompts takes up to a quarter of a second; a head
/// whose member is gone moves nothing for seconds and goes on accepting. Twice the longest pass
/// separates the two.
pub const STALL_TIMEOUT: Duration = Duration::from_millis(450);

/// Time after the last movement in which a replica counts as moving: a long pass. What does not
/// answer meanwhile is out of this node's reach and not gone.
pub const PROGRESS_WINDOW: Duration = Duration::from_millis(300);

/// Pause between two rounds of questions while the silence lasts.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// When something last moved on one replica, as one node sees it.
#[derive(Debug, Clone, Copy, Default)]
pub struct StallDetector {
    running: u32,
    moved: Duration,
    asked: Option<Duration>,
}

impl StallDetector {
    /// A request was sent. The first one after an idle time starts the clock: nothing could have
    /// moved before.
    pub fn request_started(&mut self, now: Duration) {
        if self.running == 0 {
            self.moved = now;
        }
        self.running += 1;
    }

    /// A request ended.
    pub fn request_ended(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Bytes of an answer came.
    pub fn record_progress(&mut self, now: Duration) {
        self.moved = now;
    }

    /// How long nothing has moved, while requests run.
    #[must_use]
    pub fn stalled_for(&self, now: Duration) -> Duration {
        if self.running == 0 {
            return Duration::ZERO;
        }
        now.saturating_sub(self.moved)
    }

    /// Whether something moved until just now.
    #[must_use]
    pub fn is_progressing(&self, now: Duration) -> bool {
        self.running > 0 && self.stalled_for(now) < PROGRESS_WINDOW
    }

    /// Whether the members should be asked now; true once a pause.
    pub fn should_probe(&mut self, now: Duration) -> bool {
        if self.stalled_for(now) < STALL_TIMEOUT {
            self.asked = None;
            return false;
        }
        if self.asked.is_some_and(|asked| now < asked + PROBE_INTERVAL) {
            return false;
        }
        self.asked = Some(now);
        true
    }
}
