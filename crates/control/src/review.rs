//! Checks of an amendment against the configuration in force.
//!
//! They are made before the transaction and not inside it: two amendments that are each fine may
//! together leave a grant without its model. That harms nobody beyond a clear refusal, and making
//! every amendment conditional on all others would turn 2,300 changes a day into conflicts.

use domain::record::{CustomerRecord, DrainRecord, RecordKind, ServiceRecord};
use domain::{FastSet, FindingList, HostId, RecordFinding, RecordSpec};
use wire::record::{KNOWN_SCHEMAS, RecordError, RecordFrame, frame_record};

use crate::view::ConfigView;

/// How much a finding matters.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FindingSeverity {
    /// The record can be accepted; the operator should look at it.
    Warning,
    /// The record must not be accepted.
    Error,
}

/// A finding with its level.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReviewFinding {
    /// How much it matters.
    pub severity: FindingSeverity,
    /// What was found.
    pub finding: RecordFinding,
}

/// Everything that a review found, in the order of the places.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReviewReport {
    /// The findings.
    pub findings: Vec<ReviewFinding>,
}

impl ReviewReport {
    fn add(&mut self, severity: FindingSeverity, path: String, problem: String, advice: &str) {
        let finding = RecordFinding {
            path: path,
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

    /// Whether the record must not be accepted.
    #[must_use]
    pub fn has_errors(&self) -> bool {
        self.findings
            .iter()
            .any(|finding| finding.severity == FindingSeverity::Error)
    }
}

/// Reviews a record that is to be written. `hosts` are those of the host list, where it is known.
///
/// A reference to something that does not exist yet is a warning, so that files can be applied in
/// any order; what would harm callers as soon as it is in force is an error.
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
                    format!("no replica of {} is kept", plan.version),
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
            "give each customer keys of its own: a shared key charges one for the other's calls",
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
                format!("model {} keeps no version {version}", grant.model),
                "name a version of the model's record",
            );
        }
        for (position, adapter) in grant.adapters.iter().enumerate() {
            if model.adapters.contains(adapter) {
                continue;
            }
            report.warn(
                format!("{path}.adapters[{position}]"),
                format!("model {} loads no adapter {adapter}", grant.model),
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
                "{} ran at most once so far and may now be repeated",
                call.path
            ),
            "keep false unless the service itself refuses a second run",
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
            format!("the host list has no host {host}"),
            "check the name; the host list lags behind new hosts",
        );
    }
}

/// Reviews the delete of a record: nothing that customers are granted may go away under them.
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
/// A client of schema version 1 reads a record, does not see its adapters and shares, and writes
/// it back: customers then lose their adapters and a large customer its share, and nobody asked
/// for that. Merging would have to guess whether a model that is gone from the list takes its
/// adapters with it. So the amendment is refused; whoever means it says so in version 2.
#[must_use]
pub fn schema_findings(current: Option<&RecordFrame>, next: Option<&RecordFrame>) -> FindingList {
    let mut findings = FindingList::default();
    let Some(next) = next else { return findings };
    if !KNOWN_SCHEMAS.contains(&next.schema) {
        findings.add(
            "schema",
            format!("schema version {} is unknown here", next.schema),
            "write version 1 or 2, or use a newer program",
        );
        return findings;
    }
    let Some(current) = current else {
        return findings;
    };
    if !KNOWN_SCHEMAS.contains(&current.schema) {
        findings.add(
            "schema",
            format!(
                "the record in force has schema version {}, of which this program can't tell \
                 what version {} would lose",
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
    if let Err(RecordError::Inexpressible { place, .. }) = frame_record(&record, next.schema) {
        findings.add(
            place,
            format!(
                "the record in force says more here than schema version {} can",
                next.schema
            ),
            "write the record in schema version 2",
        );
    }
    findings
}
