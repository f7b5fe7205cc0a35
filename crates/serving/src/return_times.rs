//! When clients return that were rejected because all targets were full.
//!
//! Load: for seconds, more requests than the targets can run, or a wave of them. If all rejected clients
//! returned after the same time, the wave would come back as a whole. Each rejection reserves one of the
//! slots that are freed next instead, so that no more clients return than slots become free.

use std::time::Duration;

/// Time over which ends of requests are averaged.
const RATE_TIME: Duration = Duration::from_secs(2);

/// Ends of requests that must be known before their rate is used.
const MIN_ENDS: f64 = 2.0;

/// Part of a client's remaining time up to which it follows a retry time.
const FOLLOWED_FRACTION: f64 = 1.0 / 3.0;

/// Shortest time after which a client returns that can still be in time.
const MIN_SHORT_RETURN: Duration = Duration::from_millis(30);

/// What the return time of a client depends on.
#[derive(Debug, Clone, Copy)]
pub struct ReturnRequest {
    /// Shortest return time.
    pub least: Duration,
    /// Time that the client will still wait.
    pub time_left: Duration,
    /// Time after which a new attempt could no longer be in time; zero if it can't now.
    pub slack: Duration,
    /// Number from 0 to 1 that differs between clients.
    pub draw: f64,
}

impl ReturnRequest {
    /// Longest time that the client follows.
    fn longest(&self) -> Duration {
        self.time_left.mul_f64(FOLLOWED_FRACTION)
    }

    /// Time drawn from a range.
    fn drawn(&self, from: Duration, to: Duration) -> Duration {
        from + to.saturating_sub(from).mul_f64(self.draw)
    }
}

/// Return times that one node has told the clients of one model.
#[derive(Debug, Clone, Copy, Default)]
pub struct ReturnTimes {
    /// Requests of this node that ended, weighted by age.
    ends: f64,
    /// Time in which they were counted, weighted by age, in seconds.
    seconds: f64,
    counted_at: Duration,
    /// Time up to which the slots that become free are reserved.
    reserved_until: Duration,
}

impl ReturnTimes {
    /// Records the end of a request of this node. Its slot counts as freed: times are only asked for while
    /// all targets are full.
    pub fn record_end(&mut self, now: Duration) {
        self.advance(now);
        self.ends += 1.0;
    }

    fn advance(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.counted_at).as_secs_f64();
        let kept = (-passed / RATE_TIME.as_secs_f64()).exp();
        self.ends *= kept;
        self.seconds = self.seconds * kept + passed.min(RATE_TIME.as_secs_f64());
        self.counted_at = now;
    }

    /// Time between two slots that become free; `None` while too few requests have ended.
    fn interval(&self) -> Option<Duration> {
        let is_known = self.ends >= MIN_ENDS && self.seconds > 0.0;
        is_known.then(|| Duration::from_secs_f64(self.seconds / self.ends))
    }

    /// Returns the time after which a rejected client should return, and reserves a slot for it.
    pub fn reserve(&mut self, request: ReturnRequest, now: Duration) -> Duration {
        self.advance(now);
        let longest = request.longest();
        let least = request.least.min(longest);
        let Some(interval) = self.interval() else {
            return request.drawn(least, longest);
        };
        let is_first = self.reserved_until <= now;
        let from = self.reserved_until.max(now + least).saturating_sub(now);
        if from + interval > longest {
            // More clients than slots in the time that this one follows.
            return request.drawn(least, longest);
        }
        self.reserved_until = now + from + interval;
        let short = interval.max(MIN_SHORT_RETURN);
        if is_first && short < request.slack.min(least) {
            return short;
        }
        request.drawn(from, from + interval)
    }
}
