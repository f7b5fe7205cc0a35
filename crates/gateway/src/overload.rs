//! Which requests may wait at full targets.

use std::time::Duration;

use domain::{FastSet, HostId, ModelName};
use policy::admission::{AdmissionClass, is_late};
use serving::choose_by_room::{BLIND_TIME, BlindTraffic};
use serving::{ReplicaTiming, ReturnRequest, ServiceConfig};

use crate::admitted::AdmittedRequest;
use crate::node::GatewayNode;
use crate::overload_state::ModelOverload;

/// Whether requests whose responses will be late get only free slots.
const USES_LATENESS: bool = true;

/// Whether nodes admit no more than all replicas together have room for.
const USES_CHOICE_BY_ROOM: bool = true;

/// Whether rejected clients return one after the other as slots become free.
const USES_RETURN_TIMES: bool = true;

/// Requests that may queue at a target of a plain service per request that it runs. Calls take
/// milliseconds, so a short queue empties within the target latency.
const PLAIN_QUEUE_PER_SLOT: f64 = 1.0;

impl AdmittedRequest {
    /// Maximum queue length at a target for this request to be sent there, given that its client
    /// waits for `max_wait`. Negative if slots are left to other requests.
    pub(crate) fn queue_limit(
        &self,
        node: &GatewayNode,
        service: &ServiceConfig,
        slots: u32,
        tried: &FastSet<HostId>,
        max_wait: Duration,
    ) -> f64 {
        let class = self.admission_class(node, service, tried);
        let timing = self.replica_timing(service);
        let capacity = timing.and_then(|timing| timing.queue_capacity(max_wait));
        // Without timing data, as for plain services, a short queue empties in time.
        let capacity = capacity.unwrap_or(f64::from(slots) * PLAIN_QUEUE_PER_SLOT);
        class.queue_limit(slots, capacity)
    }

    /// The requested model and its timing if overload control applies to the request.
    pub(crate) fn controlled_model(
        &self,
        service: &ServiceConfig,
    ) -> Option<(&ModelName, ReplicaTiming)> {
        let timing = self.replica_timing(service)?;
        timing.short_queue(self.target_latency)?;
        Some((self.model.as_ref()?, timing))
    }

    /// When the client may come back after all targets were full; `None` if overload control does not
    /// apply to the request. `least` is the shortest time.
    pub(crate) fn return_time(
        &self,
        node: &GatewayNode,
        service: &ServiceConfig,
        least: Duration,
    ) -> Option<Duration> {
        let (model, timing) = self.controlled_model(service)?;
        let now = node.now();
        let waited = self.waited + now.saturating_sub(self.arrived);
        let request = ReturnRequest {
            least,
            time_left: self.time_left(now),
            slack: self
                .target_latency
                .saturating_sub(waited + timing.least_first_event()),
            draw: self.client_draw(),
        };
        let reserve = |model: &mut ModelOverload| model.returns.reserve(request, now);
        USES_RETURN_TIMES.then(|| node.overload.with_model(&self.service, model, reserve))
    }

    /// Counts an arriving request, if overload control applies to it.
    pub(crate) fn record_offered(&self, node: &GatewayNode, service: &ServiceConfig) {
        let Some((model, _)) = self.controlled_model(service) else {
            return;
        };
        let now = node.now();
        node.overload
            .with_model(&self.service, model, |model| model.arrivals.record(now));
    }

    /// What happens at the replicas of the requested model before nodes hear of it; `None` if overload
    /// control does not apply to the request, or if it has been admitted before.
    pub(crate) fn blind_traffic(
        &self,
        node: &GatewayNode,
        service: &ServiceConfig,
        tried: &FastSet<HostId>,
    ) -> Option<BlindTraffic> {
        let (model, timing) = self.controlled_model(service)?;
        // Arrivals are known for all regions together, room only for the regions of the request.
        if !USES_CHOICE_BY_ROOM || !tried.is_empty() || self.regions.is_some() {
            return None;
        }
        let now = node.now();
        let rate = node
            .overload
            .with_model(&self.service, model, |model| model.arrivals.per_second(now));
        let nodes = f64::from(u32::try_from(node.node_count()).unwrap_or(u32::MAX));
        let ends = if self.is_late(service) {
            0.0
        } else {
            BLIND_TIME.as_secs_f64() / timing.completion_interval.as_secs_f64()
        };
        Some(BlindTraffic {
            arrivals: rate * nodes * BLIND_TIME.as_secs_f64(),
            ends,
        })
    }

    /// Timing of a replica of the requested model; `None` for a plain service.
    fn replica_timing(&self, service: &ServiceConfig) -> Option<ReplicaTiming> {
        let model = service.model(self.model.as_ref()?)?;
        Some(service.replica_timing(model))
    }

    /// Prompt tokens that a replica of the requested model processes per second; 0 for a plain
    /// service.
    #[must_use]
    pub fn prefill_rate(&self, service: &ServiceConfig) -> f64 {
        self.replica_timing(service)
            .map_or(0.0, |timing| timing.prefill_rate)
    }

    /// Whether the first event will be late even if a slot is free. Always false where overload is left to
    /// the fixed queue limit, and for the rest of a stream, whose first event the client has.
    #[must_use]
    pub fn is_late(&self, service: &ServiceConfig) -> bool {
        if self.last_event.is_some() {
            return false;
        }
        let controlled = self.controlled_model(service);
        USES_LATENESS
            && controlled.is_some_and(|(_, timing)| {
                is_late(self.waited, timing.least_first_event(), self.target_latency)
            })
    }

    /// Priority of this request among competing ones. A request that already had an attempt was
    /// admitted before and gets the highest class, because the work spent on it would be lost
    /// otherwise.
    fn admission_class(
        &self,
        node: &GatewayNode,
        service: &ServiceConfig,
        tried: &FastSet<HostId>,
    ) -> AdmissionClass {
        if !tried.is_empty() {
            return AdmissionClass::default();
        }
        AdmissionClass {
            higher_ranks: service.higher_priorities(self.priority),
            over_share: node.is_over_share(self),
            is_late: self.is_late(service),
        }
    }
}
