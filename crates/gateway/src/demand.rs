//! What clients ask of each model, told with heartbeats, and the shares of the hosts that follow.
//!
//! One node decides, the first of the live ones by rendezvous hashing, and its heartbeat tells all
//! others. If each node planned for the demand that it sees itself, two of them would move the same
//! hosts to and fro. The newest decision holds, by the store's clock, also after its node is gone.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use domain::{FastMap, ModelName, ServiceName};
use events::{EventCode, LogLine};
use serde::{Deserialize, Serialize};
use serving::demand::{DemandMeter, ModelDemand, ShareDecider, shares_by_work};
use serving::hashing::rendezvous_rank;
use serving::{ModelConfig, ServiceConfig};
use tokio::sync::Notify;

use crate::admitted::AdmittedRequest;
use crate::node::GatewayNode;

/// Label by which the nodes are ranked for decisions.
const DECISION_LABEL: &str = "shares";

/// Part of the live nodes whose demand must be known for a decision. Clients are spread evenly enough
/// that some nodes speak for all.
const MIN_REPORTING_PART: f64 = 0.2;

/// Values by service and model.
type ModelValues = BTreeMap<ServiceName, BTreeMap<ModelName, u32>>;

/// Shares of the hosts as a node decided on them.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ShareDecision {
    /// Clock of the store at the decision, in milliseconds.
    pub clock_ms: u64,
    /// Shares in thousandths.
    pub shares: ModelValues,
}

/// What this node and the others know of the demand.
#[derive(Debug, Default)]
pub struct DemandState {
    meters: RefCell<FastMap<(ServiceName, ModelName), DemandMeter>>,
    deciders: RefCell<FastMap<ServiceName, ShareDecider>>,
    /// The newest decision of any node.
    decision: RefCell<ShareDecision>,
    /// Notified when this node has decided, so that its heartbeat tells the others at once.
    pub decided: Notify,
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

    /// Replicas of a model that the requests of `nodes` nodes keep busy.
    fn busy_replicas(&self, service: &ServiceName, model: &ModelName, nodes: f64) -> f64 {
        let models = self.sums.get(service);
        let sum = models.and_then(|models| models.get(model));
        let reporting = f64::from(u32::try_from(self.reporting_nodes).unwrap_or(u32::MAX));
        f64::from(sum.copied().unwrap_or(0)) / 1000.0 * nodes / reporting.max(1.0)
    }
}

impl GatewayNode {
    /// Records what a request asks of its model, whatever becomes of it.
    pub fn record_demand(&self, request: &AdmittedRequest) {
        let Some(config) = self.config() else { return };
        let Some(service) = config.services.get(&request.service) else {
            return;
        };
        let Some(model) = request.model.as_ref().and_then(|name| service.model(name)) else {
            return;
        };
        let timing = service.replica_timing(model);
        let work = timing.request_time(request.prompt_tokens, request.max_output_tokens);
        let key = (service.name.clone(), model.name.clone());
        let mut meters = self.demand.meters.borrow_mut();
        meters.entry(key).or_default().record(work, self.now());
    }

    /// Replicas that this node's requests keep busy, in thousandths.
    #[must_use]
    pub fn demand_report(&self) -> ModelValues {
        let now = self.now();
        let mut report = ModelValues::new();
        for ((service, model), meter) in self.demand.meters.borrow().iter() {
            let Some(busy) = meter.busy_replicas(now) else {
                continue;
            };
            let models = report.entry(service.clone()).or_default();
            models.insert(model.clone(), to_thousandths(busy));
        }
        report
    }

    /// The newest decision on shares that this node knows.
    #[must_use]
    pub fn share_decision(&self) -> ShareDecision {
        self.demand.decision.borrow().clone()
    }

    /// Takes the decision of another node, if it is newer.
    pub fn adopt_decision(&self, decision: &ShareDecision) {
        let mut known = self.demand.decision.borrow_mut();
        if decision.clock_ms <= known.clock_ms {
            return;
        }
        known.clone_from(decision);
        drop(known);
        self.state_changed.notify_waiters();
    }

