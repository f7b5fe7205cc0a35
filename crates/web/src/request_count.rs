//! Requests in progress on one connection, from which its place at the listener follows.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use intake::{ConnectionPlace, ConnectionState};

use crate::body::{GuardedBody, WebBody};

/// Requests in progress on one connection.
#[derive(Debug, Clone)]
pub struct RequestCount {
    place: Arc<ConnectionPlace>,
    running: Arc<AtomicUsize>,
}

impl RequestCount {
    /// The count of a connection without requests.
    #[must_use]
    pub fn new(place: &Arc<ConnectionPlace>) -> Self {
        Self {
            place: Arc::clone(place),
            running: Arc::default(),
        }
    }

    /// Begins a request; it ends when the result is dropped.
    #[must_use]
    pub fn begin(&self) -> RunningRequest {
        if self.running.fetch_add(1, Ordering::Relaxed) == 0 {
            self.place.set_state(ConnectionState::Busy);
        }
        RunningRequest(self.clone())
    }
}

/// A request in progress.
#[derive(Debug)]
pub struct RunningRequest(RequestCount);

impl RunningRequest {
    /// A body that keeps the request in progress until it has been sent or given up.
    #[must_use]
    pub fn until_sent(self, body: WebBody) -> GuardedBody<Self> {
        GuardedBody::new(body, self)
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        if self.0.running.fetch_sub(1, Ordering::Relaxed) == 1 {
            self.0.place.set_state(ConnectionState::Idle);
        }
    }
}
