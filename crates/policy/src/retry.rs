//! Retry budget and backoff.

use std::time::Duration;

use bon::Builder;
use rand::Rng;

/// Settings of the retry budget and of the backoff.
#[derive(Debug, Clone, Copy, PartialEq, Builder)]
pub struct RetrySettings {
    /// Number of retries that each success adds to the budget.
    ///
    /// At 0.1, retries add at most 10% to the load regardless of how many requests fail.
    #[builder(default = 0.1)]
    pub retries_per_success: f64,
    /// Maximum number of retries that can be accumulated, available for failures after an idle
    /// period.
    #[builder(default = 10.0)]
    pub max_balance: f64,
    /// Number of retries per second that are allowed without any success, so that a node detects
    /// recovery after its own start or after an outage of its targets.
    #[builder(default = 0.5)]
    pub min_per_second: f64,
    /// Maximum number of attempts per request, including the first.
    #[builder(default = 4)]
    pub max_attempts: u32,
    /// Mean delay before the second attempt; doubled for each further attempt.
    #[builder(default = Duration::from_millis(50))]
    pub backoff: Duration,
    /// Maximum delay before an attempt.
    #[builder(default = Duration::from_secs(1))]
    pub max_backoff: Duration,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self::builder().build()
    }
}

/// Limits retries to a fraction of the recent successes.
///
/// If each request were sent up to four times while everything fails, struggling targets would get
/// four times the load and could not recover, and the outage would outlast its cause.
#[derive(Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    balance: f64,
    updated_at: Duration,
}

impl RetryBudget {
    /// Creates a budget with the maximum balance.
    #[must_use]
    pub fn new(settings: RetrySettings) -> Self {
        Self {
            settings,
            balance: settings.max_balance,
            updated_at: Duration::ZERO,
        }
    }

    /// Records a successful request, which adds `retries_per_success` to the budget, up to
    /// `max_balance`.
    pub fn record_success(&mut self) {
        self.deposit(self.settings.retries_per_success);
    }

    fn deposit(&mut self, amount: f64) {
        self.balance = (self.balance + amount).min(self.settings.max_balance);
    }

    /// Decides whether a failed attempt is retried and, if so, charges the retry to the budget.
    pub fn decide<R: Rng>(
        &mut self,
        now: Duration,
        attempt: &FailedAttempt,
        rng: &mut R,
    ) -> RetryDecision {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.updated_at = self.updated_at.max(now);
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

/// A failed attempt that may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Builder)]
pub struct FailedAttempt {
    /// Number of the attempt, starting at 1.
    pub number: u32,
    /// Whether the request can be executed twice without harm.
    pub idempotent: bool,
    /// Whether any byte of the request could have reached a target.
    pub possibly_sent: bool,
    /// Time after which a response is of no use to the client, since the node's start.
    pub deadline: Duration,
}

/// Whether a failed attempt is retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// The request is attempted again, on another target if there is one.
    Retry {
        /// Delay before the next attempt.
        wait: Duration,
    },
    /// The request has failed; the client gets its final response now.
    GiveUp(GiveUpReason),
}

/// Reason why a request is not retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, thiserror::Error)]
pub enum GiveUpReason {
    /// A non-idempotent call may have reached a target; repeating it could, for example, charge a
    /// payment twice.
    #[error("the call may have been executed and is not idempotent")]
    MayHaveRun,
    /// The maximum number of attempts was made.
    #[error("the maximum number of attempts was reached")]
    AttemptsExhausted,
    /// The next attempt would start after the deadline.
    #[error("the deadline leaves no time for another attempt")]
    DeadlineExceeded,
    /// The retry budget is used up because too many requests fail.
    #[error("the retry budget is exhausted")]
    BudgetExhausted,
}

/// Returns the delay after attempt number `attempt`, uniformly distributed between zero and twice
/// the exponentially growing mean.
///
/// All clients of a lost target fail at the same time, and equal delays would send them to the next
/// target in a single burst.
fn backoff<R: Rng>(settings: &RetrySettings, attempt: u32, rng: &mut R) -> Duration {
    let doublings = attempt.saturating_sub(1).min(16);
    let mean = settings.backoff * 2_u32.pow(doublings);
    let factor: f64 = rng.random_range(0.0..2.0);
    mean.mul_f64(factor).min(settings.max_backoff)
}
