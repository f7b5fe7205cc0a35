//! Metrics by `OpenTelemetry`, read as Prometheus text.
//!
//! Labels take only values of closed sets and the names of models, so that the number of series
//! stays bounded however many callers, requests and hosts there are.

use std::collections::HashSet;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

use crate::code::EventCode;

/// Most distinct names in one label; those that come later count as `other`.
pub const MAX_LABEL_NAMES: usize = 64;

/// Bounds of the histograms in seconds: around letter 1's goals of 36 ms and 1.7 s.
const TIME_BOUNDS: [f64; 14] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.036, 0.05, 0.1, 0.2, 0.5, 1.0, 1.7, 5.0, 20.0,
];

/// A figure that is read off a node's state now and then.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NodeGauge {
    /// Revision of the configuration in force.
    ConfigRevision,
    /// Seconds since the head was last confirmed.
    ConfigAge,
    /// Replicas that may be dispatched to.
    WholeReplicas,
    /// Replicas that may not.
    BrokenReplicas,
    /// Hosts that are paid for and serve nothing.
    StrandedHosts,
    /// Accelerator-seconds that stranded hosts cost since the process's start.
    StrandedTime,
    /// Replica-seconds of group downtime since the process's start.
    GroupDowntime,
    /// Requests that wait for a target.
    QueueLength,
    /// Leases that the node holds.
    LeasesHeld,
    /// Entry hosts that the node knows.
    Members,
    /// Bytes that went out over the links to peers since the process's start.
    PeerSent,
    /// Bytes that came in over the links to peers since the process's start.
    PeerReceived,
}

/// Instruments of one node. Cheap to clone.
#[derive(Debug, Clone)]
pub struct NodeMetrics {
    inner: Arc<MetricsInner>,
}

#[derive(Debug)]
struct MetricsInner {
    registry: Registry,
    _provider: SdkMeterProvider,
    events: Counter<u64>,
    first_token: Histogram<f64>,
    token_gap: Histogram<f64>,
    gauges: GaugeSet,
    names: Mutex<HashSet<String>>,
}

#[derive(Debug)]
struct GaugeSet {
    config_revision: Gauge<f64>,
    config_age: Gauge<f64>,
    whole_replicas: Gauge<f64>,
    broken_replicas: Gauge<f64>,
    stranded_hosts: Gauge<f64>,
    stranded_time: Gauge<f64>,
    group_downtime: Gauge<f64>,
    queue_length: Gauge<f64>,
    leases_held: Gauge<f64>,
    members: Gauge<f64>,
    peer_sent: Gauge<f64>,
    peer_received: Gauge<f64>,
}

/// Why metrics can't be set up or read.
#[derive(Debug, thiserror::Error)]
pub enum MetricsError {
    /// The exporter can't be built.
    #[error("the metrics exporter can't be built: {0}")]
    Exporter(String),
    /// The text can't be written.
    #[error("the metrics can't be written: {0}")]
    Encoder(String),
}

/// A registry with a provider whose instruments are read out there.
///
/// # Errors
///
/// [`MetricsError::Exporter`].
pub fn build_exporter() -> Result<(Registry, SdkMeterProvider), MetricsError> {
    let registry = Registry::new();
    let exporter = opentelemetry_prometheus::exporter()
        .with_registry(registry.clone())
        .build()
        .map_err(|error| MetricsError::Exporter(error.to_string()))?;
    let provider = SdkMeterProvider::builder().with_reader(exporter).build();
    Ok((registry, provider))
}

/// What a registry holds, as Prometheus text.
///
/// # Errors
///
/// [`MetricsError::Encoder`].
pub fn encode_registry(registry: &Registry) -> Result<String, MetricsError> {
    TextEncoder::new()
        .encode_to_string(&registry.gather())
        .map_err(|error| MetricsError::Encoder(error.to_string()))
}

impl NodeMetrics {
    /// A set of instruments with a registry of its own.
    ///
    /// # Errors
    ///
    /// [`MetricsError::Exporter`].
    pub fn new() -> Result<Self, MetricsError> {
        let (registry, provider) = build_exporter()?;
        let meter = provider.meter("bramleyspring");
        let inner = MetricsInner {
            registry,
            events: meter
                .u64_counter("bramleyspring.event.count")
                .with_description("Events by their name in the catalogue")
                .build(),
            first_token: time_histogram(
                &meter,
                "bramleyspring.request.first_token.duration",
                "Time from a request's arrival to its first token",
            ),
            token_gap: time_histogram(
                &meter,
                "bramleyspring.request.token_gap.duration",
                "Time between two tokens of one answer",
            ),
            gauges: GaugeSet::new(&meter),
            names: Mutex::new(HashSet::new()),
            _provider: provider,
        };
        Ok(Self {
            inner: Arc::new(inner),
        })
    }

