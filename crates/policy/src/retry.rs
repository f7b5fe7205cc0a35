//! Whether and when an attempt is made again.

use std::time::Duration;

use bon::Builder;
use rand::Rng;

/// Settings of retries.
#[derive(Debug, Clone, Copy, PartialEq, Builder)]
pub struct RetrySettings {
    /// Retries that each success allows.
    ///
    /// With a tenth, retries add at most 10% to the load however much fails.
    #[builder(default = 0.1)]
    pub retries_per_success: f64,
    /// Retries that may be saved up, for a failure after a quiet time.
    #[builder(default = 10.0)]
    pub max_balance: f64,
    /// Retries allowed a second even without successes, so that a node that has just started, or
    /// whose targets have just come back, finds out.
    #[builder(default = 0.5)]
    pub min_per_second: f64,
    /// Attempts of one request, the first included.
    #[builder(default = 4)]
    pub max_attempts: u32,
    /// Mean wait before the second attempt; doubled for each further one.
    #[builder(default = Duration::from_millis(50))]
    pub backoff: Duration,
    /// Longest wait before an attempt.
    #[builder(default = Duration::from_secs(1))]
    pub max_backoff: Duration,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self::builder().build()
    }
}

/// Retries that may still be made, as a part of recent successes.
///
/// Made for the moment at which everything fails: if each caller's request were sent four times,
/// targets that struggle would get four times the load and never recover; seen as a failure that
/// outlasts its cause.
#[derive(Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    balance: f64,
    at: Duration,
}

impl RetryBudget {
    /// A budget with its reserve full.
    #[must_use]
    pub fn new(settings: RetrySettings) -> Self {
        Self {
            settings,
            balance: settings.max_balance,
            at: Duration::ZERO,
        }
    }

    /// A request succeeded.
    pub fn record_success(&mut self) {
        self.deposit(self.settings.retries_per_success);
    }

    fn deposit(&mut self, amount: f64) {
        self.balance = (self.balance + amount).min(self.settings.max_balance);
    }

    /// Decides what follows a failed attempt, and pays for a retry.
    pub fn decide<R: Rng>(
        &mut self,
        now: Duration,
        attempt: &FailedAttempt,
        rng: &mut R,
    ) -> RetryDecision {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        self.at = self.at.max(now);
        self.deposit(elapsed * self.settings.min_per_second);
        if !attempt.idempotent && attempt.possibly_sent {
            return RetryDecision::GiveUp(GiveUpReason::MayHaveRun);
        }
        if attempt.number >= self.settings.max_attempts {
            return RetryDecision::GiveUp(GiveUpReason::AttemptsExhausted);
        }
        let wait = backoff(&self.settings, attempt.number, rng);
        if now + wait >= attempt.deadline {
            return RetryDecision::GiveUp(GiveUpReason::DeadlineExceeded);
        }
        if self.balance < 1.0 {
            return RetryDecision::GiveUp(GiveUpReason::BudgetExhausted);
        }
        self.balance -= 1.0;
        RetryDecision::Retry { wait }
    }
}

/// An attempt that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Builder)]
pub struct FailedAttempt {
    /// Its number, from 1.
    pub number: u32,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// Whether a byte of it could have reached a target.
    pub possibly_sent: bool,
    /// When an answer is no longer of use, since the node's start.
    pub deadline: Duration,
}

/// What follows a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Another attempt, on another target where there is one.
    Retry {
        /// How long to wait before it.
        wait: Duration,
    },
    /// The caller gets its final answer now.
    GiveUp(GiveUpReason),
}

/// Why no further attempt is made.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, thiserror::Error)]
pub enum GiveUpReason {
    /// A non-idempotent call may have reached a target; a second one could pay twice.
    #[error("the call may have run and must not be repeated")]
    MayHaveRun,
    /// Every attempt was used.
    #[error("every attempt failed")]
    AttemptsExhausted,
    /// The next attempt would start after the deadline.
    #[error("no time is left for another attempt")]
    DeadlineExceeded,
    /// Too much fails for more retries.
    #[error("too many requests fail for another attempt")]
    BudgetExhausted,
}

/// Wait before the attempt that follows number `number`: anything up to twice the doubled mean.
///
/// All callers of a lost target fail in the same moment. Equal waits would bring them to the next
/// target in one wave.
fn backoff<R: Rng>(settings: &RetrySettings, number: u32, rng: &mut R) -> Duration {
    let doublings = number.saturating_sub(1).min(16);
    let mean = settings.backoff * 2_u32.pow(doublings);
    let part: f64 = rng.random_range(0.0..2.0);
    mean.mul_f64(part).min(settings.max_backoff)
}
