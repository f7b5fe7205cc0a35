//! Counters, histograms and gauges of a gateway, exported as text.
//!
//! Labels are limited to kinds, services and outcomes, which have few values. Routes, customers and
//! targets are not used as labels: a configuration may define hundreds of them, and each would
//! create a permanent time series.

use std::time::Duration;

use events::EventCode;
use events::metrics::{MetricsError, build_exporter, encode_registry};
use http::StatusCode;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider as _};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Registry;
use serving::answer_proof::ProofGap;
use serving::{RouteKind, SendBarrier};

use crate::refusal::RefusalMaker;

/// Histogram buckets for durations, in seconds: from the response to an order up to the longest
/// request.
const DURATION_BUCKETS: [f64; 14] = [
    0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0,
];

/// Metric labels of a request.
#[derive(Debug, Clone, Copy)]
pub struct RequestLabels<'a> {
    /// Kind of the matched route.
    pub kind: RouteKind,
    /// Name of the service that the request is sent to.
    pub service: &'a str,
}

impl RequestLabels<'_> {
    fn key_values(self) -> [KeyValue; 2] {
        let kind = match self.kind {
            RouteKind::Idempotent => "idempotent",
            RouteKind::NonIdempotent => "non_idempotent",
            RouteKind::Streaming { .. } => "streaming",
        };
        [
            KeyValue::new("kind", kind),
            KeyValue::new("service", self.service.to_owned()),
        ]
    }
}

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

/// Metric instruments of a gateway.
#[derive(Debug)]
pub struct GatewayMetrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    attempts: Counter<u64>,
    retries: Counter<u64>,
    duration: Histogram<f64>,
    first_event: Histogram<f64>,
    time_to_first_send: Histogram<f64>,
    order_duration: Histogram<f64>,
    store_call_duration: Histogram<f64>,
    links_refused: Counter<u64>,
    crashes: Counter<u64>,
    blocked: Counter<u64>,
    tunnels: Counter<u64>,
    statements: Counter<u64>,
    barred_sends: Counter<u64>,
    slow_cuts: Counter<u64>,
    late_requests: Counter<u64>,
    refusals: Counter<u64>,
    unproved: Counter<u64>,
    dropped_kinds: Gauge<f64>,
    stranded_time: Counter<f64>,
    downtime: Counter<f64>,
    gauges: [(Gauge<f64>, ReadStat); 29],
}

type ReadStat = fn(&NodeStats) -> f64;

impl GatewayMetrics {
    /// Creates the instruments with their own registry.
    ///
    /// # Errors
    ///
    /// [`MetricsError::Exporter`] if the exporter can't be created.
    pub fn new() -> Result<Self, MetricsError> {
        let (registry, provider) = build_exporter()?;
        let meter = provider.meter("bramleyspring");
        let counter = |name| meter.u64_counter(name).build();
        let seconds_counter = |name| meter.f64_counter(name).with_unit("s").build();
        Ok(Self {
            requests: counter("bramleyspring.gateway.request.count"),
            attempts: counter("bramleyspring.gateway.attempt.count"),
            retries: counter("bramleyspring.gateway.repeat.count"),
            duration: duration_histogram(&meter, "bramleyspring.gateway.request.duration"),
            first_event: duration_histogram(&meter, "bramleyspring.gateway.request.first_event"),
            time_to_first_send: duration_histogram(&meter, "bramleyspring.gateway.request.held"),
            order_duration: duration_histogram(&meter, "bramleyspring.gateway.order.duration"),
            store_call_duration: duration_histogram(
                &meter,
                "bramleyspring.gateway.store_call.duration",
            ),
            links_refused: counter("bramleyspring.gateway.link.refused"),
            crashes: counter("bramleyspring.gateway.crash.seen"),
            blocked: counter("bramleyspring.gateway.crash.blocked_request"),
            tunnels: counter("bramleyspring.gateway.tunnel.count"),
            statements: counter("bramleyspring.gateway.statement.count"),
            barred_sends: counter("bramleyspring.gateway.send.barred"),
            slow_cuts: counter("bramleyspring.gateway.held.cut"),
            late_requests: counter("bramleyspring.gateway.late.count"),
            refusals: counter("bramleyspring.gateway.refusal.count"),
            unproved: counter("bramleyspring.gateway.response.unproved"),
            dropped_kinds: meter
                .f64_gauge("bramleyspring.gateway.log.dropped_kind")
                .build(),
            stranded_time: seconds_counter("bramleyspring.gateway.host.stranded_time"),
            downtime: seconds_counter("bramleyspring.gateway.replica.downtime"),
            gauges: gauges(&meter),
            registry,
            _provider: provider,
        })
    }

    /// Records the end of a request, with the status sent to the client.
    pub fn record_request(&self, labels: RequestLabels<'_>, status: StatusCode, took: Duration) {
        let key_values = labels.key_values();
        self.duration.record(took.as_secs_f64(), &key_values);
        let [kind, service] = key_values;
        let status = KeyValue::new("status", i64::from(status.as_u16()));
        self.requests.add(1, &[kind, service, status]);
    }

