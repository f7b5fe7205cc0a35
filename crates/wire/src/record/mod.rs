//! Wire formats of operators' records, schema versions 1 and 2.
//!
//! In version 1 a customer is granted whole models and a model has one version; there are no adapters
//! or shares. Version 2 adds adapters, pinned versions, shares, and several versions side by side.
//! Both versions are supported at the same time. Writing a record as version 1 fails if the format
//! can't represent all of it; no part is ever dropped.

mod convert;
pub mod spec;

use domain::record::RecordKind;
use domain::{FindingList, RecordSpec};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use convert::{
    customer_from_v1, customer_from_v2, customer_to_v1, customer_to_v2, drain_from_spec,
    drain_to_spec, model_from_v1, model_from_v2, model_to_v1, model_to_v2, service_from_spec,
    service_to_spec,
};

/// Schema versions that this program reads and writes.
pub const SUPPORTED_SCHEMAS: [u32; 2] = [1, 2];

/// Share of customers whose records have schema version 1, which lacks the field.
pub const DEFAULT_SHARE: u32 = 1;

/// A record of any schema version, whose content is not parsed yet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RecordEnvelope {
    /// Schema version, which determines the format of `spec`.
    pub schema: u32,
    /// Kind of the record.
    pub kind: RecordKind,
    /// Name of the record, unique within its kind.
    pub name: String,
    /// Content in the format of the kind and schema version; see [`spec`].
    pub spec: Value,
}

/// Why an envelope can't be converted to or from a record.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// This program does not support the schema version.
    #[error("schema version {0} is not supported, expected 1 or 2")]
    UnsupportedSchema(u32),
    /// The content is malformed or violates a rule of its kind.
    #[error("{0}")]
    Invalid(FindingList),
    /// The schema version can't represent the record.
    #[error("{place} can't be represented in schema version {schema}: use version 2")]
    Unrepresentable {
        /// Requested schema version.
        schema: u32,
        /// Path of the field that the schema version lacks.
        place: &'static str,
    },
}

impl TryFrom<RecordEnvelope> for RecordSpec {
    type Error = RecordError;

    fn try_from(envelope: RecordEnvelope) -> Result<Self, RecordError> {
        if !SUPPORTED_SCHEMAS.contains(&envelope.schema) {
            return Err(RecordError::UnsupportedSchema(envelope.schema));
        }
        let record = match (envelope.kind, envelope.schema) {
            (RecordKind::Customer, 1) => {
                let name = parse_name(&envelope.name)?;
                Self::Customer(customer_from_v1(name, parse_spec(envelope.spec)?))
            }
            (RecordKind::Customer, _) => {
                let name = parse_name(&envelope.name)?;
                Self::Customer(customer_from_v2(name, parse_spec(envelope.spec)?))
            }
            (RecordKind::Model, 1) => {
                let name = parse_name(&envelope.name)?;
                Self::Model(model_from_v1(name, parse_spec(envelope.spec)?))
            }
            (RecordKind::Model, _) => {
                let name = parse_name(&envelope.name)?;
                Self::Model(model_from_v2(name, parse_spec(envelope.spec)?))
            }
            (RecordKind::Service, _) => {
                let name = parse_name(&envelope.name)?;
                Self::Service(service_from_spec(name, parse_spec(envelope.spec)?))
            }
            (RecordKind::Drain, _) => {
                let name = parse_name(&envelope.name)?;
                Self::Drain(drain_from_spec(name, parse_spec(envelope.spec)?))
            }
        };
        record.check().map_err(RecordError::Invalid)?;
        Ok(record)
    }
}

/// Converts a record to the given schema version.
///
/// # Errors
///
/// [`RecordError::Unrepresentable`] if version 1 can't represent the whole record,
/// [`RecordError::UnsupportedSchema`] for any version except 1 and 2.
pub fn record_to_envelope(record: &RecordSpec, schema: u32) -> Result<RecordEnvelope, RecordError> {
    let spec = match (record, schema) {
        (RecordSpec::Customer(customer), 1) => to_value(&customer_to_v1(customer)?),
        (RecordSpec::Customer(customer), 2) => to_value(&customer_to_v2(customer)),
        (RecordSpec::Model(model), 1) => to_value(&model_to_v1(model)?),
        (RecordSpec::Model(model), 2) => to_value(&model_to_v2(model)),
        (RecordSpec::Service(service), 1 | 2) => to_value(&service_to_spec(service)),
        (RecordSpec::Drain(drain), 1 | 2) => to_value(&drain_to_spec(drain)),
        _ => return Err(RecordError::UnsupportedSchema(schema)),
    };
    Ok(RecordEnvelope {
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
