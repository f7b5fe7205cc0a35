//! What a node that was told to stop still does, and for how long.

use std::time::Duration;

/// Time from the signal to the end that is not used for requests: the end of the process itself,
/// and timers that fire late on a busy host.
const END_MARGIN: Duration = Duration::from_millis(700);

/// Time after the signal in which a node serves as before. The balancer takes a node out after two
/// missed answers, a second apart, and connections opened until then bring requests.
const LINGER: Duration = Duration::from_millis(2600);

/// Least time from the signal to the end, in which the balancer and callers learn of it.
const LEAST_TIME: Duration = Duration::from_millis(3200);

/// The course of one stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShutdownPlan {
    began: Duration,
    grace: Duration,
}

impl ShutdownPlan {
    /// A stop that began with a signal, with the time from it to the kill.
    #[must_use]
    pub fn new(began: Duration, grace: Duration) -> Self {
        Self { began, grace }
    }

    /// When what still runs is cut off.
    #[must_use]
    pub fn end(&self) -> Duration {
        self.began + self.grace.saturating_sub(END_MARGIN)
    }

    /// Whether connections should close after the request in progress.
    #[must_use]
    pub fn closes_connections(&self, now: Duration) -> bool {
        now.saturating_sub(self.began) >= LINGER
    }

    /// Whether a request that arrives now is served; `deadline` is when its time is over.
    ///
    /// A balancer that has too few ready nodes in a failure domain goes on sending to those that
    /// stop, until they are gone: with nodes stopped in series there are always some. A stream
    /// taken in the last seconds is then cut off in the middle, and its caller, who could have
    /// been served by another node, has lost the seconds that it waited. So once the balancer has
    /// had its time, only what is over in time for certain is taken.
    #[must_use]
    pub fn accepts(&self, now: Duration, deadline: Duration) -> bool {
        !self.closes_connections(now) || deadline <= self.end()
    }

    /// Whether the process may end; `idle` says that no request runs and no connection is open.
    #[must_use]
    pub fn is_over(&self, now: Duration, idle: bool) -> bool {
        now >= self.end() || (idle && now.saturating_sub(self.began) >= LEAST_TIME)
    }
}
