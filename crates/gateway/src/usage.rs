//! Idle tracking for client connections.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Number of requests in flight on one client connection, and when the last response ended.
#[derive(Debug)]
pub struct ConnectionUsage {
    in_flight: Cell<usize>,
    last_used: Cell<Duration>,
}

impl ConnectionUsage {
    /// Creates the state of a connection opened at `now`, measured from process start.
    #[must_use]
    pub fn new(now: Duration) -> Rc<Self> {
        Rc::new(Self {
            in_flight: Cell::new(0),
            last_used: Cell::new(now),
        })
    }

    /// Records the start of a request; the connection is not idle until it ends.
    pub fn request_started(&self) {
        self.in_flight.set(self.in_flight.get() + 1);
    }

    /// Records the end of a response. Clients measure idle time from here; measured from the start
    /// of the request, a connection with a long response would be closed under the next request.
    pub fn request_ended(&self, now: Duration) {
        self.in_flight.set(self.in_flight.get().saturating_sub(1));
        self.last_used.set(now);
    }

    /// Whether a request is in flight.
    #[must_use]
    pub fn is_in_flight(&self) -> bool {
        self.in_flight.get() > 0
    }

    /// Time since the last response ended; zero while a request is in flight.
    #[must_use]
    pub fn idle_time(&self, now: Duration) -> Duration {
        if self.in_flight.get() > 0 {
            return Duration::ZERO;
        }
        now.saturating_sub(self.last_used.get())
    }
}
