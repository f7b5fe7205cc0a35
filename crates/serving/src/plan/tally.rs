//! Which replicas of a fabric domain stand while its plan is made.

use domain::{FastMap, HostId, ModelName};

use super::cover::Cover;
use super::state::FabricState;
use crate::route::ModelConfig;

/// Replicas that stand in a fabric domain, with those that the plan forms.
pub(super) struct ReplicaTally<'a> {
    situation: &'a FabricState<'a>,
    standing: FastMap<&'a ModelName, usize>,
    formed: FastMap<&'a ModelName, usize>,
    /// Hosts of replicas that stand, with their model where it is known.
    taken: FastMap<&'a HostId, Option<&'a ModelName>>,
}

impl<'a> ReplicaTally<'a> {
    pub fn new(situation: &'a FabricState<'a>) -> Self {
        Self {
            situation,
            standing: FastMap::default(),
            formed: FastMap::default(),
            taken: FastMap::default(),
        }
    }

    /// Counts a replica that serves, forms or ends.
    pub fn stand(
        &mut self,
        model: Option<&'a ModelConfig>,
        hosts: impl Iterator<Item = &'a HostId>,
    ) {
        let name = model.map(|model| &model.name);
        self.taken.extend(hosts.map(|host| (host, name)));
        if let Some(name) = name {
            *self.standing.entry(name).or_default() += 1;
        }
    }

    /// Counts a replica that the plan forms.
    pub fn form(&mut self, model: &'a ModelConfig) {
        *self.standing.entry(&model.name).or_default() += 1;
        *self.formed.entry(&model.name).or_default() += 1;
    }

    pub fn is_taken(&self, host: &HostId) -> bool {
        self.taken.contains_key(host)
    }

    /// Whether a host is in a replica of a model that stands.
    pub fn holds(&self, host: &HostId, model: &ModelName) -> bool {
        self.taken.get(host) == Some(&Some(model))
    }

    /// Replicas of a model that stand in the domain.
    pub fn standing(&self, model: &ModelName) -> usize {
        self.standing.get(model).copied().unwrap_or(0)
    }

    /// Replicas of a model that the domain should have.
    pub fn wanted(&self, model: &ModelName) -> usize {
        self.situation.desired.get(model).copied().unwrap_or(0)
    }

    /// Whether the domain should have a further replica of a model.
    pub fn is_lacking(&self, model: &ModelConfig) -> bool {
        self.standing(&model.name) < self.wanted(&model.name)
    }

    /// The cover of a model in all fabric domains with `more` replicas than stand and are formed.
    pub fn cover(&self, model: &ModelConfig, more: usize) -> Cover {
        let formed = self.formed.get(&model.name).copied().unwrap_or(0);
        self.situation.cover(model, formed + more)
    }

    /// The models in the order in which they get hosts: what the domain lacks goes first, and of that
    /// what the whole fleet has least of.
    pub fn by_lack(&self) -> Vec<&'a ModelConfig> {
        let mut models: Vec<&ModelConfig> = self.situation.models.iter().collect();
        models.sort_by(|left, right| {
            self.is_lacking(right)
                .cmp(&self.is_lacking(left))
                .then(self.cover(left, 0).cmp(&self.cover(right, 0)))
                .then(right.size.cmp(&left.size))
        });
        models
    }
}
