//! The gateway configuration: routes, services, keys and request limits.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::cold_targets::ColdTerms;
use crate::regions::RegionSet;
use crate::timing::ReplicaTiming;

use domain::{ConfigRevision, CustomerId, FastMap, ModelName, ServiceName};

/// Whether requests on a route may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may run more than once, so it may be retried.
    Idempotent,
    /// A request must not run more than once, so it is not retried once it may have run.
    NonIdempotent,
    /// The response is a stream of events.
    Streaming {
        /// Whether another target may resume a stream that broke off.
        resumable: bool,
    },
}

impl RouteKind {
    /// Returns whether a request may be sent again after it may have run.
    #[must_use]
    pub fn allows_retry(self) -> bool {
        match self {
            Self::Idempotent => true,
            Self::NonIdempotent => false,
            Self::Streaming { resumable } => resumable,
        }
    }
}

/// A route from request paths to services.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name of the route in logs and metrics.
    pub name: String,
    /// Prefix of the request paths; begins and ends with a slash.
    pub prefix: String,
    /// Whether requests may be retried, and whether their responses are streams.
    pub kind: RouteKind,
    /// Maximum time from the arrival of a request to the end of its response.
    pub timeout: Duration,
    /// Latency to aim for: of the whole response, or of the first event of a stream.
    pub target_latency: Duration,
    /// Priority of requests whose API key sets none; 0 is the most urgent.
    pub priority: u8,
    /// Services and their weights relative to the sum; more than one while traffic is split.
    pub services: Vec<(ServiceName, u32)>,
    /// Maximum number of targets that a request is sent to, at least 1. Failed connects
    /// don't count.
    pub max_attempts: u32,
    /// Whether requests without a known API key are accepted.
    pub public: bool,
    /// Regions in which requests may be served; `None` if any.
    pub regions: Option<RegionSet>,
}

impl Route {
    /// Returns the service for a request, selected by a hash of its id.
    ///
    /// All nodes together keep to the weights without shared counters. If all weights are 0, the
    /// first service takes the request; `None` means that the route has no services.
    #[must_use]
    pub fn service_for(&self, hash: u64) -> Option<&ServiceName> {
        let total: u64 = self
            .services
            .iter()
            .map(|(_, weight)| u64::from(*weight))
            .sum();
        if total == 0 {
            return self.services.first().map(|(service, _)| service);
        }
        let mut offset = hash % total;
        for (service, weight) in &self.services {
            if offset < u64::from(*weight) {
                return Some(service);
            }
            offset -= u64::from(*weight);
        }
        None
    }
}

/// How replicas serve a model.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelConfig {
    /// Name under which hosts report the model as loaded or staged.
    pub name: ModelName,
    /// Number of hosts in a replica. One with fewer does not serve.
    pub size: usize,
    /// Expected share of the hosts that the model needs, between 0 and 1.
    pub share: f64,
    /// Factor on the times of [`ServiceConfig::timing`]; 2 means half as fast.
    pub time_factor: f64,
    /// Time in which one host loads the weights from the weight store.
    pub load_time: Duration,
}

/// A service and its targets.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceConfig {
    /// Name by which routes and registry entries refer to the service.
    pub name: ServiceName,
    /// Connections that one target accepts from all nodes together.
    pub max_connections: u32,
    /// Models that replicas serve; empty for a plain service, whose targets serve on their own.
    pub models: Vec<ModelConfig>,
    /// Requests that a replica runs at once; 0 for a plain service.
    pub slots: u32,
    /// Timing of a full replica of a model whose time factor is 1.
    pub timing: ReplicaTiming,
    /// Weight loads that all nodes together may start per second; 0 for a plain service.
    pub loads_per_second: f64,
    /// For how long targets are cold after a start, and what they take then; `None` if the service states
    /// none.
    pub cold: Option<ColdTerms>,
    /// Tokens that a replica holds in memory, of prompts and responses together; `None` if the service
    /// states none.
    pub memory_tokens: Option<u64>,
    /// Path at which a target tells its id; `None` if the configuration states none.
    pub health_path: Option<String>,
    /// Priorities that requests to the service may have, the most urgent first. They are filled in
    /// by [`GatewayConfig::with_priorities`].
    pub priorities: Vec<u8>,
}

impl ServiceConfig {
    /// Returns the configuration of a model; `None` if the service does not serve it.
    #[must_use]
    pub fn model(&self, name: &ModelName) -> Option<&ModelConfig> {
        self.models.iter().find(|model| model.name == *name)
    }

    /// Returns the timing of a full replica of a model: that of the service, scaled by the model's
    /// time factor.
    #[must_use]
    pub fn replica_timing(&self, model: &ModelConfig) -> ReplicaTiming {
        self.timing.scaled(model.time_factor)
    }

    /// Returns how many priorities in use are more urgent than the given one.
    #[must_use]
    pub fn higher_priorities(&self, priority: u8) -> usize {
        self.priorities
            .iter()
            .filter(|other| **other < priority)
            .count()
    }
}

/// Limits on what a client may send, and how long it may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestLimits {
    /// Maximum size of the request head in bytes.
    pub head_bytes: usize,
    /// Maximum size of the request body in bytes.
    pub body_bytes: usize,
    /// Maximum time until the request head is complete.
    pub head_timeout: Duration,
    /// Maximum time that a connection may be idle.
    pub idle_timeout: Duration,
}

/// The customer that an API key belongs to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyOwner {
    /// Customer to whom requests with the key are attributed.
    pub customer: CustomerId,
    /// Priority of the customer's requests, which overrides that of the route; `None` keeps the
    /// route's.
    pub priority: Option<u8>,
    /// Regions in which the customer's requests may be served, on top of those of the route; `None` if any.
    pub regions: Option<RegionSet>,
}

/// One version of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewayConfig {
    /// Version of the configuration. A node ignores one that is not above its current version.
    pub revision: ConfigRevision,
    /// Routes by host name, in descending order of prefix length.
    pub routes: FastMap<String, Vec<Route>>,
    /// Services by the names that routes refer to.
    pub services: FastMap<ServiceName, ServiceConfig>,
    /// Owners by API key; `None` if requests need no key.
    pub keys: Option<FastMap<String, KeyOwner>>,
    /// Limits on the requests of all clients, on every route.
    pub limits: RequestLimits,
}

impl GatewayConfig {
    /// Returns the configuration with [`ServiceConfig::priorities`] filled in.
    ///
    /// These are the priorities of the routes to the service, and those of all customers, since
    /// their requests may come on any route.
    #[must_use]
    pub fn with_priorities(mut self) -> Self {
        let keys = self.keys.iter().flat_map(FastMap::values);
        let customers: BTreeSet<u8> = keys.filter_map(|key| key.priority).collect();
        let routes: Vec<&Route> = self.routes.values().flatten().collect();
        for service in self.services.values_mut() {
            let mut priorities = customers.clone();
            for route in &routes {
                if route.services.iter().any(|(name, _)| *name == service.name) {
                    priorities.insert(route.priority);
                }
            }
            service.priorities = priorities.into_iter().collect();
        }
        self
    }

    /// Returns the route of a request: among the routes of its host name, the one with the longest
    /// matching prefix.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self.routes.get(host)?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }
}
