//! The work of one step of continuous batching and its duration.

use std::time::Duration;

use domain::AttemptId;

/// Maximum prompt tokens that one step processes over all streams (chunked prefill), which bounds
/// how long a long prompt delays the tokens of other streams.
pub const MAX_STEP_PREFILL_TOKENS: u64 = 512;

/// Cost model of a step; the parts add up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StepCosts {
    /// Fixed duration of every step.
    pub step: Duration,
    /// Additional time for each stream that decodes a token.
    pub stream: Duration,
    /// Additional time for each prompt token that is prefilled.
    pub prompt_token: Duration,
}

/// The work of one step.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct BatchStep {
    /// Streams in prefill, with the number of prompt tokens that are processed.
    pub prefill: Vec<(AttemptId, u64)>,
    /// Streams that decode one token.
    pub decode: Vec<AttemptId>,
}

impl BatchStep {
    /// Adds up to `remaining` prompt tokens of a stream, limited by [`MAX_STEP_PREFILL_TOKENS`].
    pub fn add_prefill(&mut self, attempt: &AttemptId, remaining: u64) {
        let count = remaining.min(MAX_STEP_PREFILL_TOKENS.saturating_sub(self.prompt_tokens()));
        if count > 0 {
            self.prefill.push((attempt.clone(), count));
        }
    }

    /// Returns the number of prompt tokens in the step.
    #[must_use]
    pub fn prompt_tokens(&self) -> u64 {
        self.prefill.iter().map(|(_, count)| count).sum()
    }

    /// Returns the duration of the step. It grows with the batch, because one step computes a token
    /// for every stream.
    #[must_use]
    pub fn duration(&self, costs: &StepCosts) -> Duration {
        let streams = u32::try_from(self.decode.len()).unwrap_or(u32::MAX);
        let prompt = u32::try_from(self.prompt_tokens()).unwrap_or(u32::MAX);
        costs.step + costs.stream * streams + costs.prompt_token * prompt
    }
}
