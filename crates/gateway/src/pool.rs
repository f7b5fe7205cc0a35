//! Pool of idle connections to targets.

use std::cell::RefCell;
use std::time::Duration;

use domain::{FastMap, HostId};
use tokio::time::Instant;
use web::HttpConnection;

/// Idle time for connections to targets that did not announce one.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// Subtracted from the idle time that a target allows, so that it does not close the connection
/// under a request.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// Maximum number of idle connections per target, based on a node's share of a full replica.
/// Together with the requests in flight, the connections of all nodes stay within a target's limit.
const MAX_IDLE_PER_TARGET: usize = 6;

#[derive(Debug)]
struct IdleConnection {
    connection: HttpConnection,
    expires_at: Instant,
}

/// Idle connections by target, most recently used last.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: RefCell<FastMap<HostId, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Whether there is an idle connection to a target that it probably still keeps open.
    #[must_use]
    pub fn has_idle(&self, id: &HostId) -> bool {
        let idle = self.idle.borrow();
        let now = Instant::now();
        let newest = idle.get(id).and_then(|connections| connections.last());
        newest.is_some_and(|newest| newest.expires_at > now && newest.connection.is_open())
    }

    /// Returns the most recently used connection that is usable, so that the others can expire.
    pub fn take_idle(&self, id: &HostId) -> Option<HttpConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(id)?;
        let now = Instant::now();
        while let Some(last) = connections.pop() {
            if last.expires_at > now && last.connection.is_open() {
                return Some(last.connection);
            }
        }
        None
    }

    /// Returns a connection to the pool after its response was read completely.
    pub fn release(&self, id: &HostId, connection: HttpConnection, allowed: Option<Duration>) {
        let allowed = allowed.unwrap_or(DEFAULT_IDLE_TIMEOUT);
        let Some(time) = allowed.checked_sub(IDLE_MARGIN) else {
            return;
        };
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(id.clone()).or_default();
        if connections.len() >= MAX_IDLE_PER_TARGET {
            connections.remove(0);
        }
        connections.push(IdleConnection {
            connection,
            expires_at: Instant::now() + time,
        });
    }

    /// Closes all idle connections to a target.
    pub fn close_idle(&self, id: &HostId) {
        self.idle.borrow_mut().remove(id);
    }

    /// Closes all idle connections to all targets.
    pub fn close_all_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Closes idle connections that their target may close soon.
    pub fn evict_expired(&self) {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|idle| idle.expires_at > now);
        }
        idle.retain(|_, connections| !connections.is_empty());
    }
}
