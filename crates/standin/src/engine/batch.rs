//! What one step of the continuous batch does and how long it takes.

use std::time::Duration;

use domain::AttemptId;

/// Prompt tokens that one step reads at most, over all streams; a long prompt thus delays the
/// tokens of the others by a bounded time.
pub const MAX_STEP_PREFILL_TOKENS: u64 = 512;

/// What a step costs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StepCosts {
    /// Every step.
    pub step: Duration,
    /// Each stream that gets a token.
    pub stream: Duration,
    /// Each prompt token that is read.
    pub prompt_token: Duration,
}

/// One step of the batch.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct BatchStep {
    /// Streams whose prompt is read, with the count of tokens.
    pub prefill: Vec<(AttemptId, u64)>,
    /// Streams that get a token.
    pub decode: Vec<AttemptId>,
}

impl BatchStep {
    /// Takes up to `remaining` prompt tokens of a stream into the step, as far as the chunk allows.
    pub fn add_prefill(&mut self, attempt: &AttemptId, remaining: u64) {
        let count = remaining.min(MAX_STEP_PREFILL_TOKENS.saturating_sub(self.prompt_tokens()));
        if count > 0 {
            self.prefill.push((attempt.clone(), count));
        }
    }

    /// Prompt tokens of the step.
    #[must_use]
    pub fn prompt_tokens(&self) -> u64 {
        self.prefill.iter().map(|(_, count)| count).sum()
    }

    /// Time of the step: it grows with the batch, as one step computes every stream's token.
    #[must_use]
    pub fn duration(&self, costs: &StepCosts) -> Duration {
        let streams = u32::try_from(self.decode.len()).unwrap_or(u32::MAX);
        let prompt = u32::try_from(self.prompt_tokens()).unwrap_or(u32::MAX);
        costs.step + costs.stream * streams + costs.prompt_token * prompt
    }
}
