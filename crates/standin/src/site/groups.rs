//! Which engines of a site form which replicas.

use std::collections::BTreeMap;
use std::sync::atomic::AtomicUsize;
use std::sync::{Arc, Mutex, PoisonError};

use tokio::sync::Notify;

use super::store::SiteStore;

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
    pub orders: u64,
    pub loaded: Option<String>,
    /// Models on its host; it keeps the last one.
    pub staged: Option<String>,
    pub group: Option<Group>,
    pub unresponsive: bool,
    pub draining: bool,
    /// Whether the registry names it.
    pub listed: bool,
    pub events: usize,
    /// Streams that run here as a head.
    pub running: usize,
    /// Replica whose requests were cancelled here.
    pub cancelled: Option<String>,
    /// Ids of requests that began to run here.
    pub executed: Vec<String>,
    /// Ends its process.
    pub crash: Arc<Notify>,
}

/// What all engines of a site share: who is where, and who lives.
#[derive(Debug, Clone)]
pub struct SiteGroups {
    pub(super) store: SiteStore,
    engines: Arc<Mutex<BTreeMap<String, EngineState>>>,
    /// Joins of a host whose group's head was open, and requests that began in an incomplete
    /// replica. Both must stay empty.
    violations: Arc<Mutex<Vec<String>>>,
    /// Engines whose processes have crashed.
    pub(super) crashed: Arc<AtomicUsize>,
}

impl SiteGroups {
    /// No engines yet.
    #[must_use]
    pub fn new(store: &SiteStore) -> Self {
        Self {
            store: store.clone(),
            engines: Arc::default(),
            violations: Arc::default(),
            crashed: Arc::default(),
        }
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

    /// Whether all members of a head's group live and are in it.
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

    pub(super) fn record_violation(&self, text: String) {
        let violations = self.violations.lock();
        violations
            .unwrap_or_else(PoisonError::into_inner)
            .push(text);
    }

    /// What must never have happened.
    #[must_use]
    pub fn violations(&self) -> Vec<String> {
        let violations = self.violations.lock();
        violations.unwrap_or_else(PoisonError::into_inner).clone()
    }
}
