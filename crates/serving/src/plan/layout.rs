//! Layout: how many replicas of each model each fabric domain should have.

use std::collections::BTreeMap;

use domain::{FabricId, ModelName};

use super::coverage::Coverage;
use crate::route::ModelConfig;

/// Desired number of replicas by fabric domain and model.
pub type FabricLayout = BTreeMap<FabricId, BTreeMap<ModelName, usize>>;

/// Hosts that a fabric domain offers to a layout.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FabricCapacity {
    /// Number of hosts that may join replicas.
    pub hosts: usize,
    /// Number of these hosts that have a model in memory, by model.
    pub loaded: BTreeMap<ModelName, usize>,
}

impl FabricCapacity {
    /// Counts a host that may join replicas; `loaded` is the model that it has in memory, if any.
    pub fn add(&mut self, loaded: Option<&ModelName>) {
        self.hosts += 1;
        let Some(model) = loaded else { return };
        if let Some(count) = self.loaded.get_mut(model) {
            *count += 1;
        } else {
            self.loaded.insert(model.clone(), 1);
        }
    }
}

/// Spreads models over fabric domains in proportion to their shares.
///
/// Models stay where hosts have them in memory. Further replicas go to the model with the lowest
/// coverage, preferably into a fabric domain without a replica of it, and among those into the one
/// with the most free hosts. Once a domain has a replica of a model, a further one must leave a
/// spare host for each model, so that a lost host is replaced within a second instead of after a
/// load of many seconds.
///
/// Small replicas only fill the gaps that large ones leave: a model gets hosts back from one whose
/// coverage is still at least as high without them.
#[must_use]
pub fn compute_layout(
    capacities: &BTreeMap<FabricId, FabricCapacity>,
    models: &[ModelConfig],
) -> FabricLayout {
    let mut draft = LayoutDraft::new(capacities, models);
    draft.place_existing();
    while draft.place_next() {}
    while draft.exchange_next() {
        while draft.place_next() {}
    }
    draft.into_layout(capacities, models)
}

/// A fabric domain while its layout is computed.
#[derive(Debug, Clone)]
struct DomainDraft {
    /// Hosts that are in no placed replica.
    free_hosts: usize,
    /// Hosts that have a model in memory, by the index of the model.
    loaded: Vec<usize>,
    /// Placed replicas, by the index of their model.
    replicas: Vec<usize>,
}

/// Replacement of replicas of one model by a single replica of another, in one domain.
#[derive(Debug, Clone, Copy)]
struct ReplicaExchange {
    domain: usize,
    donor: usize,
    /// Number of replicas that the donor gives up.
    released: usize,
}

/// Layout under construction. Domains are indexed in the order of their names, models in the order
/// of the configuration.
struct LayoutDraft<'a> {
    models: &'a [ModelConfig],
    domains: Vec<DomainDraft>,
    /// Replicas placed in all domains, by model.
    placed: Vec<usize>,
}

impl<'a> LayoutDraft<'a> {
    fn new(capacities: &BTreeMap<FabricId, FabricCapacity>, models: &'a [ModelConfig]) -> Self {
        let domain = |capacity: &FabricCapacity| {
            let loaded = |model: &ModelConfig| capacity.loaded.get(&model.name).copied();
            DomainDraft {
                free_hosts: capacity.hosts,
                loaded: models
                    .iter()
                    .map(|model| loaded(model).unwrap_or(0))
                    .collect(),
                replicas: vec![0; models.len()],
            }
        };
        Self {
            models,
            domains: capacities.values().map(domain).collect(),
            placed: vec![0; models.len()],
        }
    }

    fn coverage(&self, model: usize, replicas: usize) -> Coverage {
        Coverage::of(&self.models[model], replicas)
    }

    /// Returns the models by ascending coverage, and by descending size where that is equal.
    fn by_need(&self) -> Vec<usize> {
        let mut order: Vec<usize> = (0..self.models.len()).collect();
        order.sort_by(|left, right| {
            let coverage = |model: usize| self.coverage(model, self.placed[model]);
            let sizes = self.models[*right].size.cmp(&self.models[*left].size);
            coverage(*left).cmp(&coverage(*right)).then(sizes)
        });
        order
    }

    /// Places the existing replicas, the largest first. A replica that has lost up to half of its
    /// hosts counts as existing, since spares repair it sooner than another domain loads its model.
    fn place_existing(&mut self) {
        let mut order: Vec<usize> = (0..self.models.len()).collect();
        order.sort_by_key(|model| std::cmp::Reverse(self.models[*model].size));
        for model in order {
            let size = self.models[model].size;
            if size == 0 {
                continue;
            }
            for domain in 0..self.domains.len() {
                let existing = (self.domains[domain].loaded[model] + size / 2) / size;
                for _ in 0..existing {
                    if self.domains[domain].free_hosts < self.required_hosts(model, domain) {
                        break;
                    }
                    self.place(model, domain);
                }
            }
        }
    }

