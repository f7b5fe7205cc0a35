//! What a node still does after it was told to stop, and for how long.

use std::time::Duration;

/// Time before the kill that is not used for requests. It covers the exit of the process, and
/// timers that fire late on a busy host.
const EXIT_MARGIN: Duration = Duration::from_millis(700);

/// Time after the signal for which a node accepts requests as before. The load balancer takes a
/// node out after two failed health checks, one second apart, and connections opened until then
/// still bring requests.
const FULL_SERVICE_TIME: Duration = Duration::from_millis(2600);

/// The same as a part of the grace at most: of a short one, some must be left for what was accepted.
const FULL_SERVICE_PART: u32 = 3;

/// Time after the last requests are given up for their clients to get an answer.
const ANSWER_TIME: Duration = Duration::from_millis(200);

/// Minimum time between the signal and the exit, in which the load balancer and clients learn of
/// the shutdown.
const MIN_DURATION: Duration = Duration::from_millis(3200);

/// Timeline of one graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShutdownPlan {
    began: Duration,
    grace: Duration,
}

impl ShutdownPlan {
    /// Creates the plan for a signal that came at `began` and is followed by a kill after `grace`.
    #[must_use]
    pub fn new(began: Duration, grace: Duration) -> Self {
        Self { began, grace }
    }

    /// Returns when the requests that still run are given up, and their clients are told so.
    #[must_use]
    pub fn end(&self) -> Duration {
        self.began + self.grace.saturating_sub(EXIT_MARGIN)
    }

    /// Returns whether connections are closed after their current request.
    #[must_use]
    pub fn closes_connections(&self, now: Duration) -> bool {
        let full_service = FULL_SERVICE_TIME.min(self.grace / FULL_SERVICE_PART);
        now.saturating_sub(self.began) >= full_service
    }

    /// Returns whether a request that arrives now and ends by `deadline` is accepted.
    ///
    /// A load balancer with too few healthy nodes in a failure domain keeps sending to nodes that
    /// stop until they are gone, and during a rolling restart there always are some. A stream
    /// accepted in the last seconds would be cut off halfway, and its client, whom another node
    /// could have served, would have waited for nothing. So once the load balancer has had time to
    /// react, only requests that are sure to end in time are accepted.
    #[must_use]
    pub fn accepts(&self, now: Duration, deadline: Duration) -> bool {
        !self.closes_connections(now) || deadline <= self.end()
    }

    /// Returns when the process exits, whatever still runs.
    #[must_use]
    pub fn exit(&self) -> Duration {
        self.end() + ANSWER_TIME
    }

    /// Returns whether no more requests need to be waited for. `idle` means that no request runs and no connection is
    /// open.
    #[must_use]
    pub fn is_over(&self, now: Duration, idle: bool) -> bool {
        now >= self.end() || (idle && now.saturating_sub(self.began) >= MIN_DURATION)
    }
}
