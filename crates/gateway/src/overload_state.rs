//! What a node has learned of overload from its own requests.

use std::cell::RefCell;
use std::time::Duration;

use domain::{FastMap, ModelName, ServiceName};
use policy::admission::UsualTimes;
use serving::ReturnTimes;
use serving::choose_by_room::ArrivalRate;

/// What a node has learned of overload from its own requests.
#[derive(Debug, Default)]
pub struct OverloadState {
    usual_times: RefCell<UsualTimes>,
    models: RefCell<FastMap<(ServiceName, ModelName), ModelOverload>>,
}

/// What a node has learned of the overload of one model.
#[derive(Debug, Default)]
pub struct ModelOverload {
    /// Rate at which requests arrive.
    pub arrivals: ArrivalRate,
    /// When rejected clients may return.
    pub returns: ReturnTimes,
}

impl OverloadState {
    /// Records how long the client of an arriving request will still wait; returns how long it has waited.
    pub fn record_time_left(
        &self,
        route: &str,
        timeout: Duration,
        left: Duration,
        now: Duration,
    ) -> Duration {
        let mut usual = self.usual_times.borrow_mut();
        usual.record(route, timeout, left, now)
    }

    /// Records the end of a request at a target of a model.
    pub fn record_end(&self, service: &ServiceName, model: &ModelName, now: Duration) {
        self.with_model(service, model, |model| model.returns.record_end(now));
    }

    /// Calls `access` with what is known of a model, created at its first use.
    pub fn with_model<R>(
        &self,
        service: &ServiceName,
        model: &ModelName,
        access: impl FnOnce(&mut ModelOverload) -> R,
    ) -> R {
        let mut models = self.models.borrow_mut();
        access(models.entry((service.clone(), model.clone())).or_default())
    }
}
