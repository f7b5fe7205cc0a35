//! Idle tracking for client connections.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use intake::{ConnectionPlace, ConnectionState};

/// Number of requests in flight on one client connection, and when the last response ended. Its place at the listener
/// is told, which another connection gets if need be.
#[derive(Debug)]
pub struct ConnectionUsage {
    in_flight: Cell<usize>,
    last_used: Cell<Duration>,
    place: ConnectionPlace,
}

impl ConnectionUsage {
    /// Creates the state of a connection opened at `now`, measured from process start.
    #[must_use]
    pub fn new(now: Duration, place: ConnectionPlace) -> Rc<Self> {
        Rc::new(Self {
            in_flight: Cell::new(0),
            last_used: Cell::new(now),
            place,
        })
    }

    /// Completes when the connection is to be closed for another one.
    pub async fn displaced(&self) {
        self.place.displaced().await;
    }

    /// Records whether the body of the request in flight is awaited.
    pub fn set_receiving(&self, is_receiving: bool) {
        if !self.is_in_flight() {
            return;
        }
        let state = if is_receiving {
            ConnectionState::Receiving
        } else {
            ConnectionState::Busy
        };
        self.place.set_state(state);
    }

    /// Records the start of a request; the connection is not idle until the last byte of its response is written.
    pub fn request_started(&self) {
        self.in_flight.set(self.in_flight.get() + 1);
        self.place.set_state(ConnectionState::Busy);
    }

    /// Records that the response of the request in flight is complete, and only has to be written.
    pub fn response_ready(&self) {
        if self.is_in_flight() {
            self.place.set_state(ConnectionState::Responding);
        }
    }

    /// Records the end of a response. Clients measure idle time from here; measured from the start
    /// of the request, a connection with a long response would be closed under the next request.
    pub fn request_ended(&self, now: Duration) {
        self.in_flight.set(self.in_flight.get().saturating_sub(1));
        self.last_used.set(now);
        if !self.is_in_flight() {
            self.place.set_state(ConnectionState::Idle);
        }
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
