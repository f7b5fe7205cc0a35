//! Requests in progress on one connection, from which its place at the listener and its idle time follow.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use intake::{ConnectionPlace, ConnectionState};

use crate::body::{GuardedBody, WebBody};

#[derive(Debug)]
struct RequestState {
    running: usize,
    /// When the last request began or ended.
    changed_at: Instant,
}

/// Requests in progress on one connection.
#[derive(Debug, Clone)]
pub struct RequestCount {
    place: Arc<ConnectionPlace>,
    state: Arc<Mutex<RequestState>>,
}

impl RequestCount {
    /// The count of a connection without requests.
    #[must_use]
    pub fn new(place: &Arc<ConnectionPlace>) -> Self {
        let state = RequestState {
            running: 0,
            changed_at: Instant::now(),
        };
        Self {
            place: Arc::clone(place),
            state: Arc::new(Mutex::new(state)),
        }
    }

    fn state(&self) -> MutexGuard<'_, RequestState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Begins a request; it ends when the result is dropped.
    #[must_use]
    pub fn begin(&self) -> RunningRequest {
        let mut state = self.state();
        state.running += 1;
        state.changed_at = Instant::now();
        if state.running == 1 {
            self.place.set_state(ConnectionState::Busy);
        }
        RunningRequest(self.clone())
    }

    fn end(&self) {
        let mut state = self.state();
        state.running -= 1;
        state.changed_at = Instant::now();
        if state.running == 0 {
            self.place.set_state(ConnectionState::Idle);
        }
    }

    /// Completes once no request has been in progress for `limit`.
    pub async fn idle(&self, limit: Duration) {
        loop {
            let wait = {
                let state = self.state();
                let idle_time = state.changed_at.elapsed();
                match (state.running == 0, limit.checked_sub(idle_time)) {
                    (true, None | Some(Duration::ZERO)) => return,
                    (true, Some(left)) => left,
                    // The time begins with the end of the request.
                    (false, _) => limit,
                }
            };
            tokio::time::sleep(wait).await;
        }
    }
}

/// A request in progress.
#[derive(Debug)]
pub struct RunningRequest(RequestCount);

impl RunningRequest {
    /// A body that keeps the request in progress, and `guard`, until it has been sent or given up.
    #[must_use]
    pub fn until_sent<G>(self, body: WebBody, guard: G) -> GuardedBody<(Self, G)> {
        GuardedBody::new(body, (self, guard))
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.0.end();
    }
}
