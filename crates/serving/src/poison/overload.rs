//! Crashes of cold targets that had been sent too many requests. They are no evidence against the requests
//! that ran there.
//!
//! A target that has just started takes fewer requests than a warm one, and crashes at a rate well above what
//! its service states. Whatever requests ran at several such targets would otherwise be taken for the cause.

use std::collections::VecDeque;
use std::time::Duration;

use domain::{BootNumber, FastMap, HostId};

use super::{CRASH_RETENTION, TargetProcess};
use crate::choose::TargetLoad;
use crate::cold_targets::ColdTerms;

/// Time over which the requests sent to a target are counted.
const SEND_WINDOW: Duration = Duration::from_secs(1);

/// Fraction of the rate of a cold target from which on its crash is not evidence. One node knows only a part
/// of what the others have sent, so its estimate may be half of the actual rate.
const OVERLOAD_FRACTION: f64 = 0.5;

/// Requests per second from which on a target may count as overloaded, however low its rate is: a request
/// that crashes its target was itself sent there, perhaps with a single other one.
const MIN_OVERLOAD_RATE: f64 = 3.0;

/// What one node knows of a target process when it crashes.
#[derive(Debug, Clone, Copy)]
pub struct CrashedTarget {
    /// Whether it was cold.
    pub is_cold: bool,
    /// Time since it started; `None` if it had started before this node knew of it.
    pub uptime: Option<Duration>,
    /// Requests that this node sent to it within the last second.
    pub own_sends: usize,
    /// Its load before the requests at it broke off.
    pub load: TargetLoad,
}

impl CrashedTarget {
    /// Whether it had been sent more than a cold target takes, so that its crash is no evidence against the
    /// requests there. Never so for a service that states nothing of cold targets, for a target that was
    /// neither cold nor had started within the cold time, and under less than half of the rate.
    #[must_use]
    pub fn was_overloaded(&self, terms: Option<ColdTerms>, now: Duration) -> bool {
        let Some(terms) = terms else { return false };
        let has_just_started = self.uptime.is_some_and(|uptime| uptime < terms.duration);
        if !self.is_cold && !has_just_started {
            return false;
        }
        let min_rate = (terms.rate * OVERLOAD_FRACTION).max(MIN_OVERLOAD_RATE);
        self.sent_rate(terms, now) >= min_rate
    }

    /// Estimates the requests of all nodes within the last second. Those of other nodes that are at the target
    /// arrived since its start, or within the cold time.
    fn sent_rate(&self, terms: ColdTerms, now: Duration) -> f64 {
        let own = f64::from(u32::try_from(self.own_sends).unwrap_or(u32::MAX));
        let all_present = self.load.fresh_estimate(now).unwrap_or(0.0);
        let others = (all_present - f64::from(self.load.in_flight)).max(0.0);
        let elapsed = self.uptime.unwrap_or(terms.duration).min(terms.duration);
        own + others / elapsed.max(SEND_WINDOW).as_secs_f64()
    }
}

/// One process of a host.
#[derive(Debug)]
struct ProcessSends {
    boot: BootNumber,
    /// When it started, if this node knew of its host or of other targets before.
    started_at: Option<Duration>,
    /// When requests were sent to it within [`SEND_WINDOW`], in ascending order.
    sent_at: VecDeque<Duration>,
}

/// Starts of target processes, and what one node has sent to them. Times are since the start of this process.
#[derive(Debug, Default)]
pub struct SendHistory {
    processes: FastMap<HostId, ProcessSends>,
}

impl SendHistory {
    /// Records that a process has started.
    pub fn record_start(&mut self, process: &TargetProcess, now: Duration) {
        self.process(process).started_at = Some(now);
    }

    /// Records that a request is sent to a process.
    pub fn record_send(&mut self, process: &TargetProcess, now: Duration) {
        let sends = self.process(process);
        while let Some(first) = sends.sent_at.front() {
            if now.saturating_sub(*first) < SEND_WINDOW {
                break;
            }
            sends.sent_at.pop_front();
        }
        sends.sent_at.push_back(now);
    }

    /// Number of requests sent to a process within the last second.
    #[must_use]
    pub fn recent_sends(&self, process: &TargetProcess, now: Duration) -> usize {
        let Some(sends) = self.known(process) else {
            return 0;
        };
        let sent_at = sends.sent_at.iter();
        sent_at
            .filter(|at| now.saturating_sub(**at) < SEND_WINDOW)
            .count()
    }

    /// Time since a process started; `None` if that is not known.
    #[must_use]
    pub fn uptime(&self, process: &TargetProcess, now: Duration) -> Option<Duration> {
        let started_at = self.known(process)?.started_at?;
        Some(now.saturating_sub(started_at))
    }

    /// Forgets processes that started long ago and were sent nothing recently.
    pub fn prune(&mut self, now: Duration) {
        self.processes.retain(|_, sends| {
            let newest = sends.started_at.max(sends.sent_at.back().copied());
            newest.is_some_and(|newest| now.saturating_sub(newest) < CRASH_RETENTION)
        });
    }

    fn known(&self, process: &TargetProcess) -> Option<&ProcessSends> {
        let sends = self.processes.get(&process.host)?;
        (sends.boot == process.boot).then_some(sends)
    }

    fn process(&mut self, process: &TargetProcess) -> &mut ProcessSends {
        let fresh = || ProcessSends {
            boot: process.boot,
            started_at: None,
            sent_at: VecDeque::new(),
        };
        let sends = self
            .processes
            .entry(process.host.clone())
            .or_insert_with(fresh);
        if sends.boot != process.boot {
            *sends = fresh();
        }
        sends
    }
}
