//! How fast a full replica works, and how many requests may wait at it.

use std::time::Duration;

/// Fraction of a request's target latency that waiting may use up. The rest covers what the node
/// does not know: requests that other nodes sent since the last report, and the round trip to the
/// target.
pub const MAX_WAIT_FRACTION: f64 = 0.8;

/// Queue length from which on overload is left to the fixed limit. At a shorter one, what other nodes send
/// between two reports of a target is as many requests as may queue there.
const SHORT_QUEUE: f64 = 4.0;

/// Times of a full replica, from the step model that its service publishes. All are zero if the
/// service publishes none.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ReplicaTiming {
    /// Time between two requests that complete: the prefill of one prompt and an equal part of the
    /// decoding of one response.
    pub completion_interval: Duration,
    /// Time of one decode pass over all requests, without prefill.
    pub decode_pass: Duration,
    /// Time to prefill one prompt of typical length.
    pub prefill: Duration,
    /// Prompt tokens prefilled per second.
    pub prefill_rate: f64,
    /// Replica time of one output token, among the tokens of all other requests.
    pub token_time: Duration,
}

impl ReplicaTiming {
    /// Returns the timing of a model whose times are `factor` times as long. A factor that is not
    /// positive counts as 1.
    #[must_use]
    pub fn scaled(self, factor: f64) -> Self {
        let factor = if factor > 0.0 { factor } else { 1.0 };
        Self {
            completion_interval: self.completion_interval.mul_f64(factor),
            decode_pass: self.decode_pass.mul_f64(factor),
            prefill: self.prefill.mul_f64(factor),
            prefill_rate: self.prefill_rate / factor,
            token_time: self.token_time.mul_f64(factor),
        }
    }

    /// Replica time that a request takes: the prefill of its prompt and the decoding of its response.
    /// Where the client gives no number of tokens, a typical request counts.
    #[must_use]
    pub fn request_time(&self, prompt_tokens: u32, output_tokens: u32) -> Duration {
        let prefill = if prompt_tokens == 0 || self.prefill_rate <= 0.0 {
            self.prefill
        } else {
            let seconds = f64::from(prompt_tokens) / self.prefill_rate;
            Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
        };
        let decode = if output_tokens == 0 {
            self.completion_interval.saturating_sub(self.prefill)
        } else {
            self.token_time.saturating_mul(output_tokens)
        };
        prefill.saturating_add(decode)
    }

    /// Returns how many requests may wait at a full replica ahead of one that should get its first
    /// token within `target`, or `None` if the service publishes no step model.
    ///
    /// A request that gets a slot still waits for the current decode pass and for its own prefill.
    /// At a full replica each queue position delays the first token by 40 to 70 ms, out of a target
    /// of 200 to 400 ms. A limit without those two terms let half of the responses be late while
    /// all replicas were full, and still refused clients.
    ///
    /// The prefill is that of a typical prompt rather than of the request, since otherwise the
    /// largest requests would be refused first.
    #[must_use]
    pub fn queue_capacity(&self, target: Duration) -> Option<f64> {
        if self.completion_interval.is_zero() {
            return None;
        }
        let wait = target.mul_f64(MAX_WAIT_FRACTION);
        let wait = wait.saturating_sub(self.decode_pass + self.prefill);
        Some(wait.as_secs_f64() / self.completion_interval.as_secs_f64())
    }

    /// Returns the queue capacity if overload control applies: the service publishes a step model, and the
    /// target latency allows fewer than `SHORT_QUEUE` requests to wait.
    #[must_use]
    pub fn short_queue(&self, target: Duration) -> Option<f64> {
        self.queue_capacity(target)
            .filter(|capacity| *capacity < SHORT_QUEUE)
    }

    /// Least time to the first event of a request that gets a slot at once: one decode pass and the prefill
    /// of a typical prompt.
    #[must_use]
    pub fn least_first_event(&self) -> Duration {
        self.decode_pass + self.prefill
    }
}
