//! What keeps new work away from hosts.
//!
//! A drain starts from the host list, from the engine's own report or from an operator's record,
//! whichever comes first; it ends when none of them asks for it any more. A drain of one host
//! drains its replica, since a replica works with all its hosts or not at all.

use domain::{DomainId, FastSet, HostId, ReplicaPlan};
use wire::engine::EngineState;

use crate::directory::HostDirectory;
use crate::view::ConfigView;

/// Why a replica takes no new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DrainCause {
    /// The host list says that a host leaves, or names it no longer.
    HostList,
    /// An operator's record names a host or its failure domain.
    Record,
    /// A host's engine says that it leaves.
    Engine,
    /// A host is lost and no spare can take its place.
    HostLost,
    /// More replicas stand than the model's record asks for, or none is asked for.
    Surplus,
    /// The model's record asks for other adapters or another number of hosts.
    Changed,
}

impl DrainCause {
    /// The cause in plain words.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::HostList => "the host list says that a host leaves",
            Self::Record => "an operator's record drains a host",
            Self::Engine => "an engine reports that it leaves",
            Self::HostLost => "a host is lost and no spare is there",
            Self::Surplus => "the model's record asks for fewer replicas",
            Self::Changed => "the model's record changed",
        }
    }
}

/// The operators' drains of one configuration, ready for look-ups.
#[derive(Debug, Clone, Default)]
pub struct DrainSet {
    hosts: FastSet<HostId>,
    domains: FastSet<DomainId>,
}

impl DrainSet {
    /// The drains of a configuration.
    #[must_use]
    pub fn new(config: &ConfigView) -> Self {
        let mut set = Self::default();
        for record in &config.drains {
            set.hosts.extend(record.hosts.iter().cloned());
            set.domains.extend(record.domains.iter().cloned());
        }
        set
    }

    /// Why a host takes no new work; none when it may.
    #[must_use]
    pub fn host_cause(
        &self,
        host: &HostId,
        directory: &HostDirectory,
        state: Option<&EngineState>,
    ) -> Option<DrainCause> {
        if state.is_some_and(|state| state.leaving) {
            return Some(DrainCause::Engine);
        }
        let Some(entry) = directory.hosts.get(host) else {
            return Some(DrainCause::HostList);
        };
        if self.hosts.contains(host) || self.domains.contains(&entry.domain) {
            return Some(DrainCause::Record);
        }
        entry.leaving.then_some(DrainCause::HostList)
    }

    /// Why a replica takes no new work for the sake of its hosts.
    #[must_use]
    pub fn replica_cause(
        &self,
        plan: &ReplicaPlan,
        directory: &HostDirectory,
    ) -> Option<DrainCause> {
        plan.hosts
            .iter()
            .find_map(|host| self.host_cause(host, directory, None))
    }
}
