//! Accepted connections, by whether their peer has proven that it has the shared key.
//!
//! Without a key, anybody who reaches the port can open connections and leave them idle. If those
//! took the places of links, no other node could link to this one. They have places of their own,
//! and the newest ones get them: a peer with the key proves it within milliseconds.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
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
    connections: VecDeque<UnprovenConnection>,
}

#[derive(Debug)]
struct UnprovenConnection {
    number: u64,
    /// None until its task has been started.
    task: Option<AbortHandle>,
}

impl UnprovenQueue {
    /// Adds a connection, whose task is started later.
    fn add(&mut self) -> u64 {
        self.last_number += 1;
        self.connections.push_back(UnprovenConnection {
            number: self.last_number,
            task: None,
        });
        self.last_number
    }

    /// Records the task of a connection, unless it has already given up its place or proven the key.
    fn record_started(&mut self, number: u64, task: AbortHandle) {
        let mut connections = self.connections.iter_mut();
        if let Some(connection) = connections.find(|connection| connection.number == number) {
            connection.task = Some(task);
        }
    }

    /// Removes the oldest connection that has a task, if there are too many.
    fn take_excess(&mut self) -> Option<AbortHandle> {
        if self.connections.len() <= MAX_UNPROVEN {
            return None;
        }
        let mut connections = self.connections.iter();
        let oldest = connections.position(|connection| connection.task.is_some())?;
        self.connections.remove(oldest)?.task
    }
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
        let number = self.unproven().add();
        let place = ConnectionPlace {
            connections: self.clone(),
            number,
            permit: None,
            proof: LinkProof::default(),
        };
        // The lock is not held here: a runtime that shuts down drops the task at once, and its place takes the lock.
        let task = spawn(place);
        let excess = {
            let mut unproven = self.unproven();
            unproven.record_started(number, task);
            unproven.take_excess()
        };
        if let Some(task) = excess {
            task.abort();
        }
    }

    fn unproven(&self) -> MutexGuard<'_, UnprovenQueue> {
        self.unproven.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn remove_unproven(&self, number: u64) {
        let mut unproven = self.unproven();
        unproven
            .connections
            .retain(|connection| connection.number != number);
    }
}

/// Tells the task of a connection that its peer has proven the key; clones share it.
#[derive(Debug, Clone, Default)]
pub struct LinkProof(Arc<Notify>);

impl LinkProof {
    /// Records the proof.
    pub fn record(&self) {
        self.0.notify_one();
    }

    /// Completes once after the proof.
    pub(crate) async fn recorded(&self) {
        self.0.notified().await;
    }
}

/// Place of one connection, given up when it is dropped.
#[derive(Debug)]
pub struct ConnectionPlace {
    connections: AcceptedConnections,
    number: u64,
    permit: Option<OwnedSemaphorePermit>,
    proof: LinkProof,
}

impl ConnectionPlace {
    /// Tells when the connection has been moved to the proven ones.
    #[must_use]
    pub fn proof(&self) -> LinkProof {
        self.proof.clone()
    }

    /// Moves the connection to the proven ones; returns false if there is no place left.
    pub fn record_proof(&mut self) -> bool {
        if self.permit.is_some() {
            return true;
        }
        self.connections.remove_unproven(self.number);
        let proven = Arc::clone(&self.connections.proven);
        self.permit = proven.try_acquire_owned().ok();
        if self.permit.is_some() {
            self.proof.record();
        }
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
