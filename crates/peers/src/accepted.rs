//! Accepted connections, by whether their peer has proven that it has the shared key.
//!
//! Without a key, anybody who reaches the port can open connections and leave them idle. If those
//! took the places of links, no other node could link to this one. They have places of their own,
//! and the newest ones get them: a peer with the key proves it within milliseconds.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::AbortHandle;

/// Maximum number of connections whose peers have proven the key. A node accepts about as many
/// links as it opens; 64 leaves room for an uneven hash distribution.
const MAX_PROVEN: usize = 64;

/// Maximum number of connections without a proof; the oldest is closed for a new one.
const MAX_UNPROVEN: usize = 32;

/// The accepted connections of a node; clones share them.
#[derive(Debug, Clone)]
pub struct AcceptedConnections {
    unproven: Arc<Mutex<UnprovenQueue>>,
    proven: Arc<Semaphore>,
}

#[derive(Debug, Default)]
struct UnprovenQueue {
    last_number: u64,
    tasks: VecDeque<(u64, AbortHandle)>,
}

impl Default for AcceptedConnections {
    fn default() -> Self {
        Self {
            unproven: Arc::default(),
            proven: Arc::new(Semaphore::new(MAX_PROVEN)),
        }
    }
}

impl AcceptedConnections {
    /// Takes in a connection; `spawn` gets its place and starts the task that serves it.
    pub fn admit(&self, spawn: impl FnOnce(ConnectionPlace) -> AbortHandle) {
        // The task waits for this lock before it gives up its place.
        let mut unproven = self.unproven();
        unproven.last_number += 1;
        let number = unproven.last_number;
        let place = ConnectionPlace {
            connections: self.clone(),
            number,
            permit: None,
        };
        let task = spawn(place);
        unproven.tasks.push_back((number, task));
        if unproven.tasks.len() > MAX_UNPROVEN
            && let Some((_, oldest)) = unproven.tasks.pop_front()
        {
            oldest.abort();
        }
    }

    fn unproven(&self) -> MutexGuard<'_, UnprovenQueue> {
        self.unproven.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn remove_unproven(&self, number: u64) {
        self.unproven().tasks.retain(|(other, _)| *other != number);
    }
}

/// Place of one connection, given up when it is dropped.
#[derive(Debug)]
pub struct ConnectionPlace {
    connections: AcceptedConnections,
    number: u64,
    permit: Option<OwnedSemaphorePermit>,
}

impl ConnectionPlace {
    /// Moves the connection to the proven ones; returns false if there is no place left.
    pub fn record_proof(&mut self) -> bool {
        if self.permit.is_some() {
            return true;
        }
        self.connections.remove_unproven(self.number);
        let proven = Arc::clone(&self.connections.proven);
        self.permit = proven.try_acquire_owned().ok();
        self.permit.is_some()
    }
}

impl Drop for ConnectionPlace {
    fn drop(&mut self) {
        if self.permit.is_none() {
            self.connections.remove_unproven(self.number);
        }
    }
}
