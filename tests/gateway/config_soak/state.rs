//! What the parts of a soak share.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use crate::config_history::{ConfigHistory, ProbeTime, VersionProbe};

/// Time after a fault for which what a node runs is not judged.
const STABILITY_WINDOW: Duration = Duration::from_secs(3);

/// A node as the observer sees it.
pub struct ObservedNode {
    pub address: SocketAddr,
    /// Counts the processes that had this name.
    pub incarnation: u64,
    /// Since when a fault keeps the node from being judged by the clock, and until when.
    pub excused: Vec<(Instant, Option<Instant>)>,
}

pub struct SoakState {
    pub history: Mutex<ConfigHistory>,
    pub nodes: Vec<Mutex<ObservedNode>>,
    pub failures: Mutex<Vec<String>>,
    pub counts: Mutex<BTreeMap<&'static str, usize>>,
    pub is_strict: bool,
    /// Requests that each version allows.
    pub steady: Vec<VersionProbe>,
    pub changed: Notify,
    /// Held by whoever writes a configuration, and while the store lacks one that it has confirmed.
    pub store: tokio::sync::Mutex<()>,
}

pub fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl SoakState {
    pub fn excuse(&self, index: usize) {
        let mut node = lock(&self.nodes[index]);
        node.excused.push((Instant::now(), None));
    }

    pub fn end_excuse(&self, index: usize) {
        let mut node = lock(&self.nodes[index]);
        let until = Instant::now() + STABILITY_WINDOW;
        if let Some(last) = node.excused.iter_mut().rev().find(|last| last.1.is_none()) {
            last.1 = Some(until);
        }
    }

    pub fn is_excused(&self, index: usize, time: ProbeTime) -> bool {
        let node = lock(&self.nodes[index]);
        let mut excused = node.excused.iter();
        excused.any(|(from, until)| {
            *from <= time.ended && until.is_none_or(|until| until >= time.sent)
        })
    }

    /// Share of the requests that each version allows.
    pub fn steady_share(&self) -> f64 {
        if self.steady.len() > 1 { 0.6 } else { 0.2 }
    }

    pub fn count(&self, name: &'static str) {
        *lock(&self.counts).entry(name).or_default() += 1;
    }
}
