//! Places of accepted connections, shared by the tasks of a process.

use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use slotmap::SecondaryMap;
use tokio::sync::Notify;

use crate::table::{ConnectionKey, ConnectionState, ConnectionTable};

/// Shortest time between two reports, so that a crowd does not fill the log.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Connections that were closed or not accepted since the last report.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PlaceReport {
    /// Connections that had never sent a whole head.
    pub unproven: u64,
    /// Connections that were idle.
    pub idle: u64,
    /// Connections whose body was awaited.
    pub receiving: u64,
    /// Connections whose response was being written.
    pub responding: u64,
    /// New connections that found no place.
    pub refused: u64,
    /// Connections on which nothing was asked for long.
    pub idle_closed: u64,
    /// Connections whose clients did not read.
    pub unread_closed: u64,
    /// Requests that were not handled, since as many were as may be at once.
    pub unplaced: u64,
}

#[derive(Debug)]
struct PlaceState {
    table: ConnectionTable,
    displaced: SecondaryMap<ConnectionKey, Arc<Notify>>,
    unreported: PlaceReport,
    reported_at: Option<Duration>,
}

#[derive(Debug)]
struct SharedPlaces {
    started: Instant,
    state: Mutex<PlaceState>,
}

impl SharedPlaces {
    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn state(&self) -> MutexGuard<'_, PlaceState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The places at one listener; clones share them.
#[derive(Debug, Clone)]
pub struct ConnectionPlaces {
    shared: Arc<SharedPlaces>,
}

/// What became of a new connection.
#[derive(Debug)]
pub struct Admission {
    /// Its place; none if it is to be closed.
    pub place: Option<ConnectionPlace>,
    /// State of the connection that gave up its place for it, if one did.
    pub displaced: Option<ConnectionState>,
}

impl ConnectionPlaces {
    /// Creates places for at most `bound` connections.
    #[must_use]
    pub fn new(bound: usize) -> Self {
        let state = PlaceState {
            table: ConnectionTable::new(bound),
            displaced: SecondaryMap::new(),
            unreported: PlaceReport::default(),
            reported_at: None,
        };
        let shared = SharedPlaces {
            started: Instant::now(),
            state: Mutex::new(state),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Gives a new connection a place, if need be that of another one, which is told to close.
    #[must_use]
    pub fn admit(&self) -> Admission {
        let now = self.shared.now();
        let mut state = self.shared.state();
        let Ok((key, displaced)) = state.table.admit(now) else {
            state.unreported.refused += 1;
            return Admission {
                place: None,
                displaced: None,
            };
        };
        // The new connection may have the slot of the other one, which has to be told first.
        if let Some((other, other_state)) = displaced {
            if let Some(notify) = state.displaced.remove(other) {
                notify.notify_one();
            }
            state.unreported.count(other_state);
        }
        let notify = Arc::new(Notify::new());
        state.displaced.insert(key, Arc::clone(&notify));
        let place = ConnectionPlace {
            shared: Arc::clone(&self.shared),
            key,
            displaced: notify,
        };
        Admission {
            place: Some(place),
            displaced: displaced.map(|(_, state)| state),
        }
    }

    /// Returns what has not been reported yet, at most once a second; none if there is nothing.
    #[must_use]
    pub fn take_report(&self) -> Option<PlaceReport> {
        let now = self.shared.now();
        let mut state = self.shared.state();
        let is_due = state
            .reported_at
            .is_none_or(|at| now.saturating_sub(at) >= REPORT_INTERVAL);
        if !is_due || state.unreported == PlaceReport::default() {
            return None;
        }
        state.reported_at = Some(now);
        Some(std::mem::take(&mut state.unreported))
    }
}

impl fmt::Display for PlaceReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "closed for new ones: {} that had never sent a whole head, {} idle, {} whose body was awaited, {} whose \
             response was being written; not accepted: {}; idle for too long: {}; not read for too long: {}; requests \
             that found no place: {}",
            self.unproven,
            self.idle,
            self.receiving,
            self.responding,
            self.refused,
            self.idle_closed,
            self.unread_closed,
            self.unplaced
        )
    }
}

impl PlaceReport {
    fn count(&mut self, state: ConnectionState) {
        match state {
            ConnectionState::Unproven => self.unproven += 1,
            ConnectionState::Idle => self.idle += 1,
            ConnectionState::Receiving => self.receiving += 1,
            ConnectionState::Responding => self.responding += 1,
            ConnectionState::Busy => {}
        }
    }
}

/// Place of one connection, given up when it is dropped.
#[derive(Debug)]
pub struct ConnectionPlace {
    shared: Arc<SharedPlaces>,
    key: ConnectionKey,
    displaced: Arc<Notify>,
}

/// Closes a connection from wherever its requests are handled; clones close the same one.
#[derive(Debug, Clone, Default)]
pub struct ConnectionCloser(Arc<Notify>);

impl ConnectionCloser {
    /// Has the task of the connection close it.
    pub fn close(&self) {
        self.0.notify_one();
    }
}

impl ConnectionPlace {
    /// What closes the connection as if another one had got its place.
    #[must_use]
    pub fn closer(&self) -> ConnectionCloser {
        ConnectionCloser(Arc::clone(&self.displaced))
    }

    /// Records that the connection is closed since nothing was asked on it for long.
    pub fn record_idle_closed(&self) {
        self.shared.state().unreported.idle_closed += 1;
    }

    /// Records that the connection is closed since its client did not read for long.
    pub fn record_unread_closed(&self) {
        self.shared.state().unreported.unread_closed += 1;
    }

    /// Records a request that was not handled, since as many were as may be at once.
    pub fn record_unplaced(&self) {
        self.shared.state().unreported.unplaced += 1;
    }

    /// Records what the connection is doing from now on.
    pub fn set_state(&self, connection: ConnectionState) {
        let now = self.shared.now();
        let mut state = self.shared.state();
        state.table.set_state(self.key, connection, now);
    }

    /// Completes when another connection has got the place, so that this one is to be closed.
    pub async fn displaced(&self) {
        self.displaced.notified().await;
    }
}

impl Drop for ConnectionPlace {
    fn drop(&mut self) {
        let mut state = self.shared.state();
        state.table.remove(self.key);
        state.displaced.remove(self.key);
    }
}
