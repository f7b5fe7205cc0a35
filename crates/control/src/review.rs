//! Checks of an amendment against the configuration in force.
//!
//! They run before the transaction instead of inside it: two amendments that are each valid may
//! together leave a grant without its model. That only leads to a clear refusal, whereas making
//! every amendment conditional on all others would turn 2,300 changes a day into conflicts.

use domain::record::{CustomerRecord, DrainRecord, RecordKind, ServiceRecord};
use domain::{FastSet, FindingList, HostId, RecordFinding, RecordSpec};
use wire::record::{RecordEnvelope, RecordError, SUPPORTED_SCHEMAS, record_to_envelope};

use crate::view::ConfigView;

/// How severe a finding is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FindingSeverity {
    /// The record can be accepted; the operator should check the finding.
    Warning,
    /// The record must not be accepted.
    Error,
}

/// A finding with its severity.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReviewFinding {
    /// Decides whether the record can be accepted.
    pub severity: FindingSeverity,
    /// Path, problem and advice for the operator.
    pub finding: RecordFinding,
}

/// All findings of a review, in the order of their paths.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReviewReport {
    /// Warnings and errors.
    pub findings: Vec<ReviewFinding>,
}

impl ReviewReport {
    fn add(&mut self, severity: FindingSeverity, path: String, problem: String, advice: &str) {
        let finding = RecordFinding {
            path,
            problem,
            advice: advice.to_owned(),
        };
        self.findings.push(ReviewFinding { severity, finding });
    }

    fn warn(&mut self, path: String, problem: String, advice: &str) {
        self.add(FindingSeverity::Warning, path, problem, advice);
    }

    fn refuse(&mut self, path: String, problem: String, advice: &str) {
        self.add(FindingSeverity::Error, path, problem, advice);
    }

    /// Whether any finding prevents the record from being accepted.
    #[must_use]
    pub fn has_errors(&self) -> bool {
        self.findings
            .iter()
            .any(|finding| finding.severity == FindingSeverity::Error)
    }
}

/// Reviews a record that is to be written. `hosts` are those of the host list, if known.
///
/// A reference to something that does not exist yet is a warning, so that files can be applied in
/// any order; what would harm clients as soon as it is in force is an error.
#[must_use]
pub fn review_record(
    view: &ConfigView,
    record: &RecordSpec,
    hosts: Option<&FastSet<HostId>>,
) -> ReviewReport {
    let mut report = ReviewReport::default();
    match record {
        RecordSpec::Customer(customer) => review_customer(view, customer, &mut report),
        RecordSpec::Service(service) => review_service(view, service, &mut report),
        RecordSpec::Drain(drain) => review_drain(drain, hosts, &mut report),
        RecordSpec::Model(model) => {
            for (index, plan) in model.versions.iter().enumerate() {
                if plan.replicas > 0 {
                    continue;
                }
                report.warn(
                    format!("spec.versions[{index}].replicas"),
                    format!("version {} has no replicas", plan.version),
                    "remove the version once no customer is pinned to it",
                );
            }
        }
    }
    report
}

fn review_customer(view: &ConfigView, customer: &CustomerRecord, report: &mut ReviewReport) {
    for (index, hash) in customer.key_hashes.iter().enumerate() {
        let owner = view.key_owners.get(&hash.to_lowercase());
        let Some(owner) = owner.filter(|owner| **owner != customer.name) else {
            continue;
        };
        report.refuse(
            format!("spec.key_hashes[{index}]"),
            format!("the key belongs to customer {owner}"),
            "use separate keys for each customer: calls with a shared key are charged to one of them",
        );
    }
    for (index, grant) in customer.grants.iter().enumerate() {
        let path = format!("spec.grants[{index}]");
        let Some(model) = view.models.get(&grant.model) else {
            report.warn(
                format!("{path}.model"),
                format!("there is no model {}", grant.model),
                "write the model's record, or remove the grant",
            );
            continue;
        };
        if let Some(version) = &grant.version
            && !model.versions.iter().any(|plan| plan.version == *version)
        {
            report.warn(
                format!("{path}.version"),
                format!("model {} has no version {version}", grant.model),
                "use a version from the model's record",
            );
        }
        for (position, adapter) in grant.adapters.iter().enumerate() {
            if model.adapters.contains(adapter) {
                continue;
            }
            report.warn(
                format!("{path}.adapters[{position}]"),
                format!("model {} has no adapter {adapter}", grant.model),
                "add it to the model's record, or remove it here",
            );
        }
    }
    for (index, service) in customer.services.iter().enumerate() {
        if view.services.contains_key(service) {
            continue;
        }
        report.warn(
            format!("spec.services[{index}]"),
            format!("there is no service {service}"),
            "write the service's record, or remove the grant",
        );
    }
}

