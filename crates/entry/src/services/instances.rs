//! The instances of plain services: which to call, and whether to call again.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use domain::{FastMap, FastSet};
use policy::retry::{FailedAttempt, RetryBudget, RetryDecision, RetrySettings};
use policy::service::{CallOutcome, InstanceStats, choose_instance};

/// What this process knows of the instances that it calls.
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

    /// Chooses an instance that was not tried and counts a call to it.
    pub fn choose(
        &self,
        addresses: &[SocketAddr],
        tried: &FastSet<SocketAddr>,
    ) -> Option<SocketAddr> {
        let now = self.now();
        let mut state = self.state();
        let known: Vec<InstanceStats> = addresses
            .iter()
            .map(|address| state.instances.get(address).cloned().unwrap_or_default())
            .collect();
        let usable = |index: usize| !tried.contains(&addresses[index]);
        let index = choose_instance(&known, now, usable, &mut rand::rng())?;
        let address = addresses[index];
        state.instances.entry(address).or_default().record_sent();
        Some(address)
    }

    /// A call ended.
    pub fn record_ended(&self, address: SocketAddr, elapsed: Duration, outcome: CallOutcome) {
        let now = self.now();
        let mut state = self.state();
        if outcome == CallOutcome::Answered {
            state.budget.record_success();
        }
        let instance = state.instances.entry(address).or_default();
        instance.record_ended(now, elapsed, outcome);
    }

    /// Whether a failed idempotent call is made again, and after which wait.
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
