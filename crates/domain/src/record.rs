//! Operator records: customers, models, plain services and drains.
//!
//! These types follow the newest schema version. The wire formats of schema versions 1 and 2 are in
//! the crate `wire`, which converts between them and these types.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::finding::FindingList;
use crate::ids::{
    AdapterName, CustomerId, DomainId, HostId, ModelName, RecordName, ServiceName, VersionName,
};

/// Maximum share of a customer. Shares are relative weights, so larger values would only lose
/// precision.
pub const MAX_SHARE: u32 = 1_000;

/// Maximum number of hosts of one replica.
pub const MAX_HOSTS_PER_REPLICA: u32 = 64;

/// A record written by an operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordSpec {
    /// A customer with its API keys and grants.
    Customer(CustomerRecord),
    /// A model with its versions and adapters.
    Model(ModelRecord),
    /// A plain service with its instances and calls.
    Service(ServiceRecord),
    /// Hosts to be drained.
    Drain(DrainRecord),
}

/// The kinds of operator records.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RecordKind {
    /// Kind of a [`CustomerRecord`].
    Customer,
    /// Kind of a [`ModelRecord`].
    Model,
    /// Kind of a [`ServiceRecord`].
    Service,
    /// Kind of a [`DrainRecord`].
    Drain,
}

impl RecordKind {
    /// All kinds, in the order in which records are listed.
    pub const ALL: [Self; 4] = [Self::Customer, Self::Model, Self::Service, Self::Drain];

    /// Returns the name of the kind used in records, table keys and on the command line.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Customer => "customer",
            Self::Model => "model",
            Self::Service => "service",
            Self::Drain => "drain",
        }
    }
}

impl std::str::FromStr for RecordKind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        for kind in Self::ALL {
            if kind.as_str() == text {
                return Ok(kind);
            }
        }
        Err(format!(
            "unknown kind {text:?}, expected customer, model, service or drain"
        ))
    }
}

/// A customer: its API keys, what it may call, and its share under contention.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CustomerRecord {
    /// Name of the customer, which identifies the record.
    pub name: CustomerId,
    /// SHA-256 hashes of the customer's bearer keys, 64 hexadecimal digits each.
    pub key_hashes: Vec<String>,
    /// Models and adapters that the customer may use.
    pub grants: Vec<ModelGrant>,
    /// Plain services that the customer may call.
    pub services: Vec<ServiceName>,
    /// Weight relative to other customers when a target is contended, from 1 to [`MAX_SHARE`].
    pub share: u32,
}

/// Permission to use one model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelGrant {
    /// Model that the customer may use.
    pub model: ModelName,
    /// Version to which the customer is pinned; none means the versions of the model's record.
    pub version: Option<VersionName>,
    /// Adapters that the customer may request. The model without an adapter is always granted.
    pub adapters: Vec<AdapterName>,
}

/// A model: which versions to run, and with how many replicas.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelRecord {
    /// Name of the model, which identifies the record.
    pub name: ModelName,
    /// Number of hosts that form one replica, from 1 to [`MAX_HOSTS_PER_REPLICA`].
    pub hosts_per_replica: u32,
    /// Versions that run side by side, each named once.
    pub versions: Vec<VersionPlan>,
    /// Adapters that every replica of the model loads.
    pub adapters: Vec<AdapterName>,
}

/// The desired replica count of one version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionPlan {
    /// Version of the model's weights.
    pub version: VersionName,
    /// Desired number of replicas over all fabric domains; surplus ones are drained.
    pub replicas: u32,
}

/// A plain HTTP service, as opposed to a model engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceRecord {
    /// Name of the service, which identifies the record.
    pub name: ServiceName,
    /// Addresses of the service's instances.
    pub targets: Vec<SocketAddr>,
    /// Calls that the service offers, each path once.
    pub calls: Vec<ServiceCall>,
}

/// One call of a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceCall {
    /// Path relative to the service, without a leading slash.
    pub path: String,
    /// Whether the call may safely run more than once.
    pub idempotent: bool,
    /// Path of the endpoint that reports, by idempotency key, whether the call ran; none if the
    /// service has no such endpoint.
    pub lookup: Option<String>,
}

/// Hosts that must not receive new work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DrainRecord {
    /// Name that the operator chose, unique among the drain records.
    pub name: RecordName,
    /// Individual hosts to drain.
    pub hosts: Vec<HostId>,
    /// Failure domains in which all hosts are drained.
    pub domains: Vec<DomainId>,
}

