//! A caller's request on its way to targets, and the choice of one.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use domain::{CustomerId, FastSet, HostId, ModelName, RequestId, ServiceName};
use http::{HeaderMap, Method, Uri};
use policy::admission::AdmissionClass;
use serving::choose::{NoTarget, TargetCandidate, choose_target};
use serving::hashing::stable_hash;
use serving::{
    ChoiceLimits, GatewayConfig, ReplicaTiming, RequestFingerprint, RouteKind, ServiceConfig,
    TargetEntry,
};
use sha2::{Digest, Sha256};

use crate::metrics::RequestLabels;
use crate::node::GatewayNode;

/// A request that was admitted, with all that its attempts need.
#[derive(Debug)]
pub struct AdmittedRequest {
    /// Caller's id of it.
    pub id: Option<RequestId>,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Caller's headers.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// Name of its route.
    pub route: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Service.
    pub service: ServiceName,
    /// Model, where the service has replicas.
    pub model: Option<ModelName>,
    /// Tokens of its prompt; 0 for a call of a plain service.
    pub prompt_tokens: u32,
    /// Customer.
    pub customer: Option<CustomerId>,
    /// Rank; 0 goes first.
    pub priority: u8,
    /// Targets that it may be sent to.
    pub max_attempts: u32,
    /// Time within which its answer is worth most.
    pub target_latency: Duration,
    /// When it arrived.
    pub arrived: Duration,
    /// When its time is over.
    pub deadline: Duration,
    /// Last event that its caller has.
    pub last_event: Option<u64>,
}

/// Why no target takes a request, with the loads that decided it.
#[derive(Debug, Clone, Copy)]
pub struct ChoiceFailure {
    /// Reason.
    pub reason: NoTarget,
    /// Targets that were looked at.
    pub candidates: usize,
    /// Requests probably at the least loaded of them.
    pub least_load: f64,
    /// Requests that each may have.
    pub most_load: f64,
}

impl ChoiceFailure {
    fn absent() -> Self {
        Self {
            reason: NoTarget::Absent,
            candidates: 0,
            least_load: 0.0,
            most_load: 0.0,
        }
    }

    fn new(
        reason: NoTarget,
        choices: &[TargetCandidate],
        limits: ChoiceLimits,
        now: Duration,
    ) -> Self {
        let loads = choices
            .iter()
            .map(|choice| choice.load.estimate(now, limits.nodes));
        let slots = choices.first().map_or(0, |choice| choice.slots);
        Self {
            reason,
            candidates: choices.len(),
            least_load: loads.reduce(f64::min).unwrap_or(0.0),
            most_load: f64::from(slots) + limits.queue_limit,
        }
    }
}

impl fmt::Display for ChoiceFailure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.reason {
            NoTarget::Absent => formatter.write_str("no target serves it"),
            NoTarget::Full => write!(
                formatter,
                "all {} targets are full: {:.0} of {:.0} requests at the emptiest",
                self.candidates, self.least_load, self.most_load
            ),
        }
    }
}

/// Requests that may wait at one target of a plain service for each that it runs. Its calls take
/// milliseconds, so a short queue empties within their target latency.
const PLAIN_QUEUE: f64 = 1.0;

/// Part of a target's connections that is used for requests; idle ones take up the rest.
const CONNECTION_PART: f64 = 0.75;

/// This node's part of the connections that one target of a service takes, at least two.
fn connection_part(service: &ServiceConfig, nodes: usize) -> u32 {
    let nodes = f64::from(u32::try_from(nodes.max(1)).unwrap_or(u32::MAX));
    let part = f64::from(service.max_connections) * CONNECTION_PART / nodes;
    // In range: the whole is a u32 and the factor below 1.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let part = part as u32;
    part.max(2)
}

impl AdmittedRequest {
    /// Requests that may wait at a target where this one still goes, with a caller who waits for
    /// `patience`.
    fn queue_limit(
        &self,
        service: &ServiceConfig,
        slots: u32,
        class: AdmissionClass,
        patience: Duration,
    ) -> f64 {
        let pace = self.replica_pace(service);
        let places = pace.and_then(|pace| pace.queue_capacity(patience));
        // Without a step model, and at a plain service, a short queue empties in time.
        places.unwrap_or(f64::from(slots) * PLAIN_QUEUE) * class.queue_fraction()
    }

