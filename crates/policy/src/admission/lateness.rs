//! How long the client of a request has waited already, and whether the response will be late.
//!
//! Load: clients that were rejected come back while targets are full. Their responses are late whatever
//! is done; if they queued, those that could still be in time would be late as well.

use std::time::Duration;

use domain::FastMap;

/// Period of one entry in the recent maxima of a route.
const BUCKET_TIME: Duration = Duration::from_secs(10);

/// Entries kept per route, so that a value counts for 50 to 60 seconds.
const BUCKETS: usize = 6;

/// Number of known routes from which unused ones are removed.
const MAX_ROUTES: usize = 1_024;

/// The largest time left of recent requests on one route.
#[derive(Debug, Clone)]
struct RouteTimes {
    /// Timeout of the route when the values were recorded.
    timeout: Duration,
    /// Largest values, each with the number of its period since process start.
    buckets: [(u64, Duration); BUCKETS],
}

impl RouteTimes {
    fn new(timeout: Duration) -> Self {
        Self {
            timeout,
            buckets: [(0, Duration::ZERO); BUCKETS],
        }
    }

    fn record(&mut self, left: Duration, period: u64) {
        let index = usize::try_from(period).unwrap_or(0) % BUCKETS;
        let bucket = &mut self.buckets[index];
        if bucket.0 != period {
            *bucket = (period, Duration::ZERO);
        }
        bucket.1 = bucket.1.max(left);
    }

    fn usual(&self, period: u64) -> Duration {
        let recent = self.buckets.iter().filter(|(of, _)| is_recent(*of, period));
        let values = recent.map(|(_, left)| *left);
        values.max().unwrap_or_default()
    }
}

fn is_recent(of: u64, period: u64) -> bool {
    period.saturating_sub(of) < u64::try_from(BUCKETS).unwrap_or(u64::MAX)
}

/// Usual total time of the clients of each route, learned from the time that requests have left.
///
/// First attempts carry the full time and retries less, so the largest recent value is the full time. A
/// client with less time than the others of its route seems to have waited.
#[derive(Debug, Default)]
pub struct UsualTimes {
    routes: FastMap<String, RouteTimes>,
}

impl UsualTimes {
    /// Records the time that the client of an arriving request will still wait, and returns how long it
    /// has waited already: the difference to the largest recent value of the route.
    ///
    /// A different `timeout` of the route discards what is known of it: clients take their time from the
    /// same configuration, and would seem late for a minute after it was reduced.
    pub fn record(
        &mut self,
        route: &str,
        timeout: Duration,
        left: Duration,
        now: Duration,
    ) -> Duration {
        let period = now.as_secs() / BUCKET_TIME.as_secs();
        if !self.routes.contains_key(route) {
            self.make_room(period);
            self.routes
                .insert(route.to_owned(), RouteTimes::new(timeout));
        }
        let Some(times) = self.routes.get_mut(route) else {
            return Duration::ZERO;
        };
        if times.timeout != timeout {
            *times = RouteTimes::new(timeout);
        }
        times.record(left, period);
        times.usual(period).saturating_sub(left)
    }

    fn make_room(&mut self, period: u64) {
        if self.routes.len() < MAX_ROUTES {
            return;
        }
        self.routes
            .retain(|_, times| !times.usual(period).is_zero());
        if self.routes.len() >= MAX_ROUTES {
            self.routes.clear();
        }
    }
}

/// Returns whether the first event of a request comes after the target latency even if it gets a slot at
/// once. `elapsed` is the time that its client has waited, `least` the least time to a first event.
#[must_use]
pub fn is_late(elapsed: Duration, least: Duration, target: Duration) -> bool {
    elapsed + least > target
}
