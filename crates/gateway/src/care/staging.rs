//! Loading a second model onto hosts that serve.

use std::time::Duration;

use adapter::orders::HostOrder;
use domain::{HostId, ModelName};

use super::ReplicaCare;
use super::steps::hold_after;
use crate::orders::membership_key;

/// Factor by which loads are quicker before the first request of the whole system.
const LEAD_SPEED: f64 = 10.0;

/// Factor by which a load may take longer than published: the weight store is shared.
const LOAD_SLACK: f64 = 2.0;

/// Time from the end of a load until the registry tells of it.
const REPORT_TIME: Duration = Duration::from_millis(800);

impl ReplicaCare {
    /// Stages a model. The host is free for other orders at once; that it loads is known to this
    /// node alone, and to others once its registry entry names the model.
    pub(super) async fn stage(&self, host: &HostId, model: ModelName) -> Duration {
        let until = self.node.now() + self.staging_time(&model);
        let loading = (model.clone(), until);
        self.staging.borrow_mut().insert(host.clone(), loading);
        let expected = self.node.registry(|registry| {
            let entry = registry.get(host)?;
            entry.membership.as_ref().map(membership_key)
        });
        let end = self.give(host, HostOrder::Stage { model }, expected).await;
        hold_after(end, Duration::ZERO)
    }

    /// The model that a host may still be loading because this node told it to.
    pub(super) fn staging_at(&self, host: &HostId) -> Option<ModelName> {
        let staging = self.staging.borrow();
        let (model, until) = staging.get(host)?;
        (self.node.now() < *until).then(|| model.clone())
    }

    /// Longest time until the registry names a model that was told to be staged.
    pub(super) fn staging_time(&self, model: &ModelName) -> Duration {
        let load = self.node.config().and_then(|config| {
            let mut services = config.services.values();
            services.find_map(|service| service.model(model).map(|model| model.load_time))
        });
        let load = load.unwrap_or_default();
        let load = if self.node.is_bootstrapping() {
            load.div_f64(LEAD_SPEED)
        } else {
            load.mul_f64(LOAD_SLACK)
        };
        load + REPORT_TIME
    }
}
