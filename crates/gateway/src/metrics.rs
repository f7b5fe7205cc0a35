//! Counters, histograms and gauges of a gateway, served as text.
//!
//! Labels are kinds, services and outcomes, of which there are few. Routes, customers and targets
//! are no labels: a configuration may bring hundreds of them, and each would be a series for ever.

use std::time::Duration;

use events::metrics::{MetricsError, open_exporter, registry_text};
use http::StatusCode;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider as _};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Registry;
use serving::RouteKind;

/// Bounds of the histograms of times, in seconds: from an order's answer to the longest request.
const TIME_BOUNDS: [f64; 14] = [
    0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0,
];

/// What a request's metrics are filed under.
#[derive(Debug, Clone, Copy)]
pub struct RequestLabels<'a> {
    /// Kind of its route.
    pub kind: RouteKind,
    /// Its service.
    pub service: &'a str,
}

impl RequestLabels<'_> {
    fn pairs(self) -> [KeyValue; 2] {
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

/// A moment of the whole node.
#[derive(Debug, Clone, Copy, Default)]
pub struct NodeFigures {
    /// Revision of the configuration in force.
    pub config_revision: u64,
    /// Time since the store last confirmed the registry.
    pub registry_age: Duration,
    /// Replicas that serve.
    pub serving_replicas: usize,
    /// Replicas that are known and don't serve.
    pub idle_replicas: usize,
    /// Of these: some members still load, or the head was not opened yet.
    pub forming_replicas: usize,
    /// Of these: the head ends its requests.
    pub closing_replicas: usize,
    /// Of these: a member is lost.
    pub broken_replicas: usize,
    /// Repeats that may be made now, at the service that has the fewest left.
    pub repeats_left: f64,
    /// Hosts of model services that serve nothing.
    pub stranded_hosts: usize,
    /// Targets that don't answer.
    pub suspects: usize,
    /// Nodes counted.
    pub nodes: usize,
    /// Requests in progress.
    pub running: usize,
    /// Callers' connections.
    pub connections: usize,
    /// Log lines that were not written.
    pub dropped_lines: u64,
}

/// Metrics of a gateway.
#[derive(Debug)]
pub struct GatewayMetrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    attempts: Counter<u64>,
    duration: Histogram<f64>,
    first_event: Histogram<f64>,
    held: Histogram<f64>,
    orders: Histogram<f64>,
    store_calls: Histogram<f64>,
    stranded_time: Counter<f64>,
    downtime: Counter<f64>,
    gauges: [(Gauge<f64>, NodeFigure); 14],
}

type NodeFigure = fn(&NodeFigures) -> f64;

impl GatewayMetrics {
    /// A set of instruments.
    ///
    /// # Errors
    ///
    /// [`MetricsError::Exporter`].
    pub fn new() -> Result<Self, MetricsError> {
        let (registry, provider) = open_exporter()?;
        let meter = provider.meter("bramleyspring");
        let count = |name| meter.u64_counter(name).build();
        let seconds = |name| meter.f64_counter(name).with_unit("s").build();
        Ok(Self {
            requests: count("bramleyspring.gateway.request.count"),
            attempts: count("bramleyspring.gateway.attempt.count"),
            duration: times(&meter, "bramleyspring.gateway.request.duration"),
            first_event: times(&meter, "bramleyspring.gateway.request.first_event"),
            held: times(&meter, "bramleyspring.gateway.request.held"),
            orders: times(&meter, "bramleyspring.gateway.order.duration"),
            store_calls: times(&meter, "bramleyspring.gateway.store_call.duration"),
            stranded_time: seconds("bramleyspring.gateway.host.stranded_time"),
            downtime: seconds("bramleyspring.gateway.replica.downtime"),
            gauges: gauges(&meter),
            registry,
            _provider: provider,
        })
    }

    /// A request ended, with the status that its caller got.
    pub fn end(&self, labels: RequestLabels<'_>, status: StatusCode, took: Duration) {
        let pairs = labels.pairs();
        self.duration.record(took.as_secs_f64(), &pairs);
        let [kind, service] = pairs;
        let status = KeyValue::new("status", i64::from(status.as_u16()));
        self.requests.add(1, &[kind, service, status]);
    }