    /// Times of a replica of its model; nothing for a plain service.
    fn replica_pace(&self, service: &ServiceConfig) -> Option<ReplicaTiming> {
        let model = service.model(self.model.as_ref()?)?;
        Some(service.replica_timing(model))
    }

    /// Prompt tokens that a replica of its model reads a second; 0 for a plain service.
    #[must_use]
    pub fn read_rate(&self, service: &ServiceConfig) -> f64 {
        self.replica_pace(service)
            .map_or(0.0, |pace| pace.prefill_rate)
    }

    /// What it is among those that compete with it. One that goes on elsewhere was let in before,
    /// and what it has cost would be lost.
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
        }
    }

    /// Chooses a target that is not among `tried` and begins within `patience`.
    ///
    /// # Errors
    ///
    /// Why there is none, and what that was decided on.
    pub fn choose(
        &self,
        node: &GatewayNode,
        config: &GatewayConfig,
        tried: &FastSet<HostId>,
        patience: Duration,
    ) -> Result<TargetEntry, ChoiceFailure> {
        let Some(service) = config.services.get(&self.service) else {
            return Err(ChoiceFailure::absent());
        };
        let mut entries: Vec<TargetEntry> = match &self.model {
            Some(model) if !service.models.is_empty() => node.serving_heads(service, model),
            _ => node.plain_targets(&self.service),
        };
        entries.retain(|entry| !tried.contains(&entry.id));
        // A draw that a later reader of the log can repeat.
        entries.sort_by_cached_key(|entry| {
            stable_hash(&(
                node.settings.node.as_str(),
                entry.id.as_str(),
                self.id.as_ref(),
            ))
        });
        let now = node.now();
        let slots = |entry: &TargetEntry| {
            if service.models.is_empty() {
                entry.slots
            } else {
                service.slots
            }
        };
        let read_rate = self.read_rate(service);
        let compares_waits = read_rate > 0.0 && node.hints_reach_all();
        let choices: Vec<TargetCandidate> = entries
            .iter()
            .map(|entry| TargetCandidate {
                load: node.load(&entry.id),
                slots: slots(entry),
                prefill_wait: compares_waits.then(|| node.prefill_wait(&entry.id, read_rate)),
                in_flight_limit: connection_part(service, node.node_count()),
            })
            .collect();
        let most = entries.first().map_or(0, slots);
        let class = self.admission_class(node, service, tried);
        let limits = ChoiceLimits {
            queue_limit: self.queue_limit(service, most, class, patience),
            nodes: node.node_count(),
        };
        let index = choose_target(&choices, limits, now)
            .map_err(|reason| ChoiceFailure::new(reason, &choices, limits, now))?;
        let entry = entries.swap_remove(index);
        Ok(entry)
    }

    /// The same, to be sent to one target only.
    #[must_use]
    pub fn with_one_target(mut self) -> Self {
        self.max_attempts = self.max_attempts.min(1);
        self
    }

    /// What stands for it when it comes again.
    #[must_use]
    pub fn mark(&self) -> RequestFingerprint {
        let customer = self.customer.as_ref().map_or("", CustomerId::as_str);
        let path = self.uri.path_and_query().map_or("", |path| path.as_str());
        let mut hash = Sha256::new();
        for part in [customer.as_bytes(), path.as_bytes(), &self.body] {
            hash.update(u64::try_from(part.len()).unwrap_or(u64::MAX).to_be_bytes());
            hash.update(part);
        }
        let mut half = [0; 16];
        half.copy_from_slice(&hash.finalize()[..16]);
        RequestFingerprint(u128::from_be_bytes(half))
    }

    /// Whether it may be sent again after it may have run.
    #[must_use]
    pub fn may_repeat(&self) -> bool {
        self.kind.allows_retry()
    }

    /// What its metrics are filed under.
    #[must_use]
    pub fn labels(&self) -> RequestLabels<'_> {
        RequestLabels {
            kind: self.kind,
            service: self.service.as_str(),
        }
    }

    /// Time that is left.
    #[must_use]
    pub fn time_left(&self, now: Duration) -> Duration {
        self.deadline.saturating_sub(now)
    }
}
