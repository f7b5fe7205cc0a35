//! An admitted request and the selection of its target.

use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use domain::{CustomerId, FastSet, HostId, ModelName, PromptPartId, RequestId, ServiceName};
use http::{HeaderMap, Method, Uri};
use serving::choose::{
    ConnectionShare, NoTarget, TargetCandidate, TargetConnections, choose_target,
};
use serving::choose_by_room::choose_by_room;
use serving::choose_sampled::{SampledCandidate, choose_sampled};
use serving::hashing::{stable_hash, unit_draw};
use serving::regions::RegionSet;
use serving::{
    ChoiceLimits, GatewayConfig, RequestFeature, RouteKind, SendBarrier, ServiceConfig, TargetEntry,
};

use crate::held::FixedHold;
use crate::metrics::RequestLabels;
use crate::node::GatewayNode;

/// An admitted request, with everything its attempts need.
#[derive(Debug)]
pub struct AdmittedRequest {
    /// Request id set by the client, if any.
    pub id: Option<RequestId>,
    /// HTTP method, forwarded unchanged.
    pub method: Method,
    /// Request target in origin form (path and query).
    pub uri: Uri,
    /// Request headers as received from the client.
    pub headers: HeaderMap,
    /// Complete request body, kept for further attempts.
    pub body: Bytes,
    /// Counts the body for as long as it is kept.
    pub(crate) _held_body: FixedHold,
    /// Name of the matched route.
    pub route: String,
    /// Kind of the route, which decides whether the request is retryable.
    pub kind: RouteKind,
    /// Service chosen by the route.
    pub service: ServiceName,
    /// Requested model; used only if the service has models.
    pub model: Option<ModelName>,
    /// Number of prompt tokens; 0 for a call to a plain service.
    pub prompt_tokens: u32,
    /// Maximum number of output tokens; 0 if not given.
    pub max_output_tokens: u32,
    /// Parts of the prompt that other requests have as well.
    pub shared_parts: Rc<[PromptPartId]>,
    /// Customer that the API key belongs to; `None` without a key.
    pub customer: Option<CustomerId>,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Maximum number of targets that it is sent to.
    pub max_attempts: u32,
    /// Target latency of the route: responses that begin within it have full value.
    pub target_latency: Duration,
    /// How long the client has waited before it sent the request, compared with others of the route.
    pub waited: Duration,
    /// Arrival time, measured from process start.
    pub arrived: Duration,
    /// Deadline, measured from process start.
    pub deadline: Duration,
    /// Id of the last stream event that the client has already received.
    pub last_event: Option<u64>,
    /// Regions in which it may be served; `None` if any.
    pub regions: Option<RegionSet>,
    /// What it has in common with requests that are sent to no target, if it shows whether they crash
    /// targets.
    pub tried: Rc<[RequestFeature]>,
}

/// Why no target was selected, with the loads behind the decision.
#[derive(Debug, Clone, Copy)]
pub struct SelectionError {
    /// Whether there are no targets or all are full.
    pub reason: NoTarget,
    /// Number of targets considered, without those already tried.
    pub candidates: usize,
    /// Estimated number of requests at the least loaded target.
    pub min_load: f64,
    /// Maximum number of requests per target, running and queued.
    pub max_load: f64,
    /// Whether the response would be late even if a slot were free.
    pub is_late: bool,
    /// If all targets have asked this node for a backoff, the time until the first one takes requests.
    pub backoff_left: Option<Duration>,
    /// Whether targets were left out because their failure domains are evacuated.
    pub has_evacuated: bool,
}

/// Targets that take no request now, by what they state.
#[derive(Debug, Default)]
struct TargetBarriers {
    any: bool,
    /// Whether one is evacuated; it counts as if it did not exist.
    any_evacuated: bool,
    /// When the first backoff ends; `None` if a target has none.
    first_return: Option<Duration>,
}

impl TargetBarriers {
    /// Leaves the targets that a request may be sent to.
    fn retain_free(node: &GatewayNode, entries: &mut Vec<TargetEntry>) -> Self {
        let mut barriers = Self::default();
        let mut are_all_backoffs = true;
        entries.retain(|entry| {
            let checked = node.check_send(entry);
            if checked == Err(SendBarrier::Evacuated) {
                barriers.any_evacuated = true;
                return false;
            }
            barriers.any |= checked.is_err();
            match checked {
                Err(SendBarrier::Backoff { until }) => {
                    let first = barriers.first_return.unwrap_or(until);
                    barriers.first_return = Some(first.min(until));
                }
                Ok(()) | Err(SendBarrier::Limit | SendBarrier::Cold) => are_all_backoffs = false,
                Err(SendBarrier::Draining | SendBarrier::Evacuated) => {}
            }
            checked.is_ok()
        });
        barriers.first_return = barriers.first_return.filter(|_| are_all_backoffs);
        barriers
    }

