//! Values that the gauges of a gateway report.

use std::time::Duration;

use events::EventCode;
use opentelemetry::metrics::{Gauge, Meter};

/// Snapshot of the values that the gauges report.
#[derive(Debug, Clone, Default)]
pub struct NodeStats {
    /// Revision of the configuration in force; 0 if there is none.
    pub config_revision: u64,
    /// Time since the store last confirmed the configuration.
    pub config_age: Duration,
    /// Time since the store last confirmed the registry data.
    pub registry_age: Duration,
    /// Replicas that are open and have no suspected member.
    pub serving_replicas: usize,
    /// Replicas that are known but not serving.
    pub idle_replicas: usize,
    /// Idle replicas with members that are still loading, or whose head has not been opened.
    pub forming_replicas: usize,
    /// Idle replicas whose head is finishing its requests.
    pub closing_replicas: usize,
    /// Idle replicas with a lost member or in a broken state.
    pub broken_replicas: usize,
    /// Retries left at the service that has the fewest.
    pub retries_left: f64,
    /// Hosts with a fabric domain that are in no serving replica.
    pub stranded_hosts: usize,
    /// Targets suspected to be down.
    pub suspected_targets: usize,
    /// Live gateway nodes according to heartbeats.
    pub live_nodes: usize,
    /// Client requests in flight.
    pub running_requests: usize,
    /// Open client connections.
    pub open_connections: usize,
    /// Log lines dropped since process start.
    pub dropped_lines: u64,
    /// The same by kind.
    pub dropped_kinds: Vec<(EventCode, u64)>,
    /// Tunnels to targets that the node serves for other nodes.
    pub served_tunnels: usize,
    /// Targets that the node reaches only through other nodes, each by its own evidence.
    pub lost_paths: usize,
    /// Whether the node is partitioned from all targets.
    pub is_partitioned: bool,
    /// Sets of features whose requests are barred.
    pub barred_sets: usize,
    /// Features suspected of crashing targets.
    pub suspect_features: usize,
    /// Targets that state a limit.
    pub limited_targets: usize,
    /// Of those, targets whose turn this node holds.
    pub held_turns: usize,
    /// Targets that want nothing from this node for a time.
    pub backing_off_targets: usize,
    /// Targets that have said to this node that they drain.
    pub draining_targets: usize,
    /// Failure domains that operators evacuate.
    pub evacuated_domains: usize,
    /// Requests of this node that still run there.
    pub evacuated_requests: usize,
    /// Targets that are cold.
    pub cold_targets: usize,
    /// Bytes held for clients that have not taken or sent them completely.
    pub held_bytes: usize,
    /// The most of them held for one client.
    pub most_held_bytes: usize,
}

/// Reads the value of a gauge.
pub(super) type ReadStat = fn(&NodeStats) -> f64;

/// Creates the gauges, each with what it reads.
pub(super) fn gauges(meter: &Meter) -> [(Gauge<f64>, ReadStat); 29] {
    let gauge = |name| meter.f64_gauge(name).build();
    [
        (gauge("bramleyspring.gateway.config.revision"), |stats| {
            u64_to_f64(stats.config_revision)
        }),
        (gauge("bramleyspring.gateway.config.age"), |stats| {
            stats.config_age.as_secs_f64()
        }),
        (gauge("bramleyspring.gateway.registry.age"), |stats| {
            stats.registry_age.as_secs_f64()
        }),
        (gauge("bramleyspring.gateway.replica.serving"), |stats| {
            usize_to_f64(stats.serving_replicas)
        }),
        (gauge("bramleyspring.gateway.replica.idle"), |stats| {
            usize_to_f64(stats.idle_replicas)
        }),
        (gauge("bramleyspring.gateway.replica.forming"), |stats| {
            usize_to_f64(stats.forming_replicas)
        }),
        (gauge("bramleyspring.gateway.replica.closing"), |stats| {
            usize_to_f64(stats.closing_replicas)
        }),
        (gauge("bramleyspring.gateway.replica.broken"), |stats| {
            usize_to_f64(stats.broken_replicas)
        }),
        (gauge("bramleyspring.gateway.repeat.left"), |stats| {
            stats.retries_left
        }),
        (gauge("bramleyspring.gateway.host.stranded"), |stats| {
            usize_to_f64(stats.stranded_hosts)
        }),
        (gauge("bramleyspring.gateway.target.suspected"), |stats| {
            usize_to_f64(stats.suspected_targets)
        }),
        (gauge("bramleyspring.gateway.node.counted"), |stats| {
            usize_to_f64(stats.live_nodes)
        }),
        (gauge("bramleyspring.gateway.request.running"), |stats| {
            usize_to_f64(stats.running_requests)
        }),
        (gauge("bramleyspring.gateway.connection.open"), |stats| {
            usize_to_f64(stats.open_connections)
        }),
        (gauge("bramleyspring.gateway.log.dropped"), |stats| {
            u64_to_f64(stats.dropped_lines)
        }),
        (gauge("bramleyspring.gateway.tunnel.served"), |stats| {
            usize_to_f64(stats.served_tunnels)
        }),
        (gauge("bramleyspring.gateway.path.lost"), |stats| {
            usize_to_f64(stats.lost_paths)
        }),
        (gauge("bramleyspring.gateway.node.partitioned"), |stats| {
            f64::from(u8::from(stats.is_partitioned))
        }),
        (gauge("bramleyspring.gateway.crash.barred"), |stats| {
            usize_to_f64(stats.barred_sets)
        }),
        (gauge("bramleyspring.gateway.crash.suspected"), |stats| {
            usize_to_f64(stats.suspect_features)
        }),
        (gauge("bramleyspring.gateway.limit.known"), |stats| {
            usize_to_f64(stats.limited_targets)
        }),
        (gauge("bramleyspring.gateway.limit.held"), |stats| {
            usize_to_f64(stats.held_turns)
        }),
        (gauge("bramleyspring.gateway.backoff.active"), |stats| {
            usize_to_f64(stats.backing_off_targets)
        }),
        (gauge("bramleyspring.gateway.drain.stated"), |stats| {
            usize_to_f64(stats.draining_targets)
        }),
        (gauge("bramleyspring.gateway.evacuation.active"), |stats| {
            usize_to_f64(stats.evacuated_domains)
        }),
        (gauge("bramleyspring.gateway.evacuation.running"), |stats| {
            usize_to_f64(stats.evacuated_requests)
        }),
        (gauge("bramleyspring.gateway.target.cold"), |stats| {
            usize_to_f64(stats.cold_targets)
        }),
        (gauge("bramleyspring.gateway.held.bytes"), |stats| {
            usize_to_f64(stats.held_bytes)
        }),
        (gauge("bramleyspring.gateway.held.largest"), |stats| {
            usize_to_f64(stats.most_held_bytes)
        }),
    ]
}

fn usize_to_f64(value: usize) -> f64 {
    f64::from(u32::try_from(value).unwrap_or(u32::MAX))
}

pub(super) fn u64_to_f64(value: u64) -> f64 {
    f64::from(u32::try_from(value).unwrap_or(u32::MAX))
}
