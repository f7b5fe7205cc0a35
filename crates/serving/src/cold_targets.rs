//! Targets that are cold after a start, and what all nodes together may send them.

use std::time::Duration;

use domain::{FastMap, HostId};

use crate::poison::TargetProcess;
use crate::target_statements::SendBarrier;

/// Time between two heartbeats of a target. What arrives within it after a presumption may be older.
const TARGET_HEARTBEAT: Duration = Duration::from_millis(1200);

/// What a service states of its cold targets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdTerms {
    /// Time for which a target is cold after a start during traffic.
    pub duration: Duration,
    /// Requests per second that a cold target takes from all nodes together.
    pub rate: f64,
}

/// Requests beyond its rate that a cold target bears in any second, as the platform states.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdBound {
    /// Factor on the rate.
    pub overage: f64,
    /// Requests besides.
    pub slack: f64,
}

/// What one node may send to one cold target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdAllowance {
    /// Requests per second.
    pub rate: f64,
    /// Requests that may follow each other at once.
    pub burst: f64,
    /// Number of nodes among which the senders are chosen, per sender.
    pub nodes_per_sender: f64,
}

impl ColdAllowance {
    /// Time in which one request is earned; unlimited at a rate of 0.
    fn interval(self) -> Duration {
        Duration::try_from_secs_f64(1.0 / self.rate).unwrap_or(Duration::MAX)
    }

    /// Time by which a request may precede the one that is earned.
    fn tolerance(self) -> Duration {
        let requests = (self.burst - 1.0).max(0.0);
        Duration::try_from_secs_f64(requests / self.rate).unwrap_or_default()
    }
}

#[derive(Debug, Clone, Copy)]
struct ColdTarget {
    /// When it is warm at the latest.
    until: Duration,
    /// When it was presumed to be cold without a word of its own, if it was.
    presumed_at: Option<Duration>,
}

impl ColdTarget {
    /// Whether a word that arrives now may be older than the presumption.
    fn is_newly_presumed(&self, now: Duration) -> bool {
        let presumed_at = self.presumed_at;
        presumed_at.is_some_and(|at| now.saturating_sub(at) < TARGET_HEARTBEAT)
    }
}

/// Cold targets that one node knows of. Times are since the start of the process.
#[derive(Debug, Default)]
pub struct ColdLedger {
    targets: FastMap<TargetProcess, ColdTarget>,
    /// When the next request to a host is earned. It is kept by host: a restart of a target earns nothing.
    next_sends: FastMap<HostId, Duration>,
}

impl ColdLedger {
    /// Whether no target is known to be cold.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Records that a process says that it stays cold for `left` from now, or is warm if that is zero;
    /// returns whether it was not known to be cold.
    pub fn record(&mut self, process: &TargetProcess, left: Duration, now: Duration) -> bool {
        let known = self.targets.get(process);
        let presumed = known.filter(|target| target.is_newly_presumed(now));
        let (until, presumed_at) = match presumed {
            Some(target) => (
                target.until.max(now.saturating_add(left)),
                target.presumed_at,
            ),
            None => (now.saturating_add(left), None),
        };
        self.set(process, ColdTarget { until, presumed_at }, now)
    }

    /// Records that a process must be presumed to be cold for `left` from now, whatever it said before;
    /// returns whether it was not known to be cold.
    pub fn presume(&mut self, process: &TargetProcess, left: Duration, now: Duration) -> bool {
        let target = ColdTarget {
            until: now.saturating_add(left),
            presumed_at: Some(now),
        };
        self.set(process, target, now)
    }

    fn set(&mut self, process: &TargetProcess, target: ColdTarget, now: Duration) -> bool {
        let was_cold = self.is_cold(process, now);
        if target.until <= now {
            self.targets.remove(process);
            return false;
        }
        self.targets.insert(process.clone(), target);
        !was_cold
    }

    /// Whether a process is cold.
    #[must_use]
    pub fn is_cold(&self, process: &TargetProcess, now: Duration) -> bool {
        let target = self.targets.get(process);
        target.is_some_and(|target| now < target.until)
    }

    /// Number of processes that are cold.
    #[must_use]
    pub fn count(&self, now: Duration) -> usize {
        let targets = self.targets.values();
        targets.filter(|target| now < target.until).count()
    }

    /// Whether a request may be sent to a process now; `allowance` is what this node may send to it while it
    /// is cold, `None` if nothing.
    ///
    /// # Errors
    ///
    /// [`SendBarrier::Cold`] if not.
    pub fn check(
        &self,
        process: &TargetProcess,
        allowance: Option<ColdAllowance>,
        now: Duration,
    ) -> Result<(), SendBarrier> {
        if !self.is_cold(process, now) {
            return Ok(());
        }
        let allowance = allowance.ok_or(SendBarrier::Cold)?;
        let next_send = self.next_sends.get(&process.host).copied();
        if next_send.unwrap_or_default() > now.saturating_add(allowance.tolerance()) {
            return Err(SendBarrier::Cold);
        }
        Ok(())
    }

    /// The same right before a request is written, and counts it.
    ///
    /// # Errors
    ///
    /// [`SendBarrier::Cold`] if it must not be sent.
    pub fn take_send(
        &mut self,
        process: &TargetProcess,
        allowance: Option<ColdAllowance>,
        now: Duration,
    ) -> Result<(), SendBarrier> {
        self.check(process, allowance, now)?;
        let Some(allowance) = allowance.filter(|_| self.is_cold(process, now)) else {
            return Ok(());
        };
        let next_send = self.next_sends.entry(process.host.clone()).or_default();
        *next_send = (*next_send).max(now).saturating_add(allowance.interval());
        Ok(())
    }

    /// Forgets processes that are warm, and hosts with a full bucket.
    pub fn prune(&mut self, now: Duration) {
        self.targets.retain(|_, target| now < target.until);
        self.next_sends.retain(|_, next_send| now < *next_send);
    }
}
