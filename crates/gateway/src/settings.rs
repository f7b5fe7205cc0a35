//! Gateway settings file, in JSON.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use domain::{DomainId, FastMap, FindingList, NodeId, RegionId};
use eyre::WrapErr;
use intake::ConnectionLimits;
use serde::Deserialize;
use serde_json::Value;
use serving::ColdBound;
use serving::regions::RegionMap;
use serving::retry_budget::RetryLimits;

/// Settings that a gateway reads once at startup.
#[derive(Debug, Clone, Deserialize)]
pub struct GatewaySettings {
    /// Name of this gateway node, unique among all nodes.
    pub node: NodeId,
    /// Failure domain of the host that the gateway runs on.
    pub failure_domain: DomainId,
    /// Listen addresses.
    pub listen: ListenSettings,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Whether the whole system starts for the first time. Until the first request, replicas may
    /// then be formed without the limits that protect traffic.
    pub first_start: bool,
    /// Limits set by the platform.
    pub bounds: BoundSettings,
    /// Memory of the process in MB, beyond which the platform ends it. If absent, what the node holds for
    /// slow readers is not bounded.
    #[serde(default)]
    pub memory_mb: Option<f64>,
    /// Descriptors that the platform lets the process have open. If absent, what the system tells.
    #[serde(default)]
    pub descriptors: Option<usize>,
    /// Client connections that are kept at once. If absent, as many as the descriptors and the memory bear.
    #[serde(default)]
    pub max_connections: Option<usize>,
    /// Requests that run at once. If absent, as many as the descriptors and the memory bear.
    #[serde(default)]
    pub max_requests: Option<usize>,
    /// Region of this node. If absent, it is that of its failure domain.
    #[serde(default)]
    pub region: Option<RegionId>,
    /// Region of each failure domain. One that is not listed is in none.
    #[serde(default)]
    pub regions: Option<FastMap<DomainId, RegionId>>,
}

/// Listen addresses; port 0 lets the system choose a port.
#[derive(Debug, Clone, Copy, Deserialize)]
pub struct ListenSettings {
    /// Client requests.
    pub requests: SocketAddr,
    /// Readiness checks of the load balancer.
    pub readiness: SocketAddr,
    /// Metrics in text format.
    pub metrics: SocketAddr,
    /// Load hints from other nodes, as UDP datagrams. If absent, none are sent or received.
    #[serde(default)]
    pub hints: Option<SocketAddr>,
    /// Links of other nodes of the failure domain, over which nodes pass on changes of the store.
    /// If absent, the node follows no other and none follows it.
    #[serde(default)]
    pub links: Option<SocketAddr>,
}

/// Milliseconds per second.
const MILLIS_PER_S: f64 = 1000.0;

/// Limits set by the platform.
#[derive(Debug, Clone, Copy, Deserialize)]
pub struct BoundSettings {
    /// Time between SIGTERM and SIGKILL, in seconds.
    pub stop_grace_s: f64,
    /// Retries allowed per request, as a ratio.
    pub repeat_ratio: f64,
    /// Window over which retries are counted, in seconds.
    pub repeat_window_s: f64,
    /// Additional retries allowed per window, shared by all nodes.
    pub repeat_extra: f64,
    /// Window over which loads of model weights are counted, in seconds.
    pub load_window_s: f64,
    /// Whether engines check fencing tokens.
    pub fencing: bool,
    /// Time after its confirmation within which a configuration is in force everywhere, in milliseconds.
    pub config_ms: f64,
    /// Time after its report within which a draining target gets no new requests, in milliseconds.
    pub drain_ms: f64,
    /// Factor on the rate that cold targets state, up to which they bear requests. If absent, cold targets
    /// are not limited.
    #[serde(default)]
    pub cold_overage: Option<f64>,
    /// Requests in any second that cold targets bear besides.
    #[serde(default)]
    pub cold_slack: Option<f64>,
    /// Time after the confirmation of an evacuation within which the failure domain gets no new requests, in
    /// milliseconds.
    #[serde(default)]
    pub evacuate_ms: Option<f64>,
}

