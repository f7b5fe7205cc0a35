//! Catalogue of all settings of a node.

mod control;
mod entry;
mod node;
mod peers;

use crate::field::{FieldKind, SettingField};

/// Sections, in the order of the documentation.
pub const SECTIONS: &[&str] = &[
    "platform",
    "secrets",
    "tls",
    "entry",
    "config",
    "members",
    "peers",
    "control",
    "leases",
    "assembly",
    "watch",
    "ledger",
    "housekeeping",
    "budget",
    "log",
];

/// Returns a description of a section; empty for an unknown one.
#[must_use]
pub fn section_description(section: &str) -> &'static str {
    match section {
        "platform" => "Addresses of the platform's services.",
        "secrets" => {
            "Where secrets are read from: a file or an environment variable, never this file."
        }
        "tls" => "TLS for connections from clients.",
        "entry" => "Handling of clients' requests.",
        "config" => "Polling and confirming the configuration.",
        "members" => "Membership of the entry nodes.",
        "peers" => "Links to other entry nodes.",
        "control" => "Polling the host list and the replica plans.",
        "leases" => "Leases on fabric domains and on housekeeping.",
        "assembly" => "Assembly of replicas by the holder of a fabric domain's lease.",
        "watch" => "Health probes of replicas.",
        "ledger" => "Claims of non-idempotent calls.",
        "housekeeping" => "Cleanup by the holder of the housekeeping lease.",
        "budget" => {
            "The node's share of the table's rate limits, and its circuit breaker for the table."
        }
        "log" => "Logs and the timeline of events.",
        _ => "",
    }
}

const fn field(
    section: &'static str,
    key: &'static str,
    kind: FieldKind,
    default: Option<&'static str>,
    description: &'static str,
) -> SettingField {
    SettingField {
        section,
        key,
        kind,
        default,
        required: false,
        description,
    }
}

const fn required(
    section: &'static str,
    key: &'static str,
    kind: FieldKind,
    description: &'static str,
) -> SettingField {
    SettingField {
        section,
        key,
        kind,
        default: None,
        required: true,
        description,
    }
}

const SECOND: u64 = 1_000;
const MINUTE: u64 = 60 * SECOND;
const LOG_LEVELS: &[&str] = &["debug", "info", "warn", "error"];

/// Iterates over all settings, in the order of the documentation.
pub fn fields() -> impl Iterator<Item = &'static SettingField> {
    let groups = [node::FIELDS, entry::FIELDS, peers::FIELDS, control::FIELDS];
    groups.into_iter().flatten()
}
