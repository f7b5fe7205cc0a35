//! A circuit breaker for calls to the store.

use std::time::{Duration, Instant};

use crate::error::StoreError;
use crate::limits::BudgetSettings;

/// State of a circuit breaker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CircuitState {
    /// Calls are sent.
    Closed,
    /// Calls are refused at once, without being sent.
    Open,
    /// One call is sent to check whether the store works again.
    HalfOpen,
}

/// Refuses calls for a while after several consecutive failures.
///
/// Otherwise callers would wait seconds for the timeout of a store that is known to be down. When
/// the store recovers, 410 nodes must not send their calls at the same moment, so each circuit
/// breaker stays open for a random time and then sends one call as a check.
#[derive(Debug, Clone)]
pub struct CircuitBreaker {
    settings: BudgetSettings,
    consecutive_failures: u32,
    consecutive_opens: u32,
    open_until: Option<Instant>,
    probe_until: Option<Instant>,
}

impl CircuitBreaker {
    /// Creates a closed circuit breaker.
    #[must_use]
    pub fn new(settings: BudgetSettings) -> Self {
        Self {
            settings,
            consecutive_failures: 0,
            consecutive_opens: 0,
            open_until: None,
            probe_until: None,
        }
    }

    /// Returns the state at `now`.
    #[must_use]
    pub fn state(&self, now: Instant) -> CircuitState {
        match self.open_until {
            None => CircuitState::Closed,
            Some(until) if now < until => CircuitState::Open,
            Some(_) => CircuitState::HalfOpen,
        }
    }

    /// Admits a call, or refuses it. If the check call of a half-open circuit never reports a
    /// result, the next one is admitted after the maximum open time.
    ///
    /// # Errors
    ///
    /// [`StoreError::Unavailable`]; the call must not be sent.
    pub fn admit(&mut self, now: Instant) -> Result<(), StoreError> {
        match self.state(now) {
            CircuitState::Closed => Ok(()),
            CircuitState::HalfOpen if self.probe_until.is_none_or(|until| now >= until) => {
                let max_open = Duration::from_millis(self.settings.longest_open_ms);
                self.probe_until = Some(now + max_open);
                Ok(())
            }
            CircuitState::Open | CircuitState::HalfOpen => Err(StoreError::Unavailable(
                "several consecutive calls failed".to_owned(),
            )),
        }
    }

    /// Records a response of the store and closes the circuit.
    pub fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.consecutive_opens = 0;
        self.open_until = None;
        self.probe_until = None;
    }

    /// Records a failure. `jitter`, from 0 to 1, shortens the open time by up to a half.
    ///
    /// A malformed response or a refusal for the rate limit is not counted, since it doesn't mean
    /// that the store is down.
    pub fn record_failure(&mut self, error: &StoreError, now: Instant, jitter: f64) {
        match error {
            StoreError::Malformed(_) | StoreError::Throttled { .. } => return,
            StoreError::Unavailable(_) | StoreError::ResponseLost(_) => {}
        }
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        if self.consecutive_failures < self.settings.open_after {
            return;
        }
        let was_admitted = self.state(now) != CircuitState::Open;
        if !was_admitted {
            return;
        }
        let max_open = Duration::from_millis(self.settings.longest_open_ms);
        let factor = 1_u32
            .checked_shl(self.consecutive_opens.min(16))
            .unwrap_or(u32::MAX);
        let backoff = Duration::from_millis(self.settings.first_open_ms).saturating_mul(factor);
        let open = backoff.min(max_open).mul_f64(1.0 - jitter / 2.0);
        self.consecutive_opens = self.consecutive_opens.saturating_add(1);
        self.open_until = Some(now + open);
        self.probe_until = None;
    }
}
