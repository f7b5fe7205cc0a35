//! Membership of engines in replicas, which the platform calls groups.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::Notify;

use super::arrivals::ArrivalLog;
use super::engine_control::EndlessPiece;
use super::store::SiteStore;
use super::stream::EventShape;

#[derive(Debug, Clone, PartialEq)]
pub(super) struct Group {
    pub name: String,
    pub epoch: u64,
    pub rank: usize,
    pub members: Vec<String>,
    pub state: &'static str,
}

#[derive(Debug)]
pub(super) struct EngineState {
    pub fabric: String,
    pub zone: String,
    pub address: String,
    /// Number of the process under this id.
    pub born: u64,
    pub orders: u64,
    /// Highest epoch of a join that this process has accepted.
    pub highest_epoch: u64,
    pub loaded: Option<String>,
    /// Model staged on its host; only the latest one is kept.
    pub staged: Option<String>,
    pub group: Option<Group>,
    pub unresponsive: bool,
    pub draining: bool,
    /// Whether it has a registry entry.
    pub listed: bool,
    pub events: usize,
    /// Streams in progress at this head.
    pub running: usize,
    /// Group that was closed with the cancel mode; its streams fail.
    pub cancelled: Option<String>,
    /// Ids of requests whose execution started here.
    pub executed: Vec<String>,
    /// Crashes the engine when notified.
    pub crash: Arc<Notify>,
}

/// State of all engines; clones share it.
#[derive(Debug, Clone)]
pub struct SiteGroups {
    pub(super) store: SiteStore,
    engines: Arc<Mutex<BTreeMap<String, EngineState>>>,
    /// Hosts that joined a group while the head of their old group was open, and requests that
    /// started in an incomplete replica. Neither must happen.
    violations: Arc<Mutex<Vec<String>>>,
    /// Number of engines that have crashed.
    pub(super) crashed: Arc<AtomicUsize>,
    /// Whether engines can't reach the store to update their entries.
    pub(super) entries_held: Arc<AtomicBool>,
    /// Whether engines tell their load with each response.
    pub(super) tells_load: Arc<AtomicBool>,
    /// Whether new streams end with their connection.
    pub(super) unframed: Arc<AtomicBool>,
    /// Number of status reports that engines were asked for.
    pub(super) reports: Arc<AtomicUsize>,
    /// Requests a second that engines state as their limits.
    pub(super) limits: Arc<Mutex<BTreeMap<String, f64>>>,
    /// Until when engines state in their entries that they are cold.
    pub(super) cold_until: Arc<Mutex<BTreeMap<String, Instant>>>,
    /// Backoffs that engines ask for when they reject requests, as all that ask for one do.
    pub(super) backoffs: Arc<Mutex<BTreeMap<String, Duration>>>,
    /// Time that engines take to reject a request.
    pub(super) rejection_delays: Arc<Mutex<BTreeMap<String, Duration>>>,
    /// What engines write as their delay when they reject requests, readable or not.
    pub(super) delays: Arc<Mutex<BTreeMap<String, &'static str>>>,
    /// Engines that say in all their responses that they leave.
    pub(super) leaving: Arc<Mutex<BTreeSet<String>>>,
    /// What heads repeat without end after the first event of a stream.
    pub(super) endless: Arc<Mutex<BTreeMap<String, EndlessPiece>>>,
    /// Size and pace of the events of all streams.
    pub(super) event_shape: Arc<Mutex<EventShape>>,
    /// Whether heads reject all requests.
    pub(super) rejects: Arc<AtomicBool>,
    /// What arrived at heads.
    pub arrivals: ArrivalLog,
}

impl SiteGroups {
    /// Creates a site without engines, whose registry is in `store`.
    #[must_use]
    pub fn new(store: &SiteStore) -> Self {
        Self {
            store: store.clone(),
            engines: Arc::default(),
            violations: Arc::default(),
            crashed: Arc::default(),
            entries_held: Arc::default(),
            tells_load: Arc::default(),
            unframed: Arc::default(),
            reports: Arc::default(),
            limits: Arc::default(),
            cold_until: Arc::default(),
            backoffs: Arc::default(),
            rejection_delays: Arc::default(),
            delays: Arc::default(),
            leaving: Arc::default(),
            endless: Arc::default(),
            event_shape: Arc::default(),
            rejects: Arc::default(),
            arrivals: ArrivalLog::default(),
        }
    }

    /// Keeps engines from updating their registry entries, as when they can't reach the store.
    pub fn hold_entries(&self) {
        self.entries_held.store(true, Ordering::Relaxed);
    }

    /// Returns how many status reports engines were asked for.
    #[must_use]
    pub fn report_count(&self) -> usize {
        self.reports.load(Ordering::Relaxed)
    }

    /// Returns whether all engines are in a replica.
    #[must_use]
    pub fn all_joined(&self) -> bool {
        self.lock().values().all(|engine| engine.group.is_some())
    }

    pub(super) fn with<R>(
        &self,
        id: &str,
        update: impl FnOnce(&mut EngineState) -> R,
    ) -> Option<R> {
        let mut engines = self.engines.lock().unwrap_or_else(PoisonError::into_inner);
        engines.get_mut(id).map(update)
    }

    pub(super) fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<String, EngineState>> {
        self.engines.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn group_name(&self, id: &str) -> Option<String> {
        let group = self.with(id, |engine| engine.group.clone()).flatten()?;
        Some(group.name)
    }

    /// Returns whether all members respond and are in the group.
    pub(super) fn is_complete(&self, group: &Group) -> bool {
        let engines = self.lock();
        group.members.iter().all(|member| {
            let engine = engines.get(member).filter(|engine| !engine.unresponsive);
            let own = engine.and_then(|engine| engine.group.as_ref());
            own.is_some_and(|own| own.name == group.name)
        })
    }

    pub(super) fn is_in_other_group(&self, member: &str, group: &Group) -> bool {
        let own = self.with(member, |engine| engine.group.clone()).flatten();
        own.is_some_and(|own| own.name != group.name)
    }

    pub(super) fn record_violation(&self, description: String) {
        let violations = self.violations.lock();
        violations
            .unwrap_or_else(PoisonError::into_inner)
            .push(description);
    }

    /// Returns descriptions of the violated invariants; tests expect none.
    #[must_use]
    pub fn violations(&self) -> Vec<String> {
        let violations = self.violations.lock();
        violations.unwrap_or_else(PoisonError::into_inner).clone()
    }
}