    /// Places one more replica and returns whether a domain had the free hosts for it.
    fn place_next(&mut self) -> bool {
        for model in self.by_need() {
            let Some(domain) = self.best_domain(model) else {
                continue;
            };
            self.place(model, domain);
            return true;
        }
        false
    }

    fn place(&mut self, model: usize, domain: usize) {
        self.domains[domain].free_hosts -= self.models[model].size;
        self.domains[domain].replicas[model] += 1;
        self.placed[model] += 1;
    }

    /// Returns how many free hosts a domain must have for one more replica of a model.
    fn required_hosts(&self, model: usize, domain: usize) -> usize {
        let has_one = self.domains[domain].replicas[model] > 0;
        let spares = if has_one { self.models.len() } else { 0 };
        self.models[model].size + spares
    }

    /// Returns the domain for one more replica of a model. Domains without the model come first, so
    /// that the loss of a domain leaves other replicas.
    fn best_domain(&self, model: usize) -> Option<usize> {
        if self.models[model].size == 0 {
            return None;
        }
        let mut best: Option<((bool, usize), usize)> = None;
        for (index, domain) in self.domains.iter().enumerate() {
            if domain.free_hosts < self.required_hosts(model, index) {
                continue;
            }
            let rank = (domain.replicas[model] == 0, domain.free_hosts);
            if best.is_none_or(|(most, _)| rank > most) {
                best = Some((rank, index));
            }
        }
        best.map(|(_, index)| index)
    }

    /// Replaces replicas of one model by one of a model with less coverage and returns whether this
    /// was possible.
    fn exchange_next(&mut self) -> bool {
        for recipient in self.by_need() {
            let Some(exchange) = self.best_exchange(recipient) else {
                continue;
            };
            let ReplicaExchange {
                domain,
                donor,
                released,
            } = exchange;
            self.domains[domain].free_hosts += released * self.models[donor].size;
            self.domains[domain].replicas[donor] -= released;
            self.placed[donor] -= released;
            self.place(recipient, domain);
            return true;
        }
        false
    }

    /// Returns the best exchange for one more replica of a model: preferably in a domain without
    /// the model, and for as few hosts as possible.
    fn best_exchange(&self, recipient: usize) -> Option<ReplicaExchange> {
        if self.models[recipient].size == 0 {
            return None;
        }
        let mut best: Option<((bool, usize), ReplicaExchange)> = None;
        for domain in 0..self.domains.len() {
            let Some((donor, released)) = self.find_donor(recipient, domain) else {
                continue;
            };
            let has_one = self.domains[domain].replicas[recipient] > 0;
            let rank = (has_one, released * self.models[donor].size);
            if best.as_ref().is_none_or(|(least, _)| rank < *least) {
                best = Some((
                    rank,
                    ReplicaExchange {
                        domain,
                        donor,
                        released,
                    },
                ));
            }
        }
        best.map(|(_, exchange)| exchange)
    }

    /// Returns the model that can give up replicas in a domain for one of `recipient`, and how
    /// many.
    fn find_donor(&self, recipient: usize, domain: usize) -> Option<(usize, usize)> {
        let gained = self.coverage(recipient, self.placed[recipient] + 1);
        let missing = self
            .required_hosts(recipient, domain)
            .checked_sub(self.domains[domain].free_hosts)?;
        for (donor, model) in self.models.iter().enumerate() {
            if donor == recipient || model.size == 0 {
                continue;
            }
            let released = missing.div_ceil(model.size);
            if released > self.domains[domain].replicas[donor] {
                continue;
            }
            if self.coverage(donor, self.placed[donor] - released) >= gained {
                return Some((donor, released));
            }
        }
        None
    }

    fn into_layout(
        self,
        capacities: &BTreeMap<FabricId, FabricCapacity>,
        models: &[ModelConfig],
    ) -> FabricLayout {
        let mut layout = FabricLayout::new();
        for (fabric, domain) in capacities.keys().zip(self.domains) {
            let mut desired = BTreeMap::new();
            for (model, count) in models.iter().zip(domain.replicas) {
                if count > 0 {
                    desired.insert(model.name.clone(), count);
                }
            }
            layout.insert(fabric.clone(), desired);
        }
        layout
    }
}
