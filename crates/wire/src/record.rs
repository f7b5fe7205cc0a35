//! Wire forms of operators' records, schema versions 1 and 2.
//!
//! Version 1 grants whole models, keeps one version of a model and knows no adapters or shares.
//! Version 2 adds adapters, pinned versions, shares, and several versions side by side. Both are
//! read side by side; what a node can't say in version 1 is refused, never shortened.

use std::net::SocketAddr;

use domain::record::{
    CustomerRecord, DrainRecord, ModelGrant, ModelRecord, RecordKind, ServiceCall, ServiceRecord,
    VersionPlan,
};
use domain::{
    AdapterName, CustomerId, DomainId, FindingList, HostId, ModelName, RecordName, RecordSpec,
    ServiceName, VersionName,
};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// The schema versions that this program reads and writes.
pub const KNOWN_SCHEMAS: [u32; 2] = [1, 2];

/// Share of a customer whose record has schema version 1.
pub const DEFAULT_SHARE: u32 = 1;

/// The frame of a record of any schema version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RecordFrame {
    /// Schema version.
    pub schema: u32,
    /// Kind of the record.
    pub kind: RecordKind,
    /// Name within the kind.
    pub name: String,
    /// Content, by schema version and kind.
    pub spec: Value,
}

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

/// Why a frame is no record.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// The schema version is newer than this program.
    #[error("schema version {0} is unknown here: this program reads versions 1 and 2")]
    UnknownSchema(u32),
    /// The content breaks a rule.
    #[error("{0}")]
    Invalid(FindingList),
    /// The record can't be said in this schema version.
    #[error("{place} can't be written in schema version {schema}: use version 2")]
    Inexpressible {
        /// The schema version asked for.
        schema: u32,
        /// What it has no words for.
        place: &'static str,
    },
}

impl TryFrom<RecordFrame> for RecordSpec {
    type Error = RecordError;

    fn try_from(frame: RecordFrame) -> Result<Self, RecordError> {
        if !KNOWN_SCHEMAS.contains(&frame.schema) {
            return Err(RecordError::UnknownSchema(frame.schema));
        }
        let record = match (frame.kind, frame.schema) {
            (RecordKind::Customer, 1) => {
                let name = parse_name(&frame.name)?;
                Self::Customer(customer_from_v1(name, parse_spec(frame.spec)?))
            }
            (RecordKind::Customer, _) => {
                let name = parse_name(&frame.name)?;
                Self::Customer(customer_from_v2(name, parse_spec(frame.spec)?))
            }
            (RecordKind::Model, 1) => {
                let name = parse_name(&frame.name)?;
                Self::Model(model_from_v1(name, parse_spec(frame.spec)?))
            }
            (RecordKind::Model, _) => {
                let name = parse_name(&frame.name)?;
                Self::Model(model_from_v2(name, parse_spec(frame.spec)?))
            }
            (RecordKind::Service, _) => {
                let name = parse_name(&frame.name)?;
                Self::Service(service_from_spec(name, parse_spec(frame.spec)?))
            }
            (RecordKind::Drain, _) => {
                let name = parse_name(&frame.name)?;
                Self::Drain(drain_from_spec(name, parse_spec(frame.spec)?))
            }
        };
        record.check().map_err(RecordError::Invalid)?;
        Ok(record)
    }
}

/// Writes a record in a schema version.
///
/// # Errors
///
/// [`RecordError::Inexpressible`] when version 1 has no words for a part of it,
/// [`RecordError::UnknownSchema`] for any version but 1 and 2.
pub fn frame_record(record: &RecordSpec, schema: u32) -> Result<RecordFrame, RecordError> {
    let spec = match (record, schema) {
        (RecordSpec::Customer(customer), 1) => to_value(&customer_to_v1(customer)?),
        (RecordSpec::Customer(customer), 2) => to_value(&customer_to_v2(customer)),
        (RecordSpec::Model(model), 1) => to_value(&model_to_v1(model)?),
        (RecordSpec::Model(model), 2) => to_value(&model_to_v2(model)),
        (RecordSpec::Service(service), 1 | 2) => to_value(&service_to_spec(service)),
        (RecordSpec::Drain(drain), 1 | 2) => to_value(&drain_to_spec(drain)),
        _ => return Err(RecordError::UnknownSchema(schema)),
    };
    Ok(RecordFrame {
        schema,
        kind: record.kind(),
        name: record.name().to_owned(),
        spec,
    })
}

fn to_value<T: Serialize>(spec: &T) -> Value {
    serde_json::to_value(spec).unwrap_or(Value::Null)
}

fn parse_name<T: std::str::FromStr<Err = domain::IdError>>(name: &str) -> Result<T, RecordError> {
    name.parse().map_err(|error: domain::IdError| {
        let mut findings = FindingList::default();
        findings.add(
            "name",
            error.to_string(),
            "write a name such as trader-help",
        );
        RecordError::Invalid(findings)
    })
}

fn parse_spec<T: serde::de::DeserializeOwned>(spec: Value) -> Result<T, RecordError> {
    serde_path_to_error::deserialize(spec).map_err(|error| {
        let mut findings = FindingList::default();
        let path = error.path().to_string();
        let place = if path == "." {
            "spec".to_owned()
        } else {
            format!("spec.{path}")
        };
        findings.add(place, error.inner().to_string(), "");
        RecordError::Invalid(findings)
    })
}

