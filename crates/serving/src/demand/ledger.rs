//! What a node knows of the demand at all nodes, and of the decisions on shares.
//!
//! One node decides for all. If each planned for the demand that it sees itself, two of them would
//! move the same hosts to and fro.

use std::collections::BTreeMap;
use std::time::Duration;

use domain::{FastMap, ModelName, ServiceName};

use super::decider::ShareDecider;
use super::meter::DemandMeter;
use super::shares::{ModelDemand, shares_by_work};
use crate::route::{ModelConfig, ServiceConfig};

/// Part of the live nodes whose demand must be known for a decision. Clients are spread evenly enough
/// that some nodes speak for all.
const MIN_REPORTING_PART: f64 = 0.2;

/// Values by service and model, in thousandths.
pub type ModelValues = BTreeMap<ServiceName, BTreeMap<ModelName, u32>>;

/// Shares of the hosts as a node decided on them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ShareDecision {
    /// Clock of the store at the decision; zero before the first one. The newest decision holds.
    pub clock: Duration,
    /// Shares in thousandths.
    pub shares: ModelValues,
}

/// Demand that the heartbeats of the live nodes report.
#[derive(Debug, Default)]
pub struct ReportedDemand {
    /// Busy replicas in thousandths, summed over the nodes that reported any.
    sums: ModelValues,
    reporting_nodes: usize,
}

impl ReportedDemand {
    /// Adds what one node reports.
    pub fn add(&mut self, demand: &ModelValues) {
        if demand.is_empty() {
            return;
        }
        self.reporting_nodes += 1;
        for (service, models) in demand {
            let sums = self.sums.entry(service.clone()).or_default();
            for (model, busy) in models {
                let sum = sums.entry(model.clone()).or_default();
                *sum = sum.saturating_add(*busy);
            }
        }
    }

    fn is_representative(&self, nodes: usize) -> bool {
        as_f64(self.reporting_nodes) >= as_f64(nodes) * MIN_REPORTING_PART
    }

    /// Replicas of a model that the requests of `nodes` nodes keep busy.
    fn busy_replicas(&self, service: &ServiceName, model: &ModelName, nodes: usize) -> f64 {
        let models = self.sums.get(service);
        let sum = models.and_then(|models| models.get(model));
        let sum = f64::from(sum.copied().unwrap_or(0)) / 1000.0;
        sum * as_f64(nodes) / as_f64(self.reporting_nodes.max(1))
    }
}

/// What a decision on the shares of a service is made from.
#[derive(Debug, Clone, Copy)]
pub struct ReviewInput<'a> {
    /// The service.
    pub service: &'a ServiceConfig,
    /// Demand at all nodes.
    pub reported: &'a ReportedDemand,
    /// Number of live nodes.
    pub nodes: usize,
    /// Clock of the store.
    pub clock: Duration,
}

/// Demand at this node, and the decisions on shares that it knows.
#[derive(Debug, Default)]
pub struct DemandLedger {
    meters: FastMap<(ServiceName, ModelName), DemandMeter>,
    deciders: FastMap<ServiceName, ShareDecider>,
    decision: ShareDecision,
    /// A decision of this node that the store has not accepted yet.
    proposal: Option<ShareDecision>,
}

impl DemandLedger {
    /// Records a request that takes `work` of a replica's time, whatever becomes of it.
    pub fn record(
        &mut self,
        service: &ServiceName,
        model: &ModelName,
        work: Duration,
        now: Duration,
    ) {
        let key = (service.clone(), model.clone());
        self.meters.entry(key).or_default().record(work, now);
    }

    /// Replicas that this node's requests keep busy.
    #[must_use]
    pub fn report(&self, now: Duration) -> ModelValues {
        let mut report = ModelValues::new();
        for ((service, model), meter) in &self.meters {
            let Some(busy) = meter.busy_replicas(now) else {
                continue;
            };
            let models = report.entry(service.clone()).or_default();
            models.insert(model.clone(), to_thousandths(busy));
        }
        report
    }

