//! The process itself: requests and connections in progress, readiness, the stop, figures.

use std::rc::Rc;

use domain::ServiceName;
use events::metrics::MetricsError;
use policy::admission::CustomerShares;
use serving::{MemberState, ShutdownPlan};

use super::GatewayNode;
use crate::admitted::AdmittedRequest;
use crate::metrics::NodeStats;
use crate::usage::ConnectionUsage;

/// Counts a request in its process and on its connection until it is dropped, with its answer's last
/// byte.
#[derive(Debug)]
pub struct RunningRequest {
    node: Rc<GatewayNode>,
    usage: Rc<ConnectionUsage>,
}

impl RunningRequest {
    /// Counts a request.
    #[must_use]
    pub fn new(node: &Rc<GatewayNode>, usage: &Rc<ConnectionUsage>) -> Self {
        node.begin_request();
        usage.request_started();
        Self {
            node: Rc::clone(node),
            usage: Rc::clone(usage),
        }
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.usage.request_ended(self.node.now());
        self.node.end_request();
    }
}

impl GatewayNode {
    /// Whether the node can serve: it knows a configuration and the targets, and does not stop.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let known = self.config.borrow().is_some() && self.registry_version.get().is_some();
        known && !self.is_stopping()
    }

    /// Whether the process stops.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping.get().is_some()
    }

    /// The course of the stop, once it has begun.
    #[must_use]
    pub fn stop_plan(&self) -> Option<ShutdownPlan> {
        self.stopping.get()
    }

    /// Metrics as text.
    ///
    /// # Errors
    ///
    /// [`MetricsError::Encoder`].
    pub fn metrics_text(&self) -> Result<String, MetricsError> {
        self.metrics.encode(&self.stats())
    }

    /// The figures of this moment.
    #[must_use]
    pub fn stats(&self) -> NodeStats {
        let registry = self.registry.borrow();
        let mut stats = NodeStats {
            config_revision: self.config().map_or(0, |config| config.revision.0),
            registry_age: self.registry_age(),
            suspected_targets: self.suspicions.borrow().len(),
            live_nodes: self.nodes.borrow().len(),
            running_requests: self.running(),
            open_connections: self.connections(),
            dropped_lines: self.sink.dropped(),
            retries_left: self.retries_left(),
            ..NodeStats::default()
        };
        let mut serving_hosts = 0;
        for replica in registry.replicas() {
            let lost = self.has_suspected_member(replica);
            if replica.head_state == Some(MemberState::Open) && !lost {
                stats.serving_replicas += 1;
                serving_hosts += replica.members.len();
                continue;
            }
            stats.idle_replicas += 1;
            match replica.head_state {
                _ if lost => stats.broken_replicas += 1,
                Some(MemberState::Joining | MemberState::Ready) => stats.forming_replicas += 1,
                Some(MemberState::Closing) => stats.closing_replicas += 1,
                Some(MemberState::Broken | MemberState::Open) | None => {
                    stats.broken_replicas += 1;
                }
            }
        }
        let hosts = registry.targets().filter(|entry| entry.fabric.is_some());
        stats.stranded_hosts = hosts.count().saturating_sub(serving_hosts);
        stats
    }

    /// Notes that a request arrived, whatever becomes of it.
    pub fn note_arrival(&self, request: &AdmittedRequest) {
        let now = self.now();
        let service = &request.service;
        self.with_budget(service, |budget| budget.record_request(now));
        let Some(customer) = &request.customer else {
            return;
        };
        self.with_shares(service, |shares| shares.record_arrival(customer, now));
    }

    /// Whether a request's customer uses more than its share of the service.
    #[must_use]
    pub fn is_over_share(&self, request: &AdmittedRequest) -> bool {
        let now = self.now();
        let Some(customer) = &request.customer else {
            return false;
        };
        self.with_shares(&request.service, |shares| {
            shares.is_over_share(customer, now)
        })
    }

    /// Uses what the customers use of a service.
    pub fn with_shares<R>(
        &self,
        service: &ServiceName,
        use_them: impl FnOnce(&mut CustomerShares) -> R,
    ) -> R {
        let mut shares = self.shares.borrow_mut();
        use_them(shares.entry(service.clone()).or_default())
    }

    /// Repeats that may be made now, at the service that has the fewest left; 0 before the first
    /// request.
    fn retries_left(&self) -> f64 {
        let (now, nodes) = (self.now(), self.node_count());
        let mut budgets = self.budgets.borrow_mut();
        let left = budgets
            .values_mut()
            .map(|budget| budget.remaining(now, nodes));
        left.reduce(f64::min).unwrap_or(0.0)
    }

    /// Begins to stop.
    pub fn stop(&self) -> ShutdownPlan {
        let plan = ShutdownPlan::new(self.now(), self.settings.bounds.stop_grace());
        self.stopping.set(Some(plan));
        plan
    }

    /// Takes no more connections.
    pub fn stop_accepting(&self) {
        self.accepting.close();
    }

    /// Completes once no more connections are taken.
    pub async fn accepting_stopped(&self) {
        // A semaphore without permits only ever answers that it was closed.
        drop(self.accepting.acquire().await);
    }

    pub(super) fn begin_request(&self) {
        self.seen_request.set(true);
        self.running.set(self.running.get() + 1);
    }

    pub(super) fn end_request(&self) {
        self.running.set(self.running.get().saturating_sub(1));
        self.ended.notify_waiters();
    }

    /// Requests that run in this process.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.get()
    }

    /// Counts a caller's connection.
    pub fn begin_connection(&self) {
        self.connections.set(self.connections.get() + 1);
    }

    /// Counts the end of a caller's connection.
    pub fn end_connection(&self) {
        self.connections
            .set(self.connections.get().saturating_sub(1));
        self.ended.notify_waiters();
    }

    /// Callers' connections.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.connections.get()
    }

    /// Whether the whole system starts and nobody has asked for anything yet.
    #[must_use]
    pub fn is_lead_time(&self) -> bool {
        self.settings.first_start && !self.seen_request.get()
    }
}
