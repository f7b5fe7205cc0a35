//! Operators' records: which models, versions and adapters serve which customers.
//!
//! These are the aggregates of the newest meaning. The wire forms of schema versions 1 and 2 live
//! in the crate `wire` and are converted from and into these.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::finding::FindingList;
use crate::ids::{
    AdapterName, CustomerId, DomainId, HostId, ModelName, RecordName, ServiceName, VersionName,
};

/// Largest share of a customer; shares are weights, so more would only lose precision.
pub const MAX_SHARE: u32 = 1_000;

/// Largest number of hosts of one replica.
pub const MAX_HOSTS_PER_REPLICA: u32 = 64;

/// One operator's record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordSpec {
    /// A customer with its keys and grants.
    Customer(CustomerRecord),
    /// A model with its versions and adapters.
    Model(ModelRecord),
    /// A plain service.
    Service(ServiceRecord),
    /// Hosts that shall leave.
    Drain(DrainRecord),
}

/// Kind of a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RecordKind {
    /// See [`CustomerRecord`].
    Customer,
    /// See [`ModelRecord`].
    Model,
    /// See [`ServiceRecord`].
    Service,
    /// See [`DrainRecord`].
    Drain,
}

impl RecordKind {
    /// Every kind, in the order in which records are listed.
    pub const ALL: [Self; 4] = [Self::Customer, Self::Model, Self::Service, Self::Drain];

    /// The kind as it stands in records, keys and on the command line.
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
            "unknown kind {text:?}: write customer, model, service or drain"
        ))
    }
}

/// A customer: who may call what, and with which share of a contended target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CustomerRecord {
    /// The customer's name.
    pub name: CustomerId,
    /// SHA-256 hashes of the bearer keys, as 64 hexadecimal digits each.
    pub key_hashes: Vec<String>,
    /// Models and adapters that the customer may use.
    pub grants: Vec<ModelGrant>,
    /// Plain services that the customer may call.
    pub services: Vec<ServiceName>,
    /// Weight against other customers under contention, from 1 to [`MAX_SHARE`].
    pub share: u32,
}

/// Leave to use one model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelGrant {
    /// The model.
    pub model: ModelName,
    /// The version that the customer is pinned to; none follows the model's record.
    pub version: Option<VersionName>,
    /// Adapters that the customer may name; the bare model is always granted.
    pub adapters: Vec<AdapterName>,
}

/// A model: how many replicas of which versions to keep.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelRecord {
    /// The model's name.
    pub name: ModelName,
    /// Hosts of one replica.
    pub hosts_per_replica: u32,
    /// Versions side by side, each with its count of replicas.
    pub versions: Vec<VersionPlan>,
    /// Adapters that every replica loads.
    pub adapters: Vec<AdapterName>,
}

/// How many replicas of one version to keep.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionPlan {
    /// The version.
    pub version: VersionName,
    /// Replicas wanted.
    pub replicas: u32,
}

/// A plain service beside the model engines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceRecord {
    /// The service's name.
    pub name: ServiceName,
    /// Addresses of its instances.
    pub targets: Vec<SocketAddr>,
    /// Its calls.
    pub calls: Vec<ServiceCall>,
}

/// One call of a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceCall {
    /// Path below the service, without a leading slash.
    pub path: String,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// Path of a look-up that tells by idempotency key whether the call ran, where there is one.
    pub lookup: Option<String>,
}

/// Hosts that shall receive no new work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DrainRecord {
    /// The record's name.
    pub name: RecordName,
    /// Hosts to drain.
    pub hosts: Vec<HostId>,
    /// Failure domains to drain whole.
    pub domains: Vec<DomainId>,
}

impl RecordSpec {
    /// The record's kind.
    #[must_use]
    pub fn kind(&self) -> RecordKind {
        match self {
            Self::Customer(_) => RecordKind::Customer,
            Self::Model(_) => RecordKind::Model,
            Self::Service(_) => RecordKind::Service,
            Self::Drain(_) => RecordKind::Drain,
        }
    }

    /// The record's name within its kind.
    #[must_use]
    pub fn name(&self) -> &str {
        match self {
            Self::Customer(record) => record.name.as_str(),
            Self::Model(record) => record.name.as_str(),
            Self::Service(record) => record.name.as_str(),
            Self::Drain(record) => record.name.as_str(),
        }
    }

    /// Checks the rules that hold within one record.
    ///
    /// # Errors
    ///
    /// Every breach with its place.
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
            let advice = format!("write a number from 1 to {MAX_SHARE}");
            findings.add(
                "spec.share",
                format!("a share of {} is out of bounds", self.share),
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
                "write the 64 hexadecimal digits that `bramleyspring hash-key` prints",
            );
        }
        for (index, grant) in self.grants.iter().enumerate() {
            let twice = self.grants[..index]
                .iter()
                .any(|other| other.model == grant.model);
            if !twice {
                continue;
            }
            findings.add(
                format!("spec.grants[{index}].model"),
                format!("{} is granted twice", grant.model),
                "keep one grant for each model",
            );
        }
    }
}

impl ModelRecord {
    fn check(&self, findings: &mut FindingList) {
        if self.hosts_per_replica == 0 || self.hosts_per_replica > MAX_HOSTS_PER_REPLICA {
            findings.add(
                "spec.hosts_per_replica",
                format!("{} hosts are out of bounds", self.hosts_per_replica),
                format!("write a number from 1 to {MAX_HOSTS_PER_REPLICA}"),
            );
        }
        if self.versions.is_empty() {
            findings.add(
                "spec.versions",
                "no version is named",
                "name at least one version",
            );
        }
        for (index, plan) in self.versions.iter().enumerate() {
            let twice = self.versions[..index]
                .iter()
                .any(|other| other.version == plan.version);
            if !twice {
                continue;
            }
            findings.add(
                format!("spec.versions[{index}].version"),
                format!("{} is named twice", plan.version),
                "keep one plan for each version",
            );
        }
    }
}

impl ServiceRecord {
    fn check(&self, findings: &mut FindingList) {
        if self.targets.is_empty() {
            findings.add(
                "spec.targets",
                "no address is named",
                "name at least one ip:port",
            );
        }
        for (index, call) in self.calls.iter().enumerate() {
            if call.path.is_empty() || call.path.starts_with('/') {
                findings.add(
                    format!("spec.calls[{index}].path"),
                    "a path must not be empty or start with '/'",
                    "write it relative to the service, such as fees/pay",
                );
            }
            let twice = self.calls[..index]
                .iter()
                .any(|other| other.path == call.path);
            if !twice {
                continue;
            }
            findings.add(
                format!("spec.calls[{index}].path"),
                format!("{} is named twice", call.path),
                "keep one entry for each path",
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
            "nothing is named",
            "name hosts or domains, or delete the record",
        );
    }
}
