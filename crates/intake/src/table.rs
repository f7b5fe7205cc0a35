//! Accepted connections, ordered by which one is closed first.

use std::collections::BTreeSet;
use std::time::Duration;

use slotmap::{SlotMap, new_key_type};

new_key_type! {
    /// Names a connection in a [`ConnectionTable`]. The key of a removed connection names none that comes later.
    pub struct ConnectionKey;
}

/// What a connection is doing, in the order in which connections are closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConnectionState {
    /// It has never sent a whole head.
    Unproven,
    /// Its last response has been sent.
    Idle,
    /// The body of its request is awaited, so that nothing has run.
    Receiving,
    /// Its response is being written, and its client has not taken it yet.
    Responding,
    /// Its request is being handled. Such a connection is not closed.
    Busy,
}

impl ConnectionState {
    /// Name in metrics and logs.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Unproven => "unproven",
            Self::Idle => "idle",
            Self::Receiving => "receiving",
            Self::Responding => "responding",
            Self::Busy => "busy",
        }
    }
}

/// Why a connection is not admitted: all others have requests that are being handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TableFull;

#[derive(Debug, Clone, Copy)]
struct Connection {
    state: ConnectionState,
    since: Duration,
}

/// A bounded number of connections. Times are since the start of the process.
#[derive(Debug)]
pub struct ConnectionTable {
    bound: usize,
    connections: SlotMap<ConnectionKey, Connection>,
    /// Connections that may be closed; the first one goes first.
    closable: BTreeSet<(ConnectionState, Duration, ConnectionKey)>,
}

impl ConnectionTable {
    /// Creates a table for at most `bound` connections.
    #[must_use]
    pub fn new(bound: usize) -> Self {
        Self {
            bound,
            connections: SlotMap::with_key(),
            closable: BTreeSet::new(),
        }
    }

    /// Number of connections.
    #[must_use]
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Whether there is no connection.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Adds a connection that has sent nothing yet. At the bound, another one gives up its place: one that has never
    /// sent a whole head, else the one that has been idle for longest, else one whose body is awaited, else one whose
    /// response is being written; of several the one that has been so for longest. Ordinary clients send their heads at
    /// once, so a crowd that does not takes the places of its own connections only.
    ///
    /// # Errors
    ///
    /// [`TableFull`] if the requests of all connections are being handled.
    pub fn admit(
        &mut self,
        now: Duration,
    ) -> Result<(ConnectionKey, Option<(ConnectionKey, ConnectionState)>), TableFull> {
        let mut displaced = None;
        if self.connections.len() >= self.bound {
            let (state, _, key) = self.closable.pop_first().ok_or(TableFull)?;
            self.connections.remove(key);
            displaced = Some((key, state));
        }
        let state = ConnectionState::Unproven;
        let key = self.connections.insert(Connection { state, since: now });
        self.closable.insert((state, now, key));
        Ok((key, displaced))
    }

    /// Records what a connection is doing from now on; one that gave up its place is ignored.
    pub fn set_state(&mut self, key: ConnectionKey, state: ConnectionState, now: Duration) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        self.closable
            .remove(&(connection.state, connection.since, key));
        *connection = Connection { state, since: now };
        if state != ConnectionState::Busy {
            self.closable.insert((state, now, key));
        }
    }

    /// Removes a connection that has ended.
    pub fn remove(&mut self, key: ConnectionKey) {
        if let Some(Connection { state, since }) = self.connections.remove(key) {
            self.closable.remove(&(state, since, key));
        }
    }
}
