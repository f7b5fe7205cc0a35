//! How fast a full replica works, and how much may wait at it.

use std::time::Duration;

/// Part of a request's target latency that waiting may use up. The rest is for what the node does
/// not know: sends of other nodes since the last report, and the way to the target and back.
pub const MAX_WAIT_FRACTION: f64 = 0.8;

/// Times of a full replica, from the step model that its service publishes. All zero for a service
/// that publishes none.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ReplicaTiming {
    /// Time between two requests that it ends: the reading of one, and its even part of the writing.
    pub completion_interval: Duration,
    /// Time of one pass over all its requests, without reading.
    pub decode_pass: Duration,
    /// Time for reading one usual prompt.
    pub prefill: Duration,
    /// Prompt tokens that it reads a second.
    pub prefill_rate: f64,
}

impl ReplicaTiming {
    /// The same for a model whose times are `factor` times as long.
    #[must_use]
    pub fn scaled(self, factor: f64) -> Self {
        let factor = if factor > 0.0 { factor } else { 1.0 };
        Self {
            completion_interval: self.completion_interval.mul_f64(factor),
            decode_pass: self.decode_pass.mul_f64(factor),
            prefill: self.prefill.mul_f64(factor),
            prefill_rate: self.prefill_rate / factor,
        }
    }

    /// Requests that may wait at a full replica before one that should get its first token within
    /// `target`; nothing where the replica publishes no step model.
    ///
    /// A request that gets a place still waits for the pass in progress and for its own prompt. At a
    /// full replica each place in the queue makes the first token later by a step of 40 to 70 ms, of
    /// a target of 200 to 400: a limit that left those two out let half of the answers be late at
    /// times when all replicas were full, beside callers who were refused.
    ///
    /// The prompt is the usual one, not the request's own: else the largest would be refused first.
    #[must_use]
    pub fn queue_capacity(&self, target: Duration) -> Option<f64> {
        if self.completion_interval.is_zero() {
            return None;
        }
        let waits = target.mul_f64(MAX_WAIT_FRACTION);
        let waits = waits.saturating_sub(self.decode_pass + self.prefill);
        Some(waits.as_secs_f64() / self.completion_interval.as_secs_f64())
    }
}
