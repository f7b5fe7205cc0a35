//! Content of records by schema version and kind.

use std::net::SocketAddr;

use domain::{AdapterName, DomainId, HostId, ModelName, ServiceName, VersionName};
use serde::{Deserialize, Serialize};

/// Content of a customer's record, schema version 1.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerSpecV1 {
    /// SHA-256 hashes of the bearer keys.
    pub key_hashes: Vec<String>,
    /// Models that the customer may use.
    pub models: Vec<ModelName>,
    /// Plain services that the customer may call.
    #[serde(default)]
    pub services: Vec<ServiceName>,
}

/// Content of a customer's record, schema version 2.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerSpecV2 {
    /// SHA-256 hashes of the bearer keys.
    pub key_hashes: Vec<String>,
    /// Models and adapters that the customer may use.
    pub grants: Vec<GrantSpecV2>,
    /// Plain services that the customer may call.
    #[serde(default)]
    pub services: Vec<ServiceName>,
    /// Weight under contention.
    pub share: u32,
}

/// One grant, schema version 2.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GrantSpecV2 {
    /// The model.
    pub model: ModelName,
    /// The version that the customer is pinned to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<VersionName>,
    /// Adapters that the customer may name.
    #[serde(default)]
    pub adapters: Vec<AdapterName>,
}

/// Content of a model's record, schema version 1.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelSpecV1 {
    /// The version to serve.
    pub version: VersionName,
    /// Replicas wanted.
    pub replicas: u32,
    /// Hosts of one replica.
    pub hosts_per_replica: u32,
}

/// Content of a model's record, schema version 2.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelSpecV2 {
    /// Hosts of one replica.
    pub hosts_per_replica: u32,
    /// Versions side by side.
    pub versions: Vec<VersionSpecV2>,
    /// Adapters that every replica loads.
    #[serde(default)]
    pub adapters: Vec<AdapterName>,
}

/// One version of a model, schema version 2.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionSpecV2 {
    /// The version.
    pub version: VersionName,
    /// Replicas wanted.
    pub replicas: u32,
}

/// Content of a service's record, the same in both schema versions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Addresses of its instances.
    pub targets: Vec<SocketAddr>,
    /// Its calls.
    pub calls: Vec<CallSpec>,
}

/// One call of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallSpec {
    /// Path below the service.
    pub path: String,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// Path of a look-up by idempotency key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lookup: Option<String>,
}

/// Content of a drain record, the same in both schema versions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DrainSpec {
    /// Hosts to drain.
    #[serde(default)]
    pub hosts: Vec<HostId>,
    /// Failure domains to drain.
    #[serde(default)]
    pub domains: Vec<DomainId>,
}