    /// The decision to write with the next heartbeat: a proposal of this node, or the newest one that
    /// it knows; `None` before the first.
    #[must_use]
    pub fn decision_to_write(&self) -> Option<&ShareDecision> {
        let newest = self.proposal.as_ref().unwrap_or(&self.decision);
        (newest.clock > Duration::ZERO).then_some(newest)
    }

    /// Takes a decision that the store holds, if it is newer; returns whether it was.
    pub fn adopt(&mut self, decision: &ShareDecision) -> bool {
        if decision.clock <= self.decision.clock {
            return false;
        }
        self.decision.clone_from(decision);
        true
    }

    /// Ends the proposal that a heartbeat told of, if it told of one; returns whether it holds now.
    ///
    /// A decision that the store has not accepted is known to its node alone. If that node followed it,
    /// it would move hosts that the others move back, for as long as the store is away.
    pub fn finish_proposal(&mut self, written: Option<&ShareDecision>, is_accepted: bool) -> bool {
        let Some(proposal) = self.proposal.take_if(|proposal| written == Some(proposal)) else {
            return false;
        };
        if is_accepted {
            return self.adopt(&proposal);
        }
        for service in proposal.shares.keys() {
            self.deciders.remove(service);
        }
        false
    }

    /// Models of a service with the shares in force: the decided ones, or those that operators
    /// published.
    #[must_use]
    pub fn planned_models(&self, service: &ServiceConfig) -> Vec<ModelConfig> {
        let shares = self.decision.shares.get(&service.name);
        let mut models = service.models.clone();
        for model in &mut models {
            let share = shares.and_then(|shares| shares.get(&model.name));
            if let Some(share) = share {
                model.share = f64::from(*share) / 1000.0;
            }
        }
        models
    }

    /// Proposes other shares for a service if its demand asks for them; returns what the models need
    /// then, in the order of the configuration.
    pub fn review(&mut self, input: ReviewInput<'_>, now: Duration) -> Option<Vec<ModelDemand>> {
        let ReviewInput {
            service,
            reported,
            nodes,
            clock,
        } = input;
        if self.proposal.is_some() || !reported.is_representative(nodes) {
            return None;
        }
        let demand = |model: &ModelConfig| ModelDemand {
            size: model.size,
            busy_replicas: reported.busy_replicas(&service.name, &model.name, nodes),
            published_share: model.share,
        };
        let demands: Vec<ModelDemand> = service.models.iter().map(demand).collect();
        let wanted = shares_by_work(&demands)?;
        let in_force = self.shares_in_force(service);
        let decider = self.deciders.entry(service.name.clone()).or_default();
        if !decider.decide(&in_force, &wanted, now) {
            return None;
        }
        let names = service.models.iter().map(|model| model.name.clone());
        let shares = names.zip(wanted.into_iter().map(to_thousandths)).collect();
        let mut proposal = self.decision.clone();
        // Clocks that nodes extrapolate differ by some milliseconds.
        proposal.clock = clock.max(proposal.clock + Duration::from_millis(1));
        proposal.shares.insert(service.name.clone(), shares);
        self.proposal = Some(proposal);
        Some(demands)
    }

    fn shares_in_force(&self, service: &ServiceConfig) -> Vec<f64> {
        let models = self.planned_models(service);
        let total: f64 = models.iter().map(|model| model.share).sum();
        let shares = models
            .iter()
            .map(|model| model.share / total.max(f64::EPSILON));
        shares.collect()
    }
}

fn as_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

/// A number in thousandths; one that is negative or too large becomes the nearest.
fn to_thousandths(value: f64) -> u32 {
    let millis = Duration::try_from_secs_f64(value.max(0.0)).unwrap_or(Duration::MAX);
    u32::try_from(millis.as_millis()).unwrap_or(u32::MAX)
}
