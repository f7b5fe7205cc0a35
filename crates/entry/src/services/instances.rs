//! Instance selection and retry decisions for plain services.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use domain::{FastMap, FastSet};
use policy::retry::{FailedAttempt, RetryBudget, RetryDecision, RetrySettings};
use policy::service::{CallOutcome, InstanceStats, choose_instance};

/// Statistics of the called instances and the retry budget of this process.
#[derive(Debug)]
pub(super) struct InstancePool {
    started: Instant,
    state: Mutex<PoolState>,
}

#[derive(Debug)]
struct PoolState {
    instances: FastMap<SocketAddr, InstanceStats>,
    budget: RetryBudget,
}

impl Default for InstancePool {
    fn default() -> Self {
        Self {
            started: Instant::now(),
            state: Mutex::new(PoolState {
                instances: FastMap::default(),
                budget: RetryBudget::new(RetrySettings::default()),
            }),
        }
    }
}

impl InstancePool {
    fn state(&self) -> MutexGuard<'_, PoolState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Selects an instance that has not been tried and counts a call to it as sent.
    pub fn choose(
        &self,
        addresses: &[SocketAddr],
        tried: &FastSet<SocketAddr>,
    ) -> Option<SocketAddr> {
        let now = self.now();
        let mut state = self.state();
        let candidates: Vec<InstanceStats> = addresses
            .iter()
            .map(|address| state.instances.get(address).cloned().unwrap_or_default())
            .collect();
        let usable = |index: usize| !tried.contains(&addresses[index]);
        let index = choose_instance(&candidates, now, usable, &mut rand::rng())?;
        let address = addresses[index];
        state.instances.entry(address).or_default().record_sent();
        Some(address)
    }

    /// Records the end of a call for instance selection and the retry budget.
    pub fn record_ended(&self, address: SocketAddr, elapsed: Duration, outcome: CallOutcome) {
        let now = self.now();
        let mut state = self.state();
        if outcome == CallOutcome::Responded {
            state.budget.record_success();
        }
        let instance = state.instances.entry(address).or_default();
        instance.record_ended(now, elapsed, outcome);
    }

    /// Records that a call was given up before it was sent.
    pub fn record_unsent(&self, address: SocketAddr) {
        let mut state = self.state();
        state.instances.entry(address).or_default().record_unsent();
    }

    /// Decides whether a failed idempotent call is retried, and after which delay.
    pub fn decide(&self, number: u32, deadline: Instant) -> RetryDecision {
        let now = self.now();
        let failed = FailedAttempt::builder()
            .number(number)
            .idempotent(true)
            .possibly_sent(true)
            .deadline(deadline.saturating_duration_since(self.started))
            .build();
        self.state().budget.decide(now, &failed, &mut rand::rng())
    }
}
