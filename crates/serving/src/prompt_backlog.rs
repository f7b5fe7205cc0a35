//! Prompts that wait at a replica's head before they are read.
//!
//! What makes a stream late is seldom how many requests a replica runs: it is prompt tokens. Each
//! step that reads holds up every stream of the replica, so a few long prompts that arrive at once
//! delay the first tokens of all, and break the pauses of those that write. Heads report requests,
//! not tokens, and some hundred milliseconds late; so nodes keep count of what they send.

use std::time::Duration;

/// Part of a replica's time that goes to reading while prompts wait. The rest goes to the tokens
/// that its other requests write in the same steps: a chunk of 2,048 tokens takes 40 ms beside 7.
const READING_PART: f64 = 0.85;

/// Prompt tokens that a head has probably not read yet.
///
/// They run out at the rate at which the replica reads, so nobody has to say when a prompt is done,
/// and a message that is lost or counted twice is forgotten as soon as the tokens would be read.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PromptBacklog {
    tokens: f64,
    at: Duration,
}

impl PromptBacklog {
    /// Notes a prompt that was sent; `rate` is what the replica reads, in tokens a second.
    pub fn add(&mut self, tokens: u32, now: Duration, rate: f64) {
        self.tokens = self.remaining_tokens(now, rate) + f64::from(tokens);
        self.at = now;
    }

    /// Tokens that are left.
    #[must_use]
    pub fn remaining_tokens(&self, now: Duration, rate: f64) -> f64 {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        (self.tokens - passed * rate * READING_PART).max(0.0)
    }

    /// Time until all is read.
    #[must_use]
    pub fn wait(&self, now: Duration, rate: f64) -> Duration {
        if rate <= 0.0 {
            return Duration::ZERO;
        }
        let seconds = self.remaining_tokens(now, rate) / (rate * READING_PART);
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }
}