impl BoundSettings {
    /// Limits of the retry budget.
    #[must_use]
    pub fn retry_limits(&self) -> RetryLimits {
        RetryLimits {
            window: duration_from_secs(self.repeat_window_s),
            ratio: self.repeat_ratio,
            extra: self.repeat_extra,
        }
    }

    /// Window over which loads of model weights are counted.
    #[must_use]
    pub fn load_window(&self) -> Duration {
        duration_from_secs(self.load_window_s)
    }

    /// Time after its confirmation within which a configuration is in force everywhere.
    #[must_use]
    pub fn config_bound(&self) -> Duration {
        duration_from_secs(self.config_ms / MILLIS_PER_S)
    }

    /// Time after its confirmation within which a change of the table with the configuration must be known: a
    /// configuration, or an evacuation if its bound is shorter.
    #[must_use]
    pub fn config_table_bound(&self) -> Duration {
        let config = self.config_bound();
        self.evacuation_bound()
            .map_or(config, |evacuation| evacuation.min(config))
    }

    /// Time after the confirmation of an evacuation within which the failure domain gets no new requests; `None` if the
    /// settings state none.
    #[must_use]
    pub fn evacuation_bound(&self) -> Option<Duration> {
        let millis = self.evacuate_ms?;
        Some(duration_from_secs(millis / MILLIS_PER_S))
    }

    /// Time after its report within which a draining target gets no new requests.
    #[must_use]
    pub fn drain_bound(&self) -> Duration {
        duration_from_secs(self.drain_ms / MILLIS_PER_S)
    }

    /// What cold targets bear beyond their rate; `None` if they are not limited.
    #[must_use]
    pub fn cold_bound(&self) -> Option<ColdBound> {
        Some(ColdBound {
            overage: self.cold_overage?,
            slack: self.cold_slack.unwrap_or(0.0),
        })
    }

    /// Time between SIGTERM and SIGKILL.
    #[must_use]
    pub fn stop_grace(&self) -> Duration {
        duration_from_secs(self.stop_grace_s)
    }
}

fn duration_from_secs(value: f64) -> Duration {
    Duration::try_from_secs_f64(value).unwrap_or_default()
}

/// Type that a setting's value must have.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SettingKind {
    Name,
    OptionalName,
    OptionalNameTable,
    Address,
    OptionalAddress,
    NonNegative,
    Positive,
    OptionalNonNegative,
    OptionalPositive,
    OptionalCount,
    Flag,
}

/// All settings with their types, for validation.
const FIELDS: [(&str, SettingKind); 26] = [
    ("node", SettingKind::Name),
    ("failure_domain", SettingKind::Name),
    ("listen.requests", SettingKind::Address),
    ("listen.readiness", SettingKind::Address),
    ("listen.metrics", SettingKind::Address),
    ("listen.hints", SettingKind::OptionalAddress),
    ("listen.links", SettingKind::OptionalAddress),
    ("store", SettingKind::Address),
    ("first_start", SettingKind::Flag),
    ("bounds.stop_grace_s", SettingKind::NonNegative),
    ("bounds.repeat_ratio", SettingKind::NonNegative),
    ("bounds.repeat_window_s", SettingKind::NonNegative),
    ("bounds.repeat_extra", SettingKind::NonNegative),
    ("bounds.load_window_s", SettingKind::NonNegative),
    ("bounds.fencing", SettingKind::Flag),
    ("bounds.config_ms", SettingKind::Positive),
    ("bounds.drain_ms", SettingKind::Positive),
    ("bounds.cold_overage", SettingKind::OptionalPositive),
    ("bounds.cold_slack", SettingKind::OptionalNonNegative),
    ("bounds.evacuate_ms", SettingKind::OptionalPositive),
    ("memory_mb", SettingKind::OptionalPositive),
    ("descriptors", SettingKind::OptionalCount),
    ("max_connections", SettingKind::OptionalCount),
    ("max_requests", SettingKind::OptionalCount),
    ("region", SettingKind::OptionalName),
    ("regions", SettingKind::OptionalNameTable),
];