fn customer_from_v1(name: CustomerId, spec: CustomerSpecV1) -> CustomerRecord {
    let grants = spec
        .models
        .into_iter()
        .map(|model| ModelGrant {
            model,
            version: None,
            adapters: Vec::new(),
        })
        .collect();
    CustomerRecord {
        name,
        key_hashes: spec.key_hashes,
        grants,
        services: spec.services,
        share: DEFAULT_SHARE,
    }
}

fn customer_from_v2(name: CustomerId, spec: CustomerSpecV2) -> CustomerRecord {
    let grants = spec
        .grants
        .into_iter()
        .map(|grant| ModelGrant {
            model: grant.model,
            version: grant.version,
            adapters: grant.adapters,
        })
        .collect();
    CustomerRecord {
        name,
        key_hashes: spec.key_hashes,
        grants,
        services: spec.services,
        share: spec.share,
    }
}

fn customer_to_v1(customer: &CustomerRecord) -> Result<CustomerSpecV1, RecordError> {
    if customer.share != DEFAULT_SHARE {
        return Err(RecordError::Inexpressible {
            schema: 1,
            place: "spec.share",
        });
    }
    for grant in &customer.grants {
        if grant.version.is_none() && grant.adapters.is_empty() {
            continue;
        }
        return Err(RecordError::Inexpressible {
            schema: 1,
            place: "spec.grants",
        });
    }
    Ok(CustomerSpecV1 {
        key_hashes: customer.key_hashes.clone(),
        models: customer
            .grants
            .iter()
            .map(|grant| grant.model.clone())
            .collect(),
        services: customer.services.clone(),
    })
}

fn customer_to_v2(customer: &CustomerRecord) -> CustomerSpecV2 {
    let grants = customer
        .grants
        .iter()
        .map(|grant| GrantSpecV2 {
            model: grant.model.clone(),
            version: grant.version.clone(),
            adapters: grant.adapters.clone(),
        })
        .collect();
    CustomerSpecV2 {
        key_hashes: customer.key_hashes.clone(),
        grants,
        services: customer.services.clone(),
        share: customer.share,
    }
}

fn model_from_v1(name: ModelName, spec: ModelSpecV1) -> ModelRecord {
    ModelRecord {
        name,
        hosts_per_replica: spec.hosts_per_replica,
        versions: vec![VersionPlan {
            version: spec.version,
            replicas: spec.replicas,
        }],
        adapters: Vec::new(),
    }
}

fn model_from_v2(name: ModelName, spec: ModelSpecV2) -> ModelRecord {
    let versions = spec
        .versions
        .into_iter()
        .map(|plan| VersionPlan {
            version: plan.version,
            replicas: plan.replicas,
        })
        .collect();
    ModelRecord {
        name,
        hosts_per_replica: spec.hosts_per_replica,
        versions,
        adapters: spec.adapters,
    }
}

fn model_to_v1(model: &ModelRecord) -> Result<ModelSpecV1, RecordError> {
    if !model.adapters.is_empty() {
        return Err(RecordError::Inexpressible {
            schema: 1,
            place: "spec.adapters",
        });
    }
    let [plan] = model.versions.as_slice() else {
        return Err(RecordError::Inexpressible {
            schema: 1,
            place: "spec.versions",
        });
    };
    Ok(ModelSpecV1 {
        version: plan.version.clone(),
        replicas: plan.replicas,
        hosts_per_replica: model.hosts_per_replica,
    })
}

fn model_to_v2(model: &ModelRecord) -> ModelSpecV2 {
    let versions = model
        .versions
        .iter()
        .map(|plan| VersionSpecV2 {
            version: plan.version.clone(),
            replicas: plan.replicas,
        })
        .collect();
    ModelSpecV2 {
        hosts_per_replica: model.hosts_per_replica,
        versions,
        adapters: model.adapters.clone(),
    }
}

fn service_from_spec(name: ServiceName, spec: ServiceSpec) -> ServiceRecord {
    let calls = spec
        .calls
        .into_iter()
        .map(|call| ServiceCall {
            path: call.path,
            idempotent: call.idempotent,
            lookup: call.lookup,
        })
        .collect();
    ServiceRecord {
        name,
        targets: spec.targets,
        calls,
    }
}

fn service_to_spec(service: &ServiceRecord) -> ServiceSpec {
    let calls = service
        .calls
        .iter()
        .map(|call| CallSpec {
            path: call.path.clone(),
            idempotent: call.idempotent,
            lookup: call.lookup.clone(),
        })
        .collect();
    ServiceSpec {
        targets: service.targets.clone(),
        calls,
    }
}

fn drain_from_spec(name: RecordName, spec: DrainSpec) -> DrainRecord {
    DrainRecord {
        name,
        hosts: spec.hosts,
        domains: spec.domains,
    }
}

fn drain_to_spec(drain: &DrainRecord) -> DrainSpec {
    DrainSpec {
        hosts: drain.hosts.clone(),
        domains: drain.domains.clone(),
    }
}
