//! Whether calls to the store pass at the moment.

use std::time::{Duration, Instant};

use crate::error::StoreError;
use crate::limits::BudgetSettings;

/// Whether calls pass.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CircuitState {
    /// They pass.
    Closed,
    /// They are refused at once.
    Open,
    /// One passes, to find out.
    HalfOpen,
}

/// Refuses calls for a while after several failures in a row.
///
/// A caller that waits for the timeout of a store that is down stands at the counter for seconds
/// to hear what is known already. And when the store returns, 410 nodes must not come back in the
/// same moment: each opens for a time of its own, then sends one call to find out.
#[derive(Debug, Clone)]
pub struct CircuitBreaker {
    settings: BudgetSettings,
    failures: u32,
    openings: u32,
    open_until: Option<Instant>,
    probe_until: Option<Instant>,
}

impl CircuitBreaker {
    /// A closed circuit.
    #[must_use]
    pub fn new(settings: BudgetSettings) -> Self {
        Self {
            settings,
            failures: 0,
            openings: 0,
            open_until: None,
            probe_until: None,
        }
    }

    /// Whether calls pass at a moment.
    #[must_use]
    pub fn state(&self, now: Instant) -> CircuitState {
        match self.open_until {
            None => CircuitState::Closed,
            Some(until) if now < until => CircuitState::Open,
            Some(_) => CircuitState::HalfOpen,
        }
    }

    /// Lets a call pass, or refuses it. A call that was let pass to find out, and never came back,
    /// holds up the next one for the longest opening.
    ///
    /// # Errors
    ///
    /// [`StoreError::Unavailable`]: nothing was sent.
    pub fn admit(&mut self, now: Instant) -> Result<(), StoreError> {
        match self.state(now) {
            CircuitState::Closed => Ok(()),
            CircuitState::HalfOpen if self.probe_until.is_none_or(|until| now >= until) => {
                let longest = Duration::from_millis(self.settings.longest_open_ms);
                self.probe_until = Some(now + longest);
                Ok(())
            }
            CircuitState::Open | CircuitState::HalfOpen => Err(StoreError::Unavailable(
                "it failed several times in a row".to_owned(),
            )),
        }
    }

    /// Notes an answer.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.openings = 0;
        self.open_until = None;
        self.probe_until = None;
    }

    /// Notes a failure; `chance` from 0 to 1 spreads the opening.
    ///
    /// An answer that makes no sense is an answer, and a refusal for the limit is no sign that the
    /// store is down.
    pub fn record_failure(&mut self, error: &StoreError, now: Instant, chance: f64) {
        match error {
            StoreError::Malformed(_) | StoreError::Throttled { .. } => return,
            StoreError::Unavailable(_) | StoreError::ResponseLost(_) => {}
        }
        self.failures = self.failures.saturating_add(1);
        if self.failures < self.settings.open_after {
            return;
        }
        let tried = self.state(now) != CircuitState::Open;
        if !tried {
            return;
        }
        let longest = Duration::from_millis(self.settings.longest_open_ms);
        let doubled = 1_u32.checked_shl(self.openings.min(16)).unwrap_or(u32::MAX);
        let whole = Duration::from_millis(self.settings.first_open_ms).saturating_mul(doubled);
        let open = whole.min(longest).mul_f64(1.0 - chance / 2.0);
        self.openings = self.openings.saturating_add(1);
        self.open_until = Some(now + open);
        self.probe_until = None;
    }
}
