//! `OpenTelemetry` metrics, exported in the Prometheus text format.
//!
//! Label values are enum values or model names only, so that the number of time series is bounded,
//! independent of the number of clients, requests and hosts.

use std::collections::HashSet;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

use crate::code::EventCode;

/// Maximum number of distinct model names used as label values. Further names are reported as
/// `other`.
pub const MAX_LABEL_VALUES: usize = 64;

/// Histogram bucket boundaries in seconds. They include the latency objectives of 36 ms between
/// tokens and 1.7 s to the first token.
const BUCKET_BOUNDARIES: [f64; 14] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.036, 0.05, 0.1, 0.2, 0.5, 1.0, 1.7, 5.0, 20.0,
];

/// A gauge that is sampled periodically from a node's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NodeGauge {
    /// Configuration revision in force.
    ConfigRevision,
    /// Time in seconds since the head revision was last confirmed.
    ConfigAge,
    /// Number of replicas to which the node may dispatch.
    WholeReplicas,
    /// Number of replicas to which the node may not dispatch.
    BrokenReplicas,
    /// Number of hosts that are provisioned but serve nothing.
    StrandedHosts,
    /// Time of stranded hosts since the start of the process, in seconds summed over hosts.
    StrandedTime,
    /// Downtime of replicas since the start of the process, in seconds summed over replicas.
    GroupDowntime,
    /// Number of requests that wait for a target.
    QueueLength,
    /// Number of leases that the node holds.
    LeasesHeld,
    /// Number of entry nodes known to the node.
    Members,
    /// Number of bytes sent to peers since the start of the process.
    PeerSent,
    /// Number of bytes received from peers since the start of the process.
    PeerReceived,
}

/// Metric instruments of a node. Cheap to clone; clones share the instruments.
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
    label_values: Mutex<HashSet<String>>,
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

/// Why metrics can't be initialized or exported.
#[derive(Debug, thiserror::Error)]
pub enum MetricsError {
    /// The Prometheus exporter can't be created.
    #[error("failed to create the metrics exporter: {0}")]
    Exporter(String),
    /// The metrics can't be encoded as text.
    #[error("failed to encode the metrics: {0}")]
    Encoder(String),
}

/// Creates a meter provider and the registry to which its instruments are exported.
///
/// # Errors
///
/// [`MetricsError::Exporter`] if the exporter can't be created.
pub fn build_exporter() -> Result<(Registry, SdkMeterProvider), MetricsError> {
    let registry = Registry::new();
    let exporter = opentelemetry_prometheus::exporter()
        .with_registry(registry.clone())
        .build()
        .map_err(|error| MetricsError::Exporter(error.to_string()))?;
    let provider = SdkMeterProvider::builder().with_reader(exporter).build();
    Ok((registry, provider))
}

/// Encodes the metrics of a registry in the Prometheus text format.
///
/// # Errors
///
/// [`MetricsError::Encoder`] if encoding fails.
pub fn encode_registry(registry: &Registry) -> Result<String, MetricsError> {
    TextEncoder::new()
        .encode_to_string(&registry.gather())
        .map_err(|error| MetricsError::Encoder(error.to_string()))
}

impl NodeMetrics {
    /// Creates the instruments with their own registry.
    ///
    /// # Errors
    ///
    /// [`MetricsError::Exporter`] if the exporter can't be created.
    pub fn new() -> Result<Self, MetricsError> {
        let (registry, provider) = build_exporter()?;
        let meter = provider.meter("bramleyspring");
        let inner = MetricsInner {
            registry,
            events: meter
                .u64_counter("bramleyspring.event.count")
                .with_description("Events by their name in the catalogue")
                .build(),
            first_token: duration_histogram(
                &meter,
                "bramleyspring.request.first_token.duration",
                "Time from a request's arrival to its first token",
            ),
            token_gap: duration_histogram(
                &meter,
                "bramleyspring.request.token_gap.duration",
                "Time between two tokens of one answer",
            ),
            gauges: GaugeSet::new(&meter),
            label_values: Mutex::new(HashSet::new()),
            _provider: provider,
        };
        Ok(Self {
            inner: Arc::new(inner),
        })
    }

    /// Increments the event counter, labelled with the stable name of the kind.
    pub fn count_event(&self, code: EventCode) {
        self.inner
            .events
            .add(1, &[KeyValue::new("event", code.name())]);
    }

    /// Records the time to first token of a request, labelled with the model; see
    /// [`MAX_LABEL_VALUES`].
    pub fn record_first_token(&self, model: &str, time: Duration) {
        let labels = [KeyValue::new("model", self.label_value(model))];
        self.inner.first_token.record(time.as_secs_f64(), &labels);
    }

    /// Records the time between two consecutive tokens of a response, labelled with the model; see
    /// [`MAX_LABEL_VALUES`].
    pub fn record_token_gap(&self, model: &str, time: Duration) {
        let labels = [KeyValue::new("model", self.label_value(model))];
        self.inner.token_gap.record(time.as_secs_f64(), &labels);
    }

    /// Sets a gauge to a value in the unit of its [`NodeGauge`] variant.
    pub fn set_gauge(&self, gauge: NodeGauge, value: f64) {
        self.inner.gauges.get(gauge).record(value, &[]);
    }

    /// Encodes the metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// [`MetricsError::Encoder`] if encoding fails.
    pub fn text(&self) -> Result<String, MetricsError> {
        encode_registry(&self.inner.registry)
    }

    fn label_value(&self, name: &str) -> String {
        let mut label_values = self
            .inner
            .label_values
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if label_values.contains(name) {
            return name.to_owned();
        }
        if label_values.len() >= MAX_LABEL_VALUES {
            return "other".to_owned();
        }
        label_values.insert(name.to_owned());
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

fn duration_histogram(
    meter: &Meter,
    name: &'static str,
    description: &'static str,
) -> Histogram<f64> {
    meter
        .f64_histogram(name)
        .with_unit("s")
        .with_description(description)
        .with_boundaries(BUCKET_BOUNDARIES.to_vec())
        .build()
}
