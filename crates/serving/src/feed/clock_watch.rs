//! Notices when the store's clock is set forward, as after a move to another machine.

use std::time::Duration;

/// Least step that is told, above what the clocks of two hosts differ by between two responses.
const MIN_STEP: Duration = Duration::from_millis(100);

/// Compares the store's clock with this process's from response to response.
#[derive(Debug, Clone, Copy, Default)]
pub struct ClockWatch {
    /// The furthest that the store's clock has been ahead, in milliseconds; negative if it is behind.
    lead_ms: Option<i128>,
}

impl ClockWatch {
    /// Takes in a response that was read at `answered_at` and shows `clock`. Returns by how much the store's
    /// clock was set forward since earlier responses; one that was read late never looks ahead.
    pub fn step(&mut self, answered_at: Duration, clock: Duration) -> Option<Duration> {
        let millis = |time: Duration| i128::try_from(time.as_millis()).unwrap_or(i128::MAX);
        let lead_ms = millis(clock) - millis(answered_at);
        let known_ms = self
            .lead_ms
            .replace(self.lead_ms.unwrap_or(lead_ms).max(lead_ms))?;
        let step = u64::try_from(lead_ms - known_ms).ok()?;
        let step = Duration::from_millis(step);
        (step >= MIN_STEP).then_some(step)
    }
}
