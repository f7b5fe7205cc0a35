//! Wire forms of operators' records, schema versions 1 and 2.
//!
//! Version 1 grants whole models, keeps one version of a model and knows no adapters or shares.
//! Version 2 adds adapters, pinned versions, shares, and several versions side by side. Both are
//! read side by side; what a node can't say in version 1 is refused, never shortened.

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

/// The schema versions that this program reads and writes.
pub const SUPPORTED_SCHEMAS: [u32; 2] = [1, 2];

/// Share of a customer whose record has schema version 1.
pub const DEFAULT_SHARE: u32 = 1;

/// The frame of a record of any schema version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RecordEnvelope {
    /// Schema version.
    pub schema: u32,
    /// Kind of the record.
    pub kind: RecordKind,
    /// Name within the kind.
    pub name: String,
    /// Content, by schema version and kind.
    pub spec: Value,
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
    Unrepresentable {
        /// The schema version asked for.
        schema: u32,
        /// What it has no words for.
        place: &'static str,
    },
}

impl TryFrom<RecordEnvelope> for RecordSpec {
    type Error = RecordError;

    fn try_from(frame: RecordEnvelope) -> Result<Self, RecordError> {
        if !SUPPORTED_SCHEMAS.contains(&frame.schema) {
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
/// [`RecordError::Unrepresentable`] when version 1 has no words for a part of it,
/// [`RecordError::UnknownSchema`] for any version but 1 and 2.
pub fn record_to_envelope(record: &RecordSpec, schema: u32) -> Result<RecordEnvelope, RecordError> {
    let spec = match (record, schema) {
        (RecordSpec::Customer(customer), 1) => to_value(&customer_to_v1(customer)?),
        (RecordSpec::Customer(customer), 2) => to_value(&customer_to_v2(customer)),
        (RecordSpec::Model(model), 1) => to_value(&model_to_v1(model)?),
        (RecordSpec::Model(model), 2) => to_value(&model_to_v2(model)),
        (RecordSpec::Service(service), 1 | 2) => to_value(&service_to_spec(service)),
        (RecordSpec::Drain(drain), 1 | 2) => to_value(&drain_to_spec(drain)),
        _ => return Err(RecordError::UnknownSchema(schema)),
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
