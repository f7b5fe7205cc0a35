//! Counters, histograms and gauges of a gateway, exported as text.
//!
//! Labels are limited to kinds, services and outcomes, which have few values. Routes, customers and
//! targets are not used as labels: a configuration may define hundreds of them, and each would
//! create a permanent time series.

mod stats;

use std::time::Duration;

use events::metrics::{MetricsError, build_exporter, encode_registry};
use http::StatusCode;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider as _};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Registry;
use serving::answer_proof::ProofGap;
use serving::{RouteKind, SendBarrier};

use self::stats::{ReadStat, gauges, u64_to_f64};
use crate::refusal_maker::RefusalMaker;

pub use self::stats::NodeStats;

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
    restores: Counter<u64>,
    not_taken: Counter<u64>,
    rows_unreadable: Counter<u64>,
    crashes: Counter<u64>,
    blocked: Counter<u64>,
    tunnels: Counter<u64>,
    statements: Counter<u64>,
    barred_sends: Counter<u64>,
    slow_cuts: Counter<u64>,
    displaced: Counter<u64>,
    accept_failures: Counter<u64>,
    late_heads: Counter<u64>,
    unplaced: Counter<u64>,
    missing_sends: Counter<u64>,
    late_requests: Counter<u64>,
    refusals: Counter<u64>,
    unproved: Counter<u64>,
    contradictory: Counter<u64>,
    dropped_kinds: Gauge<f64>,
    stranded_time: Counter<f64>,
    downtime: Counter<f64>,
    gauges: [(Gauge<f64>, ReadStat); 29],
}

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
            restores: counter("bramleyspring.gateway.store.restored"),
            not_taken: counter("bramleyspring.gateway.change.not_taken"),
            rows_unreadable: counter("bramleyspring.gateway.row.unreadable"),
            crashes: counter("bramleyspring.gateway.crash.seen"),
            blocked: counter("bramleyspring.gateway.crash.blocked_request"),
            tunnels: counter("bramleyspring.gateway.tunnel.count"),
            statements: counter("bramleyspring.gateway.statement.count"),
            barred_sends: counter("bramleyspring.gateway.send.barred"),
            slow_cuts: counter("bramleyspring.gateway.held.cut"),
            displaced: counter("bramleyspring.gateway.connection.displaced"),
            accept_failures: counter("bramleyspring.gateway.connection.accept_failed"),
            late_heads: counter("bramleyspring.gateway.head.late"),
            unplaced: counter("bramleyspring.gateway.request.unplaced"),
            missing_sends: counter("bramleyspring.gateway.send.missing_entry"),
            late_requests: counter("bramleyspring.gateway.late.count"),
            refusals: counter("bramleyspring.gateway.refusal.count"),
            unproved: counter("bramleyspring.gateway.response.unproved"),
            contradictory: counter("bramleyspring.gateway.response.contradictory"),
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

    /// Counts a restore of the store from an older copy that this node has seen.
    pub fn record_restore(&self) {
        self.restores.add(1, &[]);
    }

    /// Counts something that was read of a table and not taken.
    pub fn record_not_taken(&self, table: &'static str, reason: &str) {
        let labels = [
            KeyValue::new("table", table),
            KeyValue::new("reason", reason.to_owned()),
        ];
        self.not_taken.add(1, &labels);
    }

    /// Counts rows of a table that can't be decoded.
    pub fn record_rows_unreadable(&self, table: &'static str, count: usize) {
        let count = u64::try_from(count).unwrap_or(u64::MAX);
        let labels = [KeyValue::new("table", table)];
        self.rows_unreadable.add(count, &labels);
    }

    /// Counts a crash of a target that this node has seen.
    pub fn record_crash(&self) {
        self.crashes.add(1, &[]);
    }

    /// Counts a request that is sent to no target because such requests crash them, or may do so as long as
    /// no trial has shown it.
    pub fn record_blocked(&self, labels: RequestLabels<'_>, is_proved: bool) {
        let proof = if is_proved { "trial" } else { "none" };
        let mut labels = Vec::from(labels.key_values());
        labels.push(KeyValue::new("proof", proof));
        self.blocked.add(1, &labels);
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

    /// Counts what was cut off because the node holds too much: `head`, `response`, `request` or `target`.
    pub fn record_slow_cut(&self, kind: &'static str) {
        self.slow_cuts.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Counts a connection that was closed for another one, by its state, or not accepted (`refused`).
    pub fn record_displaced(&self, face: &'static str, state: &'static str) {
        let labels = [KeyValue::new("face", face), KeyValue::new("state", state)];
        self.displaced.add(1, &labels);
    }

    /// Counts a connection that the system could not accept.
    pub fn record_accept_failure(&self, face: &'static str) {
        self.accept_failures.add(1, &[KeyValue::new("face", face)]);
    }

    /// Counts a head that did not come in time.
    pub fn record_late_head(&self) {
        self.late_heads.add(1, &[]);
    }

    /// Counts a `request`, or a request for a `tunnel`, that is rejected since there are as many as may be at once.
    pub fn record_unplaced(&self, kind: &'static str) {
        self.unplaced.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Counts a request that goes to a target whose entry is missing.
    pub fn record_missing_send(&self, service: &str) {
        let label = KeyValue::new("service", service.to_owned());
        self.missing_sends.add(1, &[label]);
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

    /// Counts an answer of a target that ran a request, whose status promises that it has not run.
    pub fn record_contradiction(&self, labels: RequestLabels<'_>, status: StatusCode) {
        let [kind, service] = labels.key_values();
        let status = KeyValue::new("status", i64::from(status.as_u16()));
        self.contradictory.add(1, &[kind, service, status]);
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

fn duration_histogram(meter: &Meter, name: &'static str) -> Histogram<f64> {
    meter
        .f64_histogram(name)
        .with_unit("s")
        .with_boundaries(DURATION_BUCKETS.to_vec())
        .build()
}
