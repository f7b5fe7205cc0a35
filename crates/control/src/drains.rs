//! Reasons to send no new work to a host.
//!
//! A drain starts with the host list, the engine's own report or an operator's record, whichever
//! comes first, and ends when none of them asks for it any more. Draining one host drains its
//! replica, since a replica needs all of its hosts.

use domain::{DomainId, FastSet, HostId, ReplicaPlan};
use wire::engine::EngineState;

use crate::directory::HostDirectory;
use crate::view::ConfigView;

/// Why a replica takes no new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DrainCause {
    /// The host list marks a host as leaving or no longer contains it.
    HostList,
    /// An operator's record names a host or its failure domain.
    Record,
    /// A host's engine reports that it is leaving.
    Engine,
    /// A host is lost and no spare can replace it.
    HostLost,
    /// There are more replicas than the model's record asks for, or it asks for none.
    Surplus,
    /// The model's record asks for other adapters or another number of hosts.
    Changed,
}

impl DrainCause {
    /// Description of the cause for the event log.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::HostList => "the host list marks a host as leaving or no longer lists it",
            Self::Record => "an operator's record drains a host",
            Self::Engine => "an engine reports that it is leaving",
            Self::HostLost => "a host is lost and no spare is available",
            Self::Surplus => "the model's record asks for fewer replicas",
            Self::Changed => "the model's record changed",
        }
    }
}

/// The operators' drains of one configuration, indexed for look-ups.
#[derive(Debug, Clone, Default)]
pub struct DrainSet {
    hosts: FastSet<HostId>,
    domains: FastSet<DomainId>,
}

impl DrainSet {
    /// Collects the hosts and failure domains that the configuration drains.
    #[must_use]
    pub fn new(config: &ConfigView) -> Self {
        let mut set = Self::default();
        for record in &config.drains {
            set.hosts.extend(record.hosts.iter().cloned());
            set.domains.extend(record.domains.iter().cloned());
        }
        set
    }

    /// Why a host takes no new work; none when it may take some. `state` is the engine's report, if
    /// there is one.
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

    /// The first drain cause among a replica's hosts, without regard to the engines' reports.
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
