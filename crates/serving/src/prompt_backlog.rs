//! Estimates of the prompts that wait for prefill at the head of a replica.
//!
//! Streams are late mainly because of prompt tokens, seldom because of the number of requests. Each
//! step that includes prefill delays every stream of the replica, so a few long prompts that arrive
//! together delay all first tokens and interrupt the streams that already produce tokens. Heads
//! report requests, not tokens, and some hundred milliseconds late, so nodes count the tokens that
//! they send.

use std::time::Duration;

/// Fraction of a replica's time that goes to prefill while prompts wait. The rest goes to the
/// tokens that other requests decode in the same steps: a chunk of 2,048 prompt tokens takes 40 ms,
/// next to 7 ms for those.
const PREFILL_FRACTION: f64 = 0.85;

/// Estimated prompt tokens that a head has not prefilled yet.
///
/// The estimate falls at the rate at which the replica prefills, so no message is needed when a
/// prompt is done, and the error from a lost or duplicated message is gone once those tokens would
/// have been prefilled.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PromptBacklog {
    tokens: f64,
    updated_at: Duration,
}

impl PromptBacklog {
    /// Adds a prompt that was sent to the head; `rate` is the prefill rate of the replica in tokens
    /// per second.
    pub fn add(&mut self, tokens: u32, now: Duration, rate: f64) {
        self.tokens = self.remaining_tokens(now, rate) + f64::from(tokens);
        self.updated_at = now;
    }

    /// Returns the estimated number of tokens not prefilled yet; `rate` is as for [`Self::add`].
    #[must_use]
    pub fn remaining_tokens(&self, now: Duration, rate: f64) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        (self.tokens - elapsed * rate * PREFILL_FRACTION).max(0.0)
    }

    /// Returns the estimated time until all prompts are prefilled, or zero if the rate is unknown.
    #[must_use]
    pub fn wait(&self, now: Duration, rate: f64) -> Duration {
        if rate <= 0.0 {
            return Duration::ZERO;
        }
        let seconds = self.remaining_tokens(now, rate) / (rate * PREFILL_FRACTION);
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }
}