    fn backoff_left(&self, now: Duration) -> Option<Duration> {
        Some(self.first_return?.saturating_sub(now))
    }
}

impl SelectionError {
    fn absent() -> Self {
        Self {
            reason: NoTarget::Absent,
            candidates: 0,
            min_load: 0.0,
            max_load: 0.0,
            is_late: false,
            backoff_left: None,
            has_evacuated: false,
        }
    }

    fn new(
        reason: NoTarget,
        node: &GatewayNode,
        entries: &[TargetEntry],
        limits: ChoiceLimits,
        slots: u32,
    ) -> Self {
        let now = node.now();
        let loads = entries
            .iter()
            .map(|entry| node.load(&entry.id).estimate(now, limits.nodes));
        Self {
            reason,
            candidates: entries.len(),
            min_load: loads.reduce(f64::min).unwrap_or(0.0),
            max_load: f64::from(slots) + limits.queue_limit,
            is_late: false,
            backoff_left: None,
            has_evacuated: false,
        }
    }
}

impl fmt::Display for SelectionError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.reason {
            _ if self.backoff_left.is_some() => {
                formatter.write_str("all targets have asked for a backoff")
            }
            NoTarget::Absent if self.has_evacuated => {
                formatter.write_str("no target available outside evacuated failure domains")
            }
            NoTarget::Absent => formatter.write_str("no target available"),
            NoTarget::Full => {
                if self.is_late {
                    formatter.write_str("late, and ")?;
                }
                write!(
                    formatter,
                    "all {} targets are full: {:.0} of {:.0} requests at the least loaded",
                    self.candidates, self.min_load, self.max_load
                )
            }
        }
    }
}

/// Requests that a target runs at once.
fn slots_of(service: &ServiceConfig, entry: &TargetEntry) -> u32 {
    if service.models.is_empty() {
        entry.slots
    } else {
        service.slots
    }
}

/// Heads as seen by one of many nodes, to which loads are passed on in batches.
fn sampled_candidates(
    node: &GatewayNode,
    service: &ServiceConfig,
    entries: &[TargetEntry],
    connections: TargetConnections,
) -> Vec<SampledCandidate> {
    let now = node.now();
    let candidates = entries.iter().map(|entry| SampledCandidate {
        load: node.load(&entry.id),
        slots: slots_of(service, entry),
        in_flight_limit: node.load(&entry.id).in_flight_limit(connections, now),
        is_near: entry.domain == node.settings.failure_domain,
        has_connection: node.pool.has_idle(&entry.id),
        cold_factor: node.cold_factor(entry),
    });
    candidates.collect()
}

impl AdmittedRequest {
    /// Selects a target that is not in `tried` and can start the request within `max_wait`.
    ///
    /// # Errors
    ///
    /// [`SelectionError`] with the reason and the loads it is based on.
    pub fn select_target(
        &self,
        node: &GatewayNode,
        config: &GatewayConfig,
        tried: &FastSet<HostId>,
        max_wait: Duration,
    ) -> Result<TargetEntry, SelectionError> {
        let Some(service) = config.services.get(&self.service) else {
            return Err(SelectionError::absent());
        };
        let mut entries: Vec<TargetEntry> = match &self.model {
            Some(model) if !service.models.is_empty() => node.serving_heads(service, model),
            _ => node.plain_targets(&self.service),
        };
        node.retain_sendable(&mut entries);
        node.retain_allowed(self.regions.as_ref(), &mut entries);
        let barriers = TargetBarriers::retain_free(node, &mut entries);
        entries.retain(|entry| !tried.contains(&entry.id));
        let is_blocked = self.retain_fitting(node, service, &mut entries) || barriers.any;
        // Pseudorandom order that can be reproduced from the log.
        entries.sort_by_cached_key(|entry| {
            stable_hash(&(
                node.settings.node.as_str(),
                entry.id.as_str(),
                self.id.as_ref(),
            ))
        });
        let max_slots = entries.first().map_or(0, |entry| slots_of(service, entry));
        let limits = ChoiceLimits {
            queue_limit: self.queue_limit(node, service, max_slots, tried, max_wait),
            nodes: node.node_count(),
        };
        let choose = |share| self.choose(node, service, &entries, (limits, share), tried);
        let chosen = match choose(ConnectionShare::Equal) {
            Err(NoTarget::Full) => choose(ConnectionShare::Free),
            chosen => chosen,
        };
        let index = chosen.map_err(|reason| {
            let reason = if is_blocked { NoTarget::Full } else { reason };
            SelectionError {
                backoff_left: barriers.backoff_left(node.now()),
                has_evacuated: barriers.any_evacuated,
                is_late: tried.is_empty() && self.is_late(service),
                ..SelectionError::new(reason, node, &entries, limits, max_slots)
            }
        })?;
        let target = entries.swap_remove(index);
        node.count_missing_send(&target);
        Ok(target)
    }