    /// Models of a service with the shares in force: the decided ones, or those that operators
    /// published.
    #[must_use]
    pub fn planned_models(&self, service: &ServiceConfig) -> Vec<ModelConfig> {
        let decision = self.demand.decision.borrow();
        let shares = decision.shares.get(&service.name);
        let mut models = service.models.clone();
        for model in &mut models {
            let share = shares.and_then(|shares| shares.get(&model.name));
            if let Some(share) = share {
                model.share = f64::from(*share) / 1000.0;
            }
        }
        models
    }

    /// Decides on new shares if that is this node's turn and the demand asks for it.
    pub fn review_shares(&self, reported: &ReportedDemand) {
        let Some(config) = self.config() else { return };
        let nodes = f64::from(u32::try_from(self.node_count()).unwrap_or(u32::MAX));
        let reporting = f64::from(u32::try_from(reported.reporting_nodes).unwrap_or(u32::MAX));
        if reporting < nodes * MIN_REPORTING_PART || !self.decides_on_shares() {
            return;
        }
        for service in config.services.values() {
            if service.models.len() > 1 {
                self.review_service(service, reported, nodes);
            }
        }
    }

    fn decides_on_shares(&self) -> bool {
        let own = self.settings.node.as_str();
        self.with_live_nodes(|nodes| {
            let nodes = nodes.iter().map(String::as_str);
            rendezvous_rank(own, nodes, DECISION_LABEL) == 0
        })
    }

    fn review_service(&self, service: &ServiceConfig, reported: &ReportedDemand, nodes: f64) {
        let in_force = self.planned_models(service);
        let demands = service.models.iter().map(|model| ModelDemand {
            size: model.size,
            busy_replicas: reported.busy_replicas(&service.name, &model.name, nodes),
            published_share: model.share,
        });
        let demands: Vec<ModelDemand> = demands.collect();
        let Some(wanted) = shares_by_work(&demands) else {
            return;
        };
        let total: f64 = in_force.iter().map(|model| model.share).sum();
        let in_force = in_force
            .iter()
            .map(|model| model.share / total.max(f64::EPSILON));
        let in_force: Vec<f64> = in_force.collect();
        let mut deciders = self.demand.deciders.borrow_mut();
        let decider = deciders.entry(service.name.clone()).or_default();
        if decider.decide(&in_force, &wanted, self.now()) {
            drop(deciders);
            self.decide_shares(service, &demands, &wanted);
        }
    }

    fn decide_shares(&self, service: &ServiceConfig, demands: &[ModelDemand], wanted: &[f64]) {
        let Some(clock) = self.store_clock() else {
            return;
        };
        let mut decision = self.share_decision();
        let clock_ms = u64::try_from(clock.as_millis()).unwrap_or(u64::MAX);
        // Clocks that nodes extrapolate differ by some milliseconds.
        decision.clock_ms = clock_ms.max(decision.clock_ms.saturating_add(1));
        let names = service.models.iter().map(|model| model.name.clone());
        let shares = names.zip(wanted.iter().copied().map(to_thousandths));
        decision
            .shares
            .insert(service.name.clone(), shares.collect());
        let models = service.models.iter().zip(demands).zip(wanted);
        let models = models.map(|((model, demand), share)| {
            format!(
                "{} {:.1} busy, share {share:.2}",
                model.name, demand.busy_replicas
            )
        });
        let models: Vec<String> = models.collect();
        self.log(
            &LogLine::new(EventCode::SharesDecided)
                .text("service", service.name.as_str())
                .text("models", &models.join(", ")),
        );
        self.adopt_decision(&decision);
        self.demand.decided.notify_one();
    }
}

/// A number in thousandths; one that is negative or too large becomes the nearest.
fn to_thousandths(value: f64) -> u32 {
    let millis = Duration::try_from_secs_f64(value.max(0.0)).unwrap_or_default();
    u32::try_from(millis.as_millis()).unwrap_or(u32::MAX)
}
