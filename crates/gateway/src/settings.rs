//! Settings of a gateway, in JSON.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use domain::{DomainId, FindingList, NodeId};
use eyre::WrapErr;
use serde::Deserialize;
use serde_json::Value;
use serving::retry_budget::RetryLimits;

/// What a gateway needs to know before it starts.
#[derive(Debug, Clone, Deserialize)]
pub struct GatewaySettings {
    /// Name of the entry host.
    pub node: NodeId,
    /// Failure domain of the entry host.
    pub failure_domain: DomainId,
    /// Addresses to listen on.
    pub listen: ListenSettings,
    /// Where the platform's store listens.
    pub store: SocketAddr,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
    /// Bounds that the platform sets.
    pub bounds: BoundSettings,
}

/// Addresses to listen on.
#[derive(Debug, Clone, Copy, Deserialize)]
pub struct ListenSettings {
    /// Callers' requests.
    pub requests: SocketAddr,
    /// The balancer's questions.
    pub readiness: SocketAddr,
    /// Metrics as text.
    pub metrics: SocketAddr,
    /// Hints of other nodes, as datagrams; without it none are sent or heard.
    #[serde(default)]
    pub hints: Option<SocketAddr>,
}

/// Bounds that the platform sets.
#[derive(Debug, Clone, Copy, Deserialize)]
pub struct BoundSettings {
    /// Time between SIGTERM and SIGKILL, in seconds.
    pub stop_grace_s: f64,
    /// Repeats allowed for each request.
    pub repeat_ratio: f64,
    /// Window over which repeats are counted, in seconds.
    pub repeat_window_s: f64,
    /// Repeats allowed besides in a window, over all nodes.
    pub repeat_extra: f64,
    /// Window over which weight loads are counted, in seconds.
    pub load_window_s: f64,
    /// Whether engines check fencing tokens.
    pub fencing: bool,
}

impl BoundSettings {
    /// Limits of repeats.
    #[must_use]
    pub fn repeats(&self) -> RetryLimits {
        RetryLimits {
            window: seconds(self.repeat_window_s),
            ratio: self.repeat_ratio,
            extra: self.repeat_extra,
        }
    }

    /// Time between SIGTERM and SIGKILL.
    #[must_use]
    pub fn stop_grace(&self) -> Duration {
        seconds(self.stop_grace_s)
    }
}

fn seconds(value: f64) -> Duration {
    Duration::try_from_secs_f64(value).unwrap_or_default()
}

/// What a setting must be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SettingKind {
    Name,
    Address,
    OptionalAddress,
    Positive,
    Flag,
}

/// Every setting, for the check and for docs/SETTINGS.md.
const FIELDS: [(&str, SettingKind); 14] = [
    ("node", SettingKind::Name),
    ("failure_domain", SettingKind::Name),
    ("listen.requests", SettingKind::Address),
    ("listen.readiness", SettingKind::Address),
    ("listen.metrics", SettingKind::Address),
    ("listen.hints", SettingKind::OptionalAddress),
    ("store", SettingKind::Address),
    ("first_start", SettingKind::Flag),
    ("bounds.stop_grace_s", SettingKind::Positive),
    ("bounds.repeat_ratio", SettingKind::Positive),
    ("bounds.repeat_window_s", SettingKind::Positive),
    ("bounds.repeat_extra", SettingKind::Positive),
    ("bounds.load_window_s", SettingKind::Positive),
    ("bounds.fencing", SettingKind::Flag),
];

impl SettingKind {
    fn fits(self, value: &Value) -> bool {
        match self {
            Self::Name => value
                .as_str()
                .is_some_and(|name| name.parse::<NodeId>().is_ok()),
            Self::Address | Self::OptionalAddress => value
                .as_str()
                .is_some_and(|address| address.parse::<SocketAddr>().is_ok()),
            Self::Positive => value.as_f64().is_some_and(|number| number >= 0.0),
            Self::Flag => value.is_boolean(),
        }
    }

    fn advice(self) -> &'static str {
        match self {
            Self::Name => "a text of letters, digits, '.', '_', ':' and '-'",
            Self::Address | Self::OptionalAddress => {
                "an address with its port, such as \"10.1.0.40:8227\""
            }
            Self::Positive => "a number that is not negative",
            Self::Flag => "true or false",
        }
    }
}

/// Whether a settings file is a gateway's.
#[must_use]
pub fn is_gateway_file(text: &str) -> bool {
    let value: Result<Value, _> = serde_json::from_str(text);
    value.is_ok_and(|value| value.get("first_start").is_some() || value.get("bounds").is_some())
}

fn check(value: &Value) -> Result<(), FindingList> {
    let mut findings = FindingList::default();
    for (path, kind) in FIELDS {
        let pointer = format!("/{}", path.replace('.', "/"));
        match value.pointer(&pointer) {
            None if kind == SettingKind::OptionalAddress => {}
            None => findings.add(path, "missing", kind.advice()),
            Some(given) if !kind.fits(given) => {
                findings.add(path, format!("can't be {given}"), kind.advice());
            }
            Some(_) => {}
        }
    }
    findings.into_result(())
}

impl GatewaySettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// A report with the file and the place in it.
    pub fn load(path: &Path) -> eyre::Result<Self> {
        let text = std::fs::read_to_string(path)
            .wrap_err_with(|| format!("the settings file {} can't be read", path.display()))?;
        Self::parse(&text).wrap_err_with(|| format!("in the settings file {}", path.display()))
    }

    /// Reads and checks settings.
    ///
    /// # Errors
    ///
    /// A report with every finding and its place.
    pub fn parse(text: &str) -> eyre::Result<Self> {
        let value: Value = web::parse_json(text.as_bytes())?;
        check(&value)?;
        Ok(serde_json::from_value(value)?)
    }
}