impl RecordSpec {
    /// Returns the kind of the record.
    #[must_use]
    pub fn kind(&self) -> RecordKind {
        match self {
            Self::Customer(_) => RecordKind::Customer,
            Self::Model(_) => RecordKind::Model,
            Self::Service(_) => RecordKind::Service,
            Self::Drain(_) => RecordKind::Drain,
        }
    }

    /// Returns the record's name, unique within its kind.
    #[must_use]
    pub fn name(&self) -> &str {
        match self {
            Self::Customer(record) => record.name.as_str(),
            Self::Model(record) => record.name.as_str(),
            Self::Service(record) => record.name.as_str(),
            Self::Drain(record) => record.name.as_str(),
        }
    }

    /// Validates the record by itself, without reference to other records.
    ///
    /// # Errors
    ///
    /// All violations, each with the path of the invalid value.
    pub fn check(&self) -> Result<(), FindingList> {
        let mut findings = FindingList::default();
        match self {
            Self::Customer(record) => record.check(&mut findings),
            Self::Model(record) => record.check(&mut findings),
            Self::Service(record) => record.check(&mut findings),
            Self::Drain(record) => record.check(&mut findings),
        }
        findings.into_result(())
    }
}

impl CustomerRecord {
    fn check(&self, findings: &mut FindingList) {
        if self.share == 0 || self.share > MAX_SHARE {
            let advice = format!("use a number from 1 to {MAX_SHARE}");
            findings.add(
                "spec.share",
                format!("share {} is out of range", self.share),
                advice,
            );
        }
        for (index, hash) in self.key_hashes.iter().enumerate() {
            let hexadecimal = hash.chars().all(|digit| digit.is_ascii_hexdigit());
            if hash.len() == 64 && hexadecimal {
                continue;
            }
            findings.add(
                format!("spec.key_hashes[{index}]"),
                "not a SHA-256 hash",
                "use the 64 hexadecimal digits that `bramleyspring hash-key` prints",
            );
        }
        for (index, grant) in self.grants.iter().enumerate() {
            let duplicate = self.grants[..index]
                .iter()
                .any(|other| other.model == grant.model);
            if !duplicate {
                continue;
            }
            findings.add(
                format!("spec.grants[{index}].model"),
                format!("duplicate grant for model {}", grant.model),
                "keep one grant per model",
            );
        }
    }
}

impl ModelRecord {
    fn check(&self, findings: &mut FindingList) {
        if self.hosts_per_replica == 0 || self.hosts_per_replica > MAX_HOSTS_PER_REPLICA {
            findings.add(
                "spec.hosts_per_replica",
                format!(
                    "{} hosts per replica is out of range",
                    self.hosts_per_replica
                ),
                format!("use a number from 1 to {MAX_HOSTS_PER_REPLICA}"),
            );
        }
        if self.versions.is_empty() {
            findings.add(
                "spec.versions",
                "the list of versions is empty",
                "add at least one version",
            );
        }
        for (index, plan) in self.versions.iter().enumerate() {
            let duplicate = self.versions[..index]
                .iter()
                .any(|other| other.version == plan.version);
            if !duplicate {
                continue;
            }
            findings.add(
                format!("spec.versions[{index}].version"),
                format!("duplicate version {}", plan.version),
                "keep one entry per version",
            );
        }
    }
}

impl ServiceRecord {
    fn check(&self, findings: &mut FindingList) {
        if self.targets.is_empty() {
            findings.add(
                "spec.targets",
                "the list of targets is empty",
                "add at least one ip:port address",
            );
        }
        for (index, call) in self.calls.iter().enumerate() {
            if call.path.is_empty() || call.path.starts_with('/') {
                findings.add(
                    format!("spec.calls[{index}].path"),
                    "a path must not be empty or start with '/'",
                    "use a path relative to the service, such as fees/pay",
                );
            }
            let duplicate = self.calls[..index]
                .iter()
                .any(|other| other.path == call.path);
            if !duplicate {
                continue;
            }
            findings.add(
                format!("spec.calls[{index}].path"),
                format!("duplicate path {}", call.path),
                "keep one entry per path",
            );
        }
    }
}

impl DrainRecord {
    fn check(&self, findings: &mut FindingList) {
        if !self.hosts.is_empty() || !self.domains.is_empty() {
            return;
        }
        findings.add(
            "spec",
            "the drain lists neither hosts nor domains",
            "add hosts or domains, or delete the record",
        );
    }
}