fn is_name(text: &str) -> bool {
    text.parse::<NodeId>().is_ok()
}

impl SettingKind {
    fn accepts(self, value: &Value) -> bool {
        match self {
            Self::Name | Self::OptionalName => value.as_str().is_some_and(is_name),
            Self::OptionalNameTable => value.as_object().is_some_and(|table| {
                let mut entries = table.iter();
                entries.all(|(key, value)| is_name(key) && value.as_str().is_some_and(is_name))
            }),
            Self::Address | Self::OptionalAddress => value
                .as_str()
                .is_some_and(|address| address.parse::<SocketAddr>().is_ok()),
            Self::NonNegative | Self::OptionalNonNegative => {
                value.as_f64().is_some_and(|number| number >= 0.0)
            }
            Self::Positive | Self::OptionalPositive => {
                value.as_f64().is_some_and(|number| number > 0.0)
            }
            Self::OptionalCount => value.as_u64().is_some_and(|number| number > 0),
            Self::Flag => value.is_boolean(),
        }
    }

    fn is_optional(self) -> bool {
        matches!(
            self,
            Self::OptionalName
                | Self::OptionalNameTable
                | Self::OptionalAddress
                | Self::OptionalNonNegative
                | Self::OptionalPositive
                | Self::OptionalCount
        )
    }

    fn expected(self) -> &'static str {
        match self {
            Self::OptionalNameTable => "a table with names as keys and values",
            Self::Name | Self::OptionalName => "a string of letters, digits, '.', '_', ':' and '-'",
            Self::Address | Self::OptionalAddress => {
                "an address with its port, such as \"10.1.0.40:8227\""
            }
            Self::NonNegative | Self::OptionalNonNegative => "a number that is not negative",
            Self::Positive | Self::OptionalPositive => "a number above zero",
            Self::OptionalCount => "a whole number above zero",
            Self::Flag => "true or false",
        }
    }
}

/// Whether the text of a settings file belongs to a gateway rather than to another kind of node.
#[must_use]
pub fn is_gateway_file(text: &str) -> bool {
    let value: Result<Value, _> = serde_json::from_str(text);
    value.is_ok_and(|value| value.get("first_start").is_some() || value.get("bounds").is_some())
}

fn validate(value: &Value) -> Result<(), FindingList> {
    let mut findings = FindingList::default();
    for (path, kind) in FIELDS {
        let pointer = format!("/{}", path.replace('.', "/"));
        match value.pointer(&pointer) {
            None if kind.is_optional() => {}
            None => findings.add(path, "missing", kind.expected()),
            Some(actual) if !kind.accepts(actual) => {
                findings.add(path, format!("can't be {actual}"), kind.expected());
            }
            Some(_) => {}
        }
    }
    findings.into_result(())
}

impl GatewaySettings {
    /// What the numbers of client connections and running requests follow from.
    #[must_use]
    pub fn connection_limits(&self) -> ConnectionLimits {
        ConnectionLimits {
            stated: self.max_connections,
            stated_requests: self.max_requests,
            descriptors: self.descriptors,
            memory_mb: self.memory_mb,
        }
    }

    /// Regions of the failure domains and of this node.
    #[must_use]
    pub fn region_map(&self) -> RegionMap {
        let domains = self.regions.clone().unwrap_or_default();
        RegionMap::new(self.region.clone(), &self.failure_domain, domains)
    }

    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// A report naming the file and each invalid setting.
    pub fn load(path: &Path) -> eyre::Result<Self> {
        let text = std::fs::read_to_string(path)
            .wrap_err_with(|| format!("the settings file {} can't be read", path.display()))?;
        Self::parse(&text).wrap_err_with(|| format!("in the settings file {}", path.display()))
    }

    /// Parses and validates settings.
    ///
    /// # Errors
    ///
    /// A report with the path of each invalid setting and the expected value.
    pub fn parse(text: &str) -> eyre::Result<Self> {
        let value: Value = web::parse_json(text.as_bytes())?;
        validate(&value)?;
        Ok(serde_json::from_value(value)?)
    }
}
