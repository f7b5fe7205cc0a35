//! Every setting of a node.

mod control;
mod entry;
mod node;
mod peers;

use crate::field::{FieldKind, SettingField};

/// Sections, in the order of the docs.
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

/// What a section is about.
#[must_use]
pub fn section_text(section: &str) -> &'static str {
    match section {
        "platform" => "The platform's services.",
        "secrets" => {
            "Where secrets are read from: a file or an environment variable, never this file."
        }
        "tls" => "TLS towards callers.",
        "entry" => "The request path.",
        "config" => "Following the configuration.",
        "members" => "Knowing the other entry hosts.",
        "peers" => "Links to other entry hosts.",
        "control" => "Following hosts and replicas.",
        "leases" => "Leases on fabric domains and housekeeping.",
        "assembly" => "Assembly of replicas, by the holder of a fabric domain's lease.",
        "watch" => "Evidence that replicas are whole.",
        "ledger" => "Claims of non-idempotent calls.",
        "housekeeping" => "Cleaning up, by the holder of the housekeeping lease.",
        "budget" => {
            "The node's part of the table's limits, and what it does while the table fails."
        }
        "log" => "Logs and the time line.",
        _ => "",
    }
}

const fn field(
    section: &'static str,
    key: &'static str,
    kind: FieldKind,
    default: Option<&'static str>,
    text: &'static str,
) -> SettingField {
    SettingField {
        section,
        key,
        kind,
        default,
        required: false,
        text,
    }
}

const fn required(
    section: &'static str,
    key: &'static str,
    kind: FieldKind,
    text: &'static str,
) -> SettingField {
    SettingField {
        section,
        key,
        kind,
        default: None,
        required: true,
        text,
    }
}

const SECOND: u64 = 1_000;
const MINUTE: u64 = 60 * SECOND;
const LEVELS: &[&str] = &["debug", "info", "warn", "error"];

/// Every setting, in the order of the docs.
pub fn fields() -> impl Iterator<Item = &'static SettingField> {
    let groups = [node::FIELDS, entry::FIELDS, peers::FIELDS, control::FIELDS];
    groups.into_iter().flatten()
}
