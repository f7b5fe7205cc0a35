//! Process state: requests and connections in flight, readiness, shutdown and statistics.

use std::cell::Cell;
use std::rc::Rc;

use domain::ServiceName;
use events::metrics::MetricsError;
use policy::admission::CustomerShares;
use serving::{MemberState, ShutdownPlan};

use super::GatewayNode;
use crate::admitted::AdmittedRequest;
use crate::held::FixedHold;
use crate::metrics::NodeStats;
use crate::usage::ConnectionUsage;

/// Counts a request in the process and on its connection until dropped, which happens after the
/// last byte of the response.
#[derive(Debug)]
pub struct RequestGuard {
    node: Rc<GatewayNode>,
    usage: Rc<ConnectionUsage>,
    _head: FixedHold,
    is_placed: Cell<bool>,
}

impl RequestGuard {
    /// Counts a request as in flight in the process and on its connection, and its head as held.
    #[must_use]
    pub fn new(node: &Rc<GatewayNode>, usage: &Rc<ConnectionUsage>, head: FixedHold) -> Self {
        node.begin_request();
        usage.request_started();
        Self {
            node: Rc::clone(node),
            usage: Rc::clone(usage),
            _head: head,
            is_placed: Cell::new(false),
        }
    }

    /// Takes a place among the requests that may run at once; returns whether there was one. Without a bound, requests
    /// that targets do not answer take the memory of the process, and the descriptors that the store and links need.
    #[must_use]
    pub fn take_place(&self) -> bool {
        let has_place = self.is_placed.get() || self.node.take_request_place();
        self.is_placed.set(has_place);
        has_place
    }

    /// Records that the response is complete and only has to be written: the request no longer runs, so its place is
    /// free. Its connection stays in use.
    pub fn response_ready(&self) {
        self.return_place();
        self.usage.response_ready();
    }

    fn return_place(&self) {
        if self.is_placed.take() {
            self.node.return_request_place();
        }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.usage.request_ended(self.node.now());
        self.return_place();
        self.node.end_request();
    }
}

