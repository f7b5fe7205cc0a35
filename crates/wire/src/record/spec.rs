//! Content of records, by kind and schema version.

use std::net::SocketAddr;

use domain::{AdapterName, DomainId, HostId, ModelName, ServiceName, VersionName};
use serde::{Deserialize, Serialize};

/// Content of a customer record, schema version 1.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerSpecV1 {
    /// SHA-256 hashes of the customer's bearer keys, 64 hexadecimal digits each.
    pub key_hashes: Vec<String>,
    /// Models that the customer may use, without adapters or a pinned version.
    pub models: Vec<ModelName>,
    /// Plain services that the customer may call.
    #[serde(default)]
    pub services: Vec<ServiceName>,
}

/// Content of a customer record, schema version 2.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerSpecV2 {
    /// SHA-256 hashes of the customer's bearer keys, 64 hexadecimal digits each.
    pub key_hashes: Vec<String>,
    /// Models and adapters that the customer may use.
    pub grants: Vec<GrantSpecV2>,
    /// Plain services that the customer may call.
    #[serde(default)]
    pub services: Vec<ServiceName>,
    /// Weight relative to other customers when a target is contended.
    pub share: u32,
}

/// Permission to use one model, schema version 2.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GrantSpecV2 {
    /// Model that the customer may use.
    pub model: ModelName,
    /// Version to which the customer is pinned; none means the versions of the model's record.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<VersionName>,
    /// Adapters that the customer may request.
    #[serde(default)]
    pub adapters: Vec<AdapterName>,
}

/// Content of a model record, schema version 1.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelSpecV1 {
    /// The only version of the model's weights to run.
    pub version: VersionName,
    /// Desired number of replicas.
    pub replicas: u32,
    /// Number of hosts that form one replica.
    pub hosts_per_replica: u32,
}

/// Content of a model record, schema version 2.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelSpecV2 {
    /// Number of hosts that form one replica.
    pub hosts_per_replica: u32,
    /// Versions that run side by side.
    pub versions: Vec<VersionSpecV2>,
    /// Adapters that every replica of the model loads.
    #[serde(default)]
    pub adapters: Vec<AdapterName>,
}

/// The desired replica count of one version, schema version 2.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionSpecV2 {
    /// Version of the model's weights.
    pub version: VersionName,
    /// Desired number of replicas.
    pub replicas: u32,
}

/// Content of a service record, the same in both schema versions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Addresses of the service's instances.
    pub targets: Vec<SocketAddr>,
    /// Calls that the service offers.
    pub calls: Vec<CallSpec>,
}

/// One call of a plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallSpec {
    /// Path relative to the service, without a leading slash.
    pub path: String,
    /// Whether the call may safely run more than once.
    pub idempotent: bool,
    /// Path of the endpoint that reports, by idempotency key, whether the call ran; none if the service
    /// has no such endpoint.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lookup: Option<String>,
}

/// Content of a drain record, the same in both schema versions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DrainSpec {
    /// Individual hosts to drain.
    #[serde(default)]
    pub hosts: Vec<HostId>,
    /// Failure domains in which all hosts are drained.
    #[serde(default)]
    pub domains: Vec<DomainId>,
}