    /// Records the time until the first event of a stream was passed on.
    pub fn record_first_event(&self, labels: RequestLabels<'_>, after: Duration) {
        self.first_event
            .record(after.as_secs_f64(), &labels.key_values());
    }

    /// Records the time until a request was first sent to a target.
    pub fn record_first_send(&self, labels: RequestLabels<'_>, held: Duration) {
        self.time_to_first_send
            .record(held.as_secs_f64(), &labels.key_values());
    }

    /// Counts an attempt by service and outcome.
    pub fn record_attempt(&self, service: &str, outcome: &'static str) {
        let labels = [
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("outcome", outcome),
        ];
        self.attempts.add(1, &labels);
    }

    /// Counts what the retry budget of a service decided: `taken`, `denied`, or `free` for an attempt that
    /// needs nothing from it.
    pub fn record_retry(&self, service: &str, outcome: &'static str) {
        let labels = [
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("outcome", outcome),
        ];
        self.retries.add(1, &labels);
    }

    /// Records an order that was settled or given up.
    pub fn record_order(&self, order: &'static str, outcome: &'static str, took: Duration) {
        let labels = [
            KeyValue::new("order", order),
            KeyValue::new("outcome", outcome),
        ];
        self.order_duration.record(took.as_secs_f64(), &labels);
    }

    /// Records a call to the store; for a long poll, `took` includes the wait.
    pub fn record_store_call(&self, table: &'static str, outcome: &'static str, took: Duration) {
        let labels = [
            KeyValue::new("table", table),
            KeyValue::new("outcome", outcome),
        ];
        self.store_call_duration.record(took.as_secs_f64(), &labels);
    }

    /// Counts a refused link of another node.
    pub fn record_link_refused(&self) {
        self.links_refused.add(1, &[]);
    }

    /// Counts a crash of a target that this node has seen.
    pub fn record_crash(&self) {
        self.crashes.add(1, &[]);
    }

    /// Counts a request that is sent to no target because such requests crash them.
    pub fn record_blocked(&self, labels: RequestLabels<'_>) {
        self.blocked.add(1, &labels.key_values());
    }

    /// Counts a request to other nodes to connect to a target, by what they answered.
    pub fn record_tunnel(&self, outcome: &'static str) {
        self.tunnels.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts what a target stated of itself: `backoff` or `drain`.
    pub fn record_statement(&self, kind: &'static str) {
        self.statements.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Counts what was not sent to a target that had been chosen, because of what it states.
    pub fn record_barred_send(&self, barrier: SendBarrier) {
        let reason = match barrier {
            SendBarrier::Backoff { .. } => "backoff",
            SendBarrier::Draining => "drain",
            SendBarrier::Limit => "limit",
            SendBarrier::Evacuated => "evacuation",
            SendBarrier::Cold => "cold",
        };
        self.barred_sends.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts what was cut off because the node holds too much: `response`, `request` or `target`.
    pub fn record_slow_cut(&self, kind: &'static str) {
        self.slow_cuts.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Counts a request whose response will be late though its client waits: `admitted` or `rejected`.
    pub fn record_late(&self, service: &str, outcome: &'static str) {
        let labels = [
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("outcome", outcome),
        ];
        self.late_requests.add(1, &labels);
    }

    /// Counts a response that does not show that its target made it.
    pub fn record_unproved(&self, service: &str, gap: ProofGap, status: StatusCode) {
        let labels = [
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("gap", gap.label()),
            KeyValue::new("class", i64::from(status.as_u16() / 100)),
        ];
        self.unproved.add(1, &labels);
    }

    /// Counts a response with a 3xx or 4xx by who made it.
    pub fn record_refusal(&self, maker: RefusalMaker, status: StatusCode) {
        let labels = [
            KeyValue::new("maker", maker.label()),
            KeyValue::new("status", i64::from(status.as_u16())),
        ];
        self.refusals.add(1, &labels);
    }

    /// Adds the time that hosts were stranded and replicas not serving, summed over hosts and
    /// replicas.
    pub fn add_lost_time(&self, stranded: Duration, downtime: Duration) {
        self.stranded_time.add(stranded.as_secs_f64(), &[]);
        self.downtime.add(downtime.as_secs_f64(), &[]);
    }

    /// Returns all metrics as text, with gauges set from `stats`.
    ///
    /// # Errors
    ///
    /// [`MetricsError::Encoder`] if encoding fails.
    pub fn encode(&self, stats: &NodeStats) -> Result<String, MetricsError> {
        for (gauge, read_stat) in &self.gauges {
            gauge.record(read_stat(stats), &[]);
        }
        for (kind, count) in &stats.dropped_kinds {
            let labels = [KeyValue::new("event", kind.name())];
            self.dropped_kinds.record(u64_to_f64(*count), &labels);
        }
        encode_registry(&self.registry)
    }
}

fn gauges(meter: &Meter) -> [(Gauge<f64>, ReadStat); 29] {
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

fn u64_to_f64(value: u64) -> f64 {
    f64::from(u32::try_from(value).unwrap_or(u32::MAX))
}

fn duration_histogram(meter: &Meter, name: &'static str) -> Histogram<f64> {
    meter
        .f64_histogram(name)
        .with_unit("s")
        .with_boundaries(DURATION_BUCKETS.to_vec())
        .build()
}