    /// Chooses among targets; returns the index of one.
    fn choose(
        &self,
        node: &GatewayNode,
        service: &ServiceConfig,
        entries: &[TargetEntry],
        (limits, share): (ChoiceLimits, ConnectionShare),
        tried: &FastSet<HostId>,
    ) -> Result<usize, NoTarget> {
        let now = node.now();
        let connections = TargetConnections {
            max: service.max_connections,
            nodes: limits.nodes,
            share,
        };
        let is_model = self.model.is_some() && !service.models.is_empty();
        if is_model && node.hints.has_collectors() {
            let candidates = sampled_candidates(node, service, entries, connections);
            let draw = self.draw(node, tried);
            match self.blind_traffic(node, service, tried) {
                Some(traffic) => choose_by_room(&candidates, limits, traffic, now, draw),
                None => choose_sampled(&candidates, limits, now, draw),
            }
        } else {
            let candidates = self.candidates(node, service, entries, connections);
            choose_target(&candidates, limits, now)
        }
    }

    /// Targets as seen by a node that knows of the requests of all others, or of its own only.
    fn candidates(
        &self,
        node: &GatewayNode,
        service: &ServiceConfig,
        entries: &[TargetEntry],
        connections: TargetConnections,
    ) -> Vec<TargetCandidate> {
        let prefill_rate = self.prefill_rate(service);
        let uses_prefill_wait = prefill_rate > 0.0 && node.hints_reach_all();
        let now = node.now();
        let candidates = entries.iter().map(|entry| TargetCandidate {
            load: node.load(&entry.id),
            slots: slots_of(service, entry),
            prefill_wait: uses_prefill_wait.then(|| node.prefill_wait(&entry.id, prefill_rate)),
            in_flight_limit: node.load(&entry.id).in_flight_limit(connections, now),
        });
        candidates.collect()
    }

    /// Number from 0 to 1 that differs between requests and attempts, and can be reproduced from the
    /// log.
    fn draw(&self, node: &GatewayNode, tried: &FastSet<HostId>) -> f64 {
        let name = node.settings.node.as_str();
        unit_draw(&(name, self.id.as_ref(), self.arrived, tried.len()))
    }

    /// Number from 0 to 1 that differs between requests.
    #[must_use]
    pub fn client_draw(&self) -> f64 {
        unit_draw(&self.id.as_ref())
    }

    /// Limits the request to one attempt, so that it can crash at most one more target.
    #[must_use]
    pub fn without_retries(mut self) -> Self {
        self.max_attempts = self.max_attempts.min(1);
        self
    }

    /// The same request, sent to a single target to show whether requests with these features crash it.
    #[must_use]
    pub fn on_trial(mut self, features: Vec<RequestFeature>) -> Self {
        self.tried = features.into();
        self.without_retries()
    }

    /// Whether it may be retried after an attempt that may have executed it.
    #[must_use]
    pub fn is_retryable(&self) -> bool {
        self.kind.allows_retry()
    }

    /// Metric labels of the request.
    #[must_use]
    pub fn labels(&self) -> RequestLabels<'_> {
        RequestLabels {
            kind: self.kind,
            service: self.service.as_str(),
        }
    }

    /// Time remaining until the deadline; zero once it has passed.
    #[must_use]
    pub fn time_left(&self, now: Duration) -> Duration {
        self.deadline.saturating_sub(now)
    }
}
