//! Counts of the replicas of a fabric domain while its plan is made.

use domain::{FastMap, HostId, ModelName};

use super::coverage::Coverage;
use super::replica_status::ObservedReplica;
use super::state::FabricState;
use crate::route::ModelConfig;

/// Existing replicas of a fabric domain and those that the plan forms.
pub(super) struct ReplicaCounts<'a> {
    fabric: &'a FabricState<'a>,
    /// Existing and formed replicas by model.
    current: FastMap<&'a ModelName, usize>,
    /// Replicas that the plan forms, by model.
    formed: FastMap<&'a ModelName, usize>,
    /// Hosts of existing replicas, with the model where it is known.
    members: FastMap<&'a HostId, Option<&'a ModelName>>,
}

impl<'a> ReplicaCounts<'a> {
    pub fn new(fabric: &'a FabricState<'a>) -> Self {
        Self {
            fabric,
            current: FastMap::default(),
            formed: FastMap::default(),
            members: FastMap::default(),
        }
    }

    /// Counts a replica that serves, forms or closes. If its model is unknown, or it is evacuated and so takes no
    /// requests, only its hosts count.
    pub fn add_existing(&mut self, model: Option<&'a ModelConfig>, observed: &ObservedReplica<'a>) {
        let name = model.map(|model| &model.name);
        let hosts = observed.members.values();
        self.members.extend(hosts.map(|host| (&host.id, name)));
        if let Some(name) = name.filter(|_| !observed.is_evacuated()) {
            *self.current.entry(name).or_default() += 1;
        }
    }

    pub fn add_formed(&mut self, model: &'a ModelConfig) {
        *self.current.entry(&model.name).or_default() += 1;
        *self.formed.entry(&model.name).or_default() += 1;
    }

    /// Returns whether a host is in an existing replica.
    pub fn is_taken(&self, host: &HostId) -> bool {
        self.members.contains_key(host)
    }

    /// Returns whether a host is in an existing replica that is known to have this model.
    pub fn is_member_of(&self, host: &HostId, model: &ModelName) -> bool {
        self.members.get(host) == Some(&Some(model))
    }

    /// Returns the number of existing and formed replicas of a model in the domain.
    pub fn current(&self, model: &ModelName) -> usize {
        self.current.get(model).copied().unwrap_or(0)
    }

    pub fn desired(&self, model: &ModelName) -> usize {
        self.fabric.desired.get(model).copied().unwrap_or(0)
    }

    /// Returns whether the domain has fewer replicas of a model than desired.
    pub fn needs_replica(&self, model: &ModelConfig) -> bool {
        self.current(&model.name) < self.desired(&model.name)
    }

    /// Returns the coverage of a model in all fabric domains with the replicas formed so far and
    /// `more` additional ones.
    pub fn coverage(&self, model: &ModelConfig, more: usize) -> Coverage {
        let formed = self.formed.get(&model.name).copied().unwrap_or(0);
        self.fabric.coverage(model, formed + more)
    }

    /// Returns the models in the order in which they get hosts: those that need a replica in the
    /// domain first, then by ascending coverage in the fleet, then the larger ones.
    pub fn by_need(&self) -> Vec<&'a ModelConfig> {
        let mut models: Vec<&ModelConfig> = self.fabric.models.iter().collect();
        models.sort_by(|left, right| {
            self.needs_replica(right)
                .cmp(&self.needs_replica(left))
                .then(self.coverage(left, 0).cmp(&self.coverage(right, 0)))
                .then(right.size.cmp(&left.size))
        });
        models
    }
}