impl GatewayNode {
    /// Whether the node can serve: it has a configuration and the registry, and is not shutting
    /// down.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let known = self.config.borrow().is_some() && self.registry_version.get().is_some();
        known && !self.is_shutting_down()
    }

    /// Whether the shutdown has begun.
    #[must_use]
    pub fn is_shutting_down(&self) -> bool {
        self.shutdown.get().is_some()
    }

    /// Schedule of the shutdown, once it has begun.
    #[must_use]
    pub fn shutdown_plan(&self) -> Option<ShutdownPlan> {
        self.shutdown.get()
    }

    /// Returns all metrics in the text format of Prometheus, with gauges sampled now.
    ///
    /// # Errors
    ///
    /// [`MetricsError::Encoder`] if encoding fails.
    pub fn metrics_text(&self) -> Result<String, MetricsError> {
        self.metrics.encode(&self.stats())
    }

    /// Samples the gauges from the node's current state.
    #[must_use]
    pub fn stats(&self) -> NodeStats {
        let registry = self.registry.borrow();
        let (barred_sets, suspect_features) = self.crashes.verdict_counts();
        let (limited_targets, held_turns) = self.limit_counts();
        let (backing_off_targets, draining_targets) = self.statement_counts();
        let (evacuated_domains, evacuated_requests) = self.evacuation_counts();
        let (held_bytes, most_held_bytes) = self.held.totals();
        let mut stats = NodeStats {
            evacuated_domains,
            evacuated_requests,
            held_bytes,
            most_held_bytes,
            limited_targets,
            held_turns,
            backing_off_targets,
            draining_targets,
            cold_targets: self.cold_count(),
            config_revision: self.config().map_or(0, |config| config.revision.0),
            config_age: self.feed.config_age(self.now()),
            registry_age: self.registry_age(),
            suspected_targets: self.suspicions.borrow().len(),
            live_nodes: self.live_nodes.borrow().len(),
            running_requests: self.running_requests(),
            open_connections: self.open_connections(),
            served_tunnels: self.tunnels.served(),
            lost_paths: self.paths.borrow().lost_count(),
            is_partitioned: self.is_partitioned(),
            barred_sets,
            suspect_features,
            dropped_lines: self.sink.dropped(),
            dropped_kinds: self.sink.dropped_kinds().collect(),
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

    /// Records the arrival of a request, regardless of its outcome.
    pub fn record_arrival(&self, request: &AdmittedRequest) {
        let now = self.now();
        let service = &request.service;
        let budget_now = self.boot_now();
        self.with_retry_budget(service, |budget| budget.record_request(budget_now));
        self.record_demand(request);
        let Some(customer) = &request.customer else {
            return;
        };
        self.with_customer_shares(service, |shares| shares.record_arrival(customer, now));
    }

    /// Whether the request's customer uses more than its share of the service.
    #[must_use]
    pub fn is_over_share(&self, request: &AdmittedRequest) -> bool {
        let now = self.now();
        let Some(customer) = &request.customer else {
            return false;
        };
        self.with_customer_shares(&request.service, |shares| {
            shares.is_over_share(customer, now)
        })
    }

    /// Calls `access` with the customers' usage of a service.
    pub fn with_customer_shares<R>(
        &self,
        service: &ServiceName,
        access: impl FnOnce(&mut CustomerShares) -> R,
    ) -> R {
        let mut shares = self.customer_shares.borrow_mut();
        access(shares.entry(service.clone()).or_default())
    }

    /// Begins the shutdown and returns its schedule, which follows from the configured stop grace.
    pub fn begin_shutdown(&self) -> ShutdownPlan {
        let plan = ShutdownPlan::new(self.now(), self.settings.bounds.stop_grace());
        self.shutdown.set(Some(plan));
        plan
    }

    /// Stops accepting client connections; open ones are not closed.
    pub fn stop_accepting(&self) {
        self.accepting.close();
    }

    /// Completes once [`GatewayNode::stop_accepting`] was called.
    pub async fn accepting_stopped(&self) {
        // A semaphore without permits completes only when closed.
        drop(self.accepting.acquire().await);
    }

    /// Gives up the requests that still run; their clients get an answer.
    pub fn give_up_requests(&self) {
        self.serving.close();
    }

    /// Completes once [`GatewayNode::give_up_requests`] was called.
    pub async fn requests_given_up(&self) {
        // A semaphore without permits completes only when closed.
        drop(self.serving.acquire().await);
    }

    pub(super) fn begin_request(&self) {
        self.has_seen_request.set(true);
        self.running_requests.set(self.running_requests.get() + 1);
    }

    pub(super) fn end_request(&self) {
        self.running_requests
            .set(self.running_requests.get().saturating_sub(1));
        self.activity_ended.notify_waiters();
    }

    fn take_request_place(&self) -> bool {
        let placed = self.placed_requests.get();
        if placed >= self.max_requests {
            self.metrics.record_unplaced("request");
            return false;
        }
        self.placed_requests.set(placed + 1);
        true
    }

    fn return_request_place(&self) {
        self.placed_requests
            .set(self.placed_requests.get().saturating_sub(1));
    }

    /// Number of requests in flight, including those whose response is still being sent.
    #[must_use]
    pub fn running_requests(&self) -> usize {
        self.running_requests.get()
    }

    /// Records an accepted client connection.
    pub fn begin_connection(&self) {
        self.open_connections.set(self.open_connections.get() + 1);
    }

    /// Records a closed client connection and wakes the tasks that wait for the last one.
    pub fn end_connection(&self) {
        self.open_connections
            .set(self.open_connections.get().saturating_sub(1));
        self.activity_ended.notify_waiters();
    }

    /// Number of accepted client connections that are still open, including idle ones.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.open_connections.get()
    }

    /// Whether the system starts for the first time and no request has arrived yet.
    #[must_use]
    pub fn is_bootstrapping(&self) -> bool {
        self.settings.first_start && !self.has_seen_request.get()
    }
}
