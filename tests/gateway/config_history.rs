//! What an operator wrote, and which responses that allows.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use http::StatusCode;
use serde_json::{Value, json};
use tokio::time::Instant;

use crate::request::TestResponse;
use crate::site::{KEY, configuration};

/// Services that routes lead to; instances respond with the name of theirs.
pub const SERVICES: [&str; 2] = ["ledger", "archive"];

/// Prefix of the routes whose requests may run once at most.
pub const PAY_PREFIX: &str = "/pay/";

/// Time after which a node may no longer go back behind a version whose effect was seen.
const ROLLBACK_SLACK: Duration = Duration::from_millis(250);

/// Routes and keys of one version.
#[derive(Debug, Clone, Default)]
pub struct ConfigContent {
    pub version: u64,
    /// Services by the prefix of their route.
    pub routes: BTreeMap<String, usize>,
    pub keys: BTreeSet<String>,
}

/// A request that shows which version is in force.
#[derive(Debug, Clone)]
pub struct VersionProbe {
    pub prefix: String,
    pub key: String,
}

/// What a request shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeOutcome {
    NoRoute,
    UnknownKey,
    Served(usize),
    /// Refused for good in a way that no configuration asks for.
    Wrong(StatusCode),
    /// Nothing about the configuration: not run, failed or no response.
    Unknown,
}

impl ConfigContent {
    /// What a node with this version shows.
    fn outcome(&self, probe: &VersionProbe) -> ProbeOutcome {
        let Some(service) = self.routes.get(&probe.prefix) else {
            return ProbeOutcome::NoRoute;
        };
        if !self.keys.contains(&probe.key) {
            return ProbeOutcome::UnknownKey;
        }
        ProbeOutcome::Served(*service)
    }

    pub fn to_json(&self) -> Value {
        let mut config = configuration(self.version);
        let template = config["routes"][2].clone();
        let routes = self.routes.iter().map(|(prefix, service)| {
            let mut route = template.clone();
            route["name"] = json!(prefix);
            route["prefix"] = json!(prefix);
            if prefix.starts_with(PAY_PREFIX) {
                route["route_type"] = json!("non_idempotent");
                route["max_attempts"] = json!(1);
            }
            route["service"] = json!(SERVICES[*service]);
            route
        });
        config["routes"] = routes.collect();
        let services = SERVICES.iter();
        config["services"] = services
            .map(|name| json!({"name": name, "max_connections": 400, "health_path": "/health"}))
            .collect();
        let keys: Vec<&String> = self.keys.iter().collect();
        config["tenants"][0]["api_keys"] = json!(keys);
        config
    }
}

impl ProbeOutcome {
    pub fn of(response: Option<&TestResponse>) -> Self {
        let Some(response) = response.filter(|response| response.complete) else {
            return Self::Unknown;
        };
        match response.status {
            StatusCode::NOT_FOUND => Self::NoRoute,
            StatusCode::UNAUTHORIZED => Self::UnknownKey,
            StatusCode::OK => {
                let service = SERVICES.iter().position(|name| *name == response.text);
                service.map_or(Self::Unknown, Self::Served)
            }
            // The promise that a request has not run.
            StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS => Self::Unknown,
            status if status.is_redirection() || status.is_client_error() => Self::Wrong(status),
            _ => Self::Unknown,
        }
    }

    pub fn is_refusal(self) -> bool {
        matches!(self, Self::NoRoute | Self::UnknownKey | Self::Wrong(_))
    }
}

struct WrittenVersion {
    content: ConfigContent,
    sent: Instant,
    /// When the store confirmed it; `None` before.
    confirmed: Option<Instant>,
}

/// All versions in their order.
#[derive(Default)]
pub struct ConfigHistory {
    versions: Vec<WrittenVersion>,
    /// Probes whose outcome a recent version changed.
    pub changed: Vec<VersionProbe>,
}

/// What one process has shown so far.
#[derive(Debug, Clone, Default)]
pub struct NodeProgress {
    /// Indices of versions that it has at least, and when that was seen.
    seen: Vec<(usize, Instant)>,
}

/// When a probe was sent, and when its response was complete.
#[derive(Debug, Clone, Copy)]
pub struct ProbeTime {
    pub sent: Instant,
    pub ended: Instant,
}

impl ConfigHistory {
    /// Records a version that is about to be written: nodes may show it from now on.
    pub fn record_sent(&mut self, content: ConfigContent) {
        self.versions.push(WrittenVersion {
            content,
            sent: Instant::now(),
            confirmed: None,
        });
    }

    /// Records that the store has confirmed the newest version.
    pub fn record_confirmed(&mut self) {
        if let Some(newest) = self.versions.last_mut() {
            newest.confirmed = Some(Instant::now());
        }
    }

    /// Records that the store has lost all versions after this one: they bind nobody until they are written again.
    pub fn record_lost(&mut self, after: u64) {
        for version in &mut self.versions {
            if version.content.version > after {
                version.confirmed = None;
            }
        }
    }

    /// Records that the operator has written again what the store had lost.
    pub fn record_rewritten(&mut self) {
        let now = Instant::now();
        for version in &mut self.versions {
            version.confirmed.get_or_insert(now);
        }
    }

    pub fn newest(&self) -> &ConfigContent {
        &self.versions[self.versions.len() - 1].content
    }

    /// Index of the newest version confirmed longer than the bound before a time.
    fn oldest_allowed(&self, sent: Instant, bound: Duration) -> usize {
        let is_due = |version: &&WrittenVersion| {
            let confirmed = version.confirmed;
            confirmed.is_some_and(|confirmed| confirmed + bound <= sent)
        };
        self.versions.iter().take_while(is_due).count().max(1) - 1
    }

    /// Judges an outcome; `Err` tells what only an older version allows.
    pub fn judge(
        &self,
        probe: &VersionProbe,
        outcome: ProbeOutcome,
        time: ProbeTime,
        bound: Duration,
        progress: &mut NodeProgress,
    ) -> Result<(), String> {
        if outcome == ProbeOutcome::Unknown {
            return Ok(());
        }
        let due = self.oldest_allowed(time.sent, bound);
        let seen = progress.seen.iter();
        let seen = seen.filter(|(_, at)| *at + ROLLBACK_SLACK <= time.sent);
        let shown = seen.map(|(index, _)| *index).max().unwrap_or(0);
        let first = due.max(shown);
        let known = self.versions.iter().enumerate();
        let allowing: Vec<usize> = known
            .filter(|(_, version)| version.sent <= time.ended)
            .filter(|(_, version)| version.content.outcome(probe) == outcome)
            .map(|(index, _)| index)
            .collect();
        if allowing.iter().any(|index| *index >= first) {
            progress.seen.push((allowing[0], time.ended));
            return Ok(());
        }
        let version = |index: usize| self.versions[index].content.version;
        let confirmed = self.versions[due].confirmed;
        let late = confirmed.map(|confirmed| time.sent.saturating_duration_since(confirmed));
        let (due, shown) = (version(due), version(shown));
        let newest = allowing.last().map(|index| version(*index));
        Err(format!(
            "{outcome:?} for {probe:?}: version {due} was confirmed {late:?} before, {shown} was shown; \
             allowed by {newest:?}"
        ))
    }
}

/// The version that is in force before the first change.
pub fn first_content() -> ConfigContent {
    ConfigContent {
        version: 2,
        routes: BTreeMap::from([("/base/".to_owned(), 0), ("/other/".to_owned(), 1)]),
        keys: BTreeSet::from([KEY.to_owned()]),
    }
}