    /// The first event of a stream was passed on.
    pub fn first_event(&self, labels: RequestLabels<'_>, after: Duration) {
        self.first_event
            .record(after.as_secs_f64(), &labels.pairs());
    }

    /// A request was sent to its first target.
    pub fn first_send(&self, labels: RequestLabels<'_>, held: Duration) {
        self.held.record(held.as_secs_f64(), &labels.pairs());
    }

    /// An attempt ended.
    pub fn attempt(&self, service: &str, outcome: &'static str) {
        let labels = [
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("outcome", outcome),
        ];
        self.attempts.add(1, &labels);
    }

    /// An order was settled, or given up.
    pub fn order(&self, order: &'static str, outcome: &'static str, took: Duration) {
        let labels = [
            KeyValue::new("order", order),
            KeyValue::new("outcome", outcome),
        ];
        self.orders.record(took.as_secs_f64(), &labels);
    }

    /// A call of the store ended; one that waits for changes takes its wait.
    pub fn store_call(&self, table: &'static str, outcome: &'static str, took: Duration) {
        let labels = [
            KeyValue::new("table", table),
            KeyValue::new("outcome", outcome),
        ];
        self.store_calls.record(took.as_secs_f64(), &labels);
    }

    /// Hosts served nothing, and wanted replicas did not serve, for a while.
    pub fn lost_time(&self, stranded: Duration, downtime: Duration) {
        self.stranded_time.add(stranded.as_secs_f64(), &[]);
        self.downtime.add(downtime.as_secs_f64(), &[]);
    }

    /// The metrics as text, with the figures of this moment.
    ///
    /// # Errors
    ///
    /// [`MetricsError::Encoder`].
    pub fn text(&self, figures: &NodeFigures) -> Result<String, MetricsError> {
        for (gauge, read) in &self.gauges {
            gauge.record(read(figures), &[]);
        }
        registry_text(&self.registry)
    }
}

fn gauges(meter: &Meter) -> [(Gauge<f64>, NodeFigure); 14] {
    let gauge = |name| meter.f64_gauge(name).build();
    [
        (gauge("bramleyspring.gateway.config.revision"), |figures| {
            number(figures.config_revision)
        }),
        (gauge("bramleyspring.gateway.registry.age"), |figures| {
            figures.registry_age.as_secs_f64()
        }),
        (gauge("bramleyspring.gateway.replica.serving"), |figures| {
            count(figures.serving_replicas)
        }),
        (gauge("bramleyspring.gateway.replica.idle"), |figures| {
            count(figures.idle_replicas)
        }),
        (gauge("bramleyspring.gateway.replica.forming"), |figures| {
            count(figures.forming_replicas)
        }),
        (gauge("bramleyspring.gateway.replica.closing"), |figures| {
            count(figures.closing_replicas)
        }),
        (gauge("bramleyspring.gateway.replica.broken"), |figures| {
            count(figures.broken_replicas)
        }),
        (gauge("bramleyspring.gateway.repeat.left"), |figures| {
            figures.repeats_left
        }),
        (gauge("bramleyspring.gateway.host.stranded"), |figures| {
            count(figures.stranded_hosts)
        }),
        (gauge("bramleyspring.gateway.target.suspected"), |figures| {
            count(figures.suspects)
        }),
        (gauge("bramleyspring.gateway.node.counted"), |figures| {
            count(figures.nodes)
        }),
        (gauge("bramleyspring.gateway.request.running"), |figures| {
            count(figures.running)
        }),
        (gauge("bramleyspring.gateway.connection.open"), |figures| {
            count(figures.connections)
        }),
        (gauge("bramleyspring.gateway.log.dropped"), |figures| {
            number(figures.dropped_lines)
        }),
    ]
}

fn count(value: usize) -> f64 {
    f64::from(u32::try_from(value).unwrap_or(u32::MAX))
}

fn number(value: u64) -> f64 {
    f64::from(u32::try_from(value).unwrap_or(u32::MAX))
}

fn times(meter: &Meter, name: &'static str) -> Histogram<f64> {
    meter
        .f64_histogram(name)
        .with_unit("s")
        .with_boundaries(TIME_BOUNDS.to_vec())
        .build()
}
