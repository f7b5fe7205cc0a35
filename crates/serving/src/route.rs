//! The configuration as a gateway uses it.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::timing::ReplicaTiming;

use domain::{ConfigRevision, CustomerId, FastMap, ModelName, ServiceName};

/// What may be repeated on a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    NonIdempotent,
    /// The answer is a stream of events.
    Streaming {
        /// Whether another target may go on where a stream broke off.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request may be sent again after it may have run.
    #[must_use]
    pub fn allows_retry(self) -> bool {
        match self {
            Self::Idempotent => true,
            Self::NonIdempotent => false,
            Self::Streaming { resumable } => resumable,
        }
    }
}

/// One route.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name, for logs and metrics.
    pub name: String,
    /// Beginning of the paths it takes; begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time from a request's arrival to the end of its answer.
    pub timeout: Duration,
    /// Time within which an answer, or the first event of a stream, is worth most to its caller.
    pub target_latency: Duration,
    /// Rank among routes; 0 goes first.
    pub priority: u8,
    /// Services with their weights; more than one while traffic is split.
    pub services: Vec<(ServiceName, u32)>,
    /// Targets that one request may be sent to.
    pub max_attempts: u32,
    /// Whether a request needs no key.
    pub public: bool,
}

impl Route {
    /// The service for a request, by a hash of its id, so that the split holds over all nodes
    /// without a count kept anywhere.
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
        let mut place = hash % total;
        for (service, weight) in &self.services {
            if place < u64::from(*weight) {
                return Some(service);
            }
            place -= u64::from(*weight);
        }
        None
    }
}

/// How a model is served by replicas.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelConfig {
    /// Model.
    pub name: ModelName,
    /// Hosts of one replica.
    pub size: usize,
    /// Expected part of the hosts that the model needs, between 0 and 1.
    pub share: f64,
    /// Factor on all of its times.
    pub time_factor: f64,
    /// Time to load its weights from the weight store.
    pub load_time: Duration,
}

/// A service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceConfig {
    /// Name.
    pub name: ServiceName,
    /// Connections that one target takes from all nodes together.
    pub max_connections: u32,
    /// Models with replicas; empty for a plain service.
    pub models: Vec<ModelConfig>,
    /// Requests that a replica runs at once; 0 for a plain service.
    pub slots: u32,
    /// Times of a full replica of a model whose pace is 1.
    pub timing: ReplicaTiming,
    /// Weight loads that may start a second.
    pub loads_per_second: f64,
    /// Ranks of the requests that may come, the most urgent first; see
    /// [`GatewayConfig::with_priorities`].
    pub priorities: Vec<u8>,
}

impl ServiceConfig {
    /// The shape of a model.
    #[must_use]
    pub fn model(&self, name: &ModelName) -> Option<&ModelConfig> {
        self.models.iter().find(|model| model.name == *name)
    }

    /// Times of a full replica of a model.
    #[must_use]
    pub fn replica_timing(&self, model: &ModelConfig) -> ReplicaTiming {
        self.timing.scaled(model.time_factor)
    }

    /// How many ranks in use go before one.
    #[must_use]
    pub fn higher_priorities(&self, rank: u8) -> usize {
        self.priorities
            .iter()
            .filter(|other| **other < rank)
            .count()
    }
}

/// What a caller may send, and how long it may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestLimits {
    /// Largest head, in bytes.
    pub head_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Longest wait for a whole head.
    pub head_timeout: Duration,
    /// Longest time that a connection may be idle.
    pub idle_timeout: Duration,
}

/// Whose key it is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyOwner {
    /// The customer.
    pub customer: CustomerId,
    /// The customer's rank, which goes before the route's.
    pub priority: Option<u8>,
}

/// One version of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewayConfig {
    /// Version; only grows within a process.
    pub revision: ConfigRevision,
    /// Routes by host name, the longest prefix first.
    pub routes: FastMap<String, Vec<Route>>,
    /// Services by name.
    pub services: FastMap<ServiceName, ServiceConfig>,
    /// Keys, if requests need one.
    pub keys: Option<FastMap<String, KeyOwner>>,
    /// Limits of requests.
    pub limits: RequestLimits,
}

impl GatewayConfig {
    /// The same configuration, with the ranks in use noted at each service: those of the routes
    /// to it, and those of customers, whose requests may come on any route.
    #[must_use]
    pub fn with_priorities(mut self) -> Self {
        let keys = self.keys.iter().flat_map(FastMap::values);
        let customers: BTreeSet<u8> = keys.filter_map(|key| key.priority).collect();
        let routes: Vec<&Route> = self.routes.values().flatten().collect();
        for service in self.services.values_mut() {
            let mut ranks = customers.clone();
            for route in &routes {
                if route.services.iter().any(|(name, _)| *name == service.name) {
                    ranks.insert(route.priority);
                }
            }
            service.priorities = ranks.into_iter().collect();
        }
        self
    }

    /// The route of a request: the longest prefix among the routes of its host.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self.routes.get(host)?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }
}