    /// Counts an event.
    pub fn count_event(&self, code: EventCode) {
        self.inner
            .events
            .add(1, &[KeyValue::new("event", code.name())]);
    }

    /// Records the time to a request's first token.
    pub fn record_first_token(&self, model: &str, time: Duration) {
        let labels = [KeyValue::new("model", self.bounded_name(model))];
        self.inner.first_token.record(time.as_secs_f64(), &labels);
    }

    /// Records the time between two tokens.
    pub fn record_token_gap(&self, model: &str, time: Duration) {
        let labels = [KeyValue::new("model", self.bounded_name(model))];
        self.inner.token_gap.record(time.as_secs_f64(), &labels);
    }

    /// Sets a gauge.
    pub fn set_gauge(&self, gauge: NodeGauge, value: f64) {
        self.inner.gauges.get(gauge).record(value, &[]);
    }

    /// The metrics as Prometheus text.
    ///
    /// # Errors
    ///
    /// [`MetricsError::Encoder`].
    pub fn text(&self) -> Result<String, MetricsError> {
        encode_registry(&self.inner.registry)
    }

    fn bounded_name(&self, name: &str) -> String {
        let mut names = self
            .inner
            .names
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if names.contains(name) {
            return name.to_owned();
        }
        if names.len() >= MAX_LABEL_NAMES {
            return "other".to_owned();
        }
        names.insert(name.to_owned());
        name.to_owned()
    }
}

impl GaugeSet {
    fn new(meter: &Meter) -> Self {
        let gauge = |name: &'static str, unit: &'static str, description: &'static str| {
            meter
                .f64_gauge(name)
                .with_unit(unit)
                .with_description(description)
                .build()
        };
        Self {
            config_revision: gauge(
                "bramleyspring.config.revision",
                "{revision}",
                "Revision of the configuration in force",
            ),
            config_age: gauge(
                "bramleyspring.config.age",
                "s",
                "Time since the head was last confirmed",
            ),
            whole_replicas: gauge(
                "bramleyspring.replica.whole",
                "{replica}",
                "Replicas that may be dispatched to",
            ),
            broken_replicas: gauge(
                "bramleyspring.replica.broken",
                "{replica}",
                "Replicas that may not be dispatched to",
            ),
            stranded_hosts: gauge(
                "bramleyspring.host.stranded",
                "{host}",
                "Hosts that are paid for and serve nothing",
            ),
            stranded_time: gauge(
                "bramleyspring.host.stranded_time",
                "s",
                "Time of stranded hosts since the start, summed over hosts",
            ),
            group_downtime: gauge(
                "bramleyspring.replica.downtime",
                "s",
                "Group downtime since the start, summed over replicas",
            ),
            queue_length: gauge(
                "bramleyspring.queue.length",
                "{request}",
                "Requests that wait for a target",
            ),
            leases_held: gauge(
                "bramleyspring.lease.held",
                "{lease}",
                "Leases that the node holds",
            ),
            members: gauge(
                "bramleyspring.member.known",
                "{member}",
                "Entry hosts that the node knows",
            ),
            peer_sent: gauge(
                "bramleyspring.peer.sent",
                "By",
                "Bytes that went out over the links to peers since the start",
            ),
            peer_received: gauge(
                "bramleyspring.peer.received",
                "By",
                "Bytes that came in over the links to peers since the start",
            ),
        }
    }

    fn get(&self, gauge: NodeGauge) -> &Gauge<f64> {
        match gauge {
            NodeGauge::ConfigRevision => &self.config_revision,
            NodeGauge::ConfigAge => &self.config_age,
            NodeGauge::WholeReplicas => &self.whole_replicas,
            NodeGauge::BrokenReplicas => &self.broken_replicas,
            NodeGauge::StrandedHosts => &self.stranded_hosts,
            NodeGauge::StrandedTime => &self.stranded_time,
            NodeGauge::GroupDowntime => &self.group_downtime,
            NodeGauge::QueueLength => &self.queue_length,
            NodeGauge::LeasesHeld => &self.leases_held,
            NodeGauge::Members => &self.members,
            NodeGauge::PeerSent => &self.peer_sent,
            NodeGauge::PeerReceived => &self.peer_received,
        }
    }
}

fn time_histogram(meter: &Meter, name: &'static str, description: &'static str) -> Histogram<f64> {
    meter
        .f64_histogram(name)
        .with_unit("s")
        .with_description(description)
        .with_boundaries(TIME_BOUNDS.to_vec())
        .build()
}
