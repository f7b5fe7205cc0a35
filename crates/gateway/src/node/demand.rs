//! What clients ask of each model, and the shares of the hosts that follow.

use events::{EventCode, LogLine};
use serving::demand::{ModelDemand, ModelValues, ReportedDemand, ReviewInput, ShareDecision};
use serving::hashing::rendezvous_rank;
use serving::{ModelConfig, ServiceConfig};

use super::GatewayNode;
use crate::admitted::AdmittedRequest;

/// Label by which the nodes are ranked for decisions on shares.
const DECISION_LABEL: &str = "shares";

impl GatewayNode {
    /// Records what a request asks of its model, whatever becomes of it.
    pub fn record_demand(&self, request: &AdmittedRequest) {
        let Some(config) = self.config() else { return };
        let Some(service) = config.services.get(&request.service) else {
            return;
        };
        let model = request.model.as_ref();
        let Some(model) = model.and_then(|name| service.model(name)) else {
            return;
        };
        let timing = service.replica_timing(model);
        let work = timing.request_time(request.prompt_tokens, request.max_output_tokens);
        let mut demand = self.demand.borrow_mut();
        demand.record(&service.name, &model.name, work, self.now());
    }

    /// Replicas that this node's requests keep busy, in thousandths.
    #[must_use]
    pub fn demand_report(&self) -> ModelValues {
        self.demand.borrow().report(self.now())
    }

    /// The decision on shares to write with the next heartbeat.
    #[must_use]
    pub fn decision_to_write(&self) -> Option<ShareDecision> {
        self.demand.borrow().decision_to_write().cloned()
    }

    /// Takes a decision that the store holds, if it is newer.
    pub fn adopt_decision(&self, decision: &ShareDecision) {
        if self.demand.borrow_mut().adopt(decision) {
            self.state_changed.notify_waiters();
        }
    }

    /// Ends a proposal of this node after a heartbeat, if that told of it.
    pub fn finish_proposal(&self, written: Option<&ShareDecision>, is_accepted: bool) {
        let mut demand = self.demand.borrow_mut();
        if demand.finish_proposal(written, is_accepted) {
            self.state_changed.notify_waiters();
        }
    }

    /// Models of a service with the shares in force.
    #[must_use]
    pub fn planned_models(&self, service: &ServiceConfig) -> Vec<ModelConfig> {
        self.demand.borrow().planned_models(service)
    }

    /// Proposes other shares if that is this node's turn and the demand asks for them.
    pub fn review_shares(&self, reported: &ReportedDemand) {
        let (Some(config), Some(clock)) = (self.config(), self.store_clock()) else {
            return;
        };
        if !self.decides_on_shares() {
            return;
        }
        for service in config.services.values() {
            if service.models.len() < 2 {
                continue;
            }
            let input = ReviewInput {
                service,
                reported,
                nodes: self.node_count(),
                clock,
            };
            let proposed = self.demand.borrow_mut().review(input, self.now());
            let Some(demands) = proposed else { continue };
            self.log_proposal(service, &demands);
            self.share_proposed.notify_one();
        }
    }

    fn decides_on_shares(&self) -> bool {
        let own = self.settings.node.as_str();
        self.with_live_nodes(|nodes| {
            let nodes = nodes.iter().map(String::as_str);
            rendezvous_rank(own, nodes, DECISION_LABEL) == 0
        })
    }

    fn log_proposal(&self, service: &ServiceConfig, demands: &[ModelDemand]) {
        let decision = self.decision_to_write().unwrap_or_default();
        let shares = decision.shares.get(&service.name);
        let models = service.models.iter().zip(demands).map(|(model, demand)| {
            let share = shares.and_then(|shares| shares.get(&model.name));
            let share = f64::from(share.copied().unwrap_or(0)) / 1000.0;
            let busy = demand.busy_replicas;
            format!("{} {busy:.1} busy, share {share:.2}", model.name)
        });
        let models: Vec<String> = models.collect();
        self.log(
            &LogLine::new(EventCode::SharesDecided)
                .text("service", service.name.as_str())
                .text("models", &models.join(", ")),
        );
    }
}
