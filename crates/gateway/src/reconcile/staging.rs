//! Staging: loads a second model onto hosts that serve another one.

use std::time::Duration;

use adapter::orders::HostOrder;
use domain::{HostId, ModelName};

use super::ReplicaReconciler;
use super::steps::cooldown_after;

/// Speedup of loads before the first request of a new system.
const BOOTSTRAP_LOAD_SPEEDUP: f64 = 10.0;

/// Factor by which a load may exceed its published duration, since the weight store is shared.
const LOAD_TIME_FACTOR: f64 = 2.0;

/// Delay from the end of a load until the registry reports it.
const REPORT_DELAY: Duration = Duration::from_millis(800);

impl ReplicaReconciler {
    /// Orders a host to stage a model. The host is available for other orders at once; only this
    /// node knows about the load until the host's registry entry names the model.
    pub(super) async fn stage(&self, host: &HostId, model: ModelName) -> Duration {
        let until = self.node.now() + self.staging_time(&model);
        let loading = (model.clone(), until);
        self.staging.borrow_mut().insert(host.clone(), loading);
        let expected = self.node.registry(|registry| {
            let entry = registry.get(host)?;
            entry.membership_key()
        });
        let outcome = self
            .send_order(host, HostOrder::Stage { model }, expected)
            .await;
        cooldown_after(outcome, Duration::ZERO)
    }

    /// Model that a host may still be staging on this node's order.
    pub(super) fn staging_at(&self, host: &HostId) -> Option<ModelName> {
        let staging = self.staging.borrow();
        let (model, until) = staging.get(host)?;
        (self.node.now() < *until).then(|| model.clone())
    }

    /// Maximum time until the registry names a model that was ordered to be staged.
    pub(super) fn staging_time(&self, model: &ModelName) -> Duration {
        let load = self.node.config().and_then(|config| {
            let mut services = config.services.values();
            services.find_map(|service| service.model(model).map(|model| model.load_time))
        });
        let load = load.unwrap_or_default();
        let load = if self.node.is_bootstrapping() {
            load.div_f64(BOOTSTRAP_LOAD_SPEEDUP)
        } else {
            load.mul_f64(LOAD_TIME_FACTOR)
        };
        load + REPORT_DELAY
    }
}