fn review_service(view: &ConfigView, service: &ServiceRecord, report: &mut ReviewReport) {
    let Some(current) = view.services.get(&service.name) else {
        return;
    };
    for (index, call) in service.calls.iter().enumerate() {
        let was_non_idempotent = current
            .calls
            .iter()
            .any(|other| other.path == call.path && !other.idempotent);
        if !was_non_idempotent || !call.idempotent {
            continue;
        }
        report.warn(
            format!("spec.calls[{index}].idempotent"),
            format!(
                "{} was not idempotent so far and may now be retried",
                call.path
            ),
            "keep false unless the service itself rejects a second execution",
        );
    }
}

fn review_drain(drain: &DrainRecord, hosts: Option<&FastSet<HostId>>, report: &mut ReviewReport) {
    let Some(hosts) = hosts else { return };
    for (index, host) in drain.hosts.iter().enumerate() {
        if hosts.contains(host) {
            continue;
        }
        report.warn(
            format!("spec.hosts[{index}]"),
            format!("the host list does not contain host {host}"),
            "check the name; the host list lags behind new hosts",
        );
    }
}

/// Reviews the deletion of a record: a model or service that customers are granted must stay.
#[must_use]
pub fn review_delete(view: &ConfigView, kind: RecordKind, name: &str) -> ReviewReport {
    let mut report = ReviewReport::default();
    for customer in view.customers.values() {
        let granted = match kind {
            RecordKind::Model => customer
                .grants
                .iter()
                .any(|grant| grant.model.as_str() == name),
            RecordKind::Service => customer.services.iter().any(|own| own.as_str() == name),
            RecordKind::Customer | RecordKind::Drain => false,
        };
        if !granted {
            continue;
        }
        report.refuse(
            "name".to_owned(),
            format!("customer {} is granted {name}", customer.name),
            "remove the grant first",
        );
    }
    report
        .findings
        .sort_by(|left, right| left.finding.problem.cmp(&right.finding.problem));
    report
}

/// Finds what an amendment would lose of the record in force because of its schema version.
///
/// A client of schema version 1 reads a record, does not see its adapters and shares, and writes it
/// back: customers would lose their adapters and a large customer its share, without anyone asking
/// for it. Merging would have to guess whether a model that is gone from the list takes its
/// adapters with it. The amendment is therefore refused; an operator who intends the loss uses
/// version 2.
#[must_use]
pub fn schema_findings(
    current: Option<&RecordEnvelope>,
    next: Option<&RecordEnvelope>,
) -> FindingList {
    let mut findings = FindingList::default();
    let Some(next) = next else { return findings };
    if !SUPPORTED_SCHEMAS.contains(&next.schema) {
        findings.add(
            "schema",
            format!("schema version {} is not supported", next.schema),
            "use schema version 1 or 2, or a newer program",
        );
        return findings;
    }
    let Some(current) = current else {
        return findings;
    };
    if !SUPPORTED_SCHEMAS.contains(&current.schema) {
        findings.add(
            "schema",
            format!(
                "the record in force has the unsupported schema version {}, so this program \
                 can't tell what version {} would lose",
                current.schema, next.schema
            ),
            "use a newer program, or delete the record first",
        );
        return findings;
    }
    if next.schema >= current.schema {
        return findings;
    }
    let Ok(record) = RecordSpec::try_from(current.clone()) else {
        return findings;
    };
    if let Err(RecordError::Unrepresentable { place, .. }) =
        record_to_envelope(&record, next.schema)
    {
        findings.add(
            place,
            format!(
                "the record in force has a value here that schema version {} can't express",
                next.schema
            ),
            "write the record in schema version 2",
        );
    }
    findings
}
