//! Every setting of a node.

use crate::field::{FieldKind, SettingField};

/// Sections, in the order of the docs.
pub const SECTIONS: &[&str] = &["platform", "secrets", "config", "members", "log"];

/// What a section is about.
#[must_use]
pub fn section_text(section: &str) -> &'static str {
    match section {
        "platform" => "The platform's services.",
        "secrets" => {
            "Where secrets are read from: a file or an environment variable, never this file."
        }
        "config" => "Following the configuration.",
        "members" => "Knowing the other entry hosts.",
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

/// Every setting.
pub const FIELDS: &[SettingField] = &[
    required(
        "",
        "node",
        FieldKind::Id,
        "Name of the node, unlike every other's.",
    ),
    required("", "region", FieldKind::Id, "Region of the node."),
    required("", "domain", FieldKind::Id, "Failure domain of the node."),
    required(
        "",
        "listen",
        FieldKind::Address,
        "Where callers connect; port 0 takes a free one.",
    ),
    field(
        "",
        "admin",
        FieldKind::Address,
        None,
        "Where operators and monitoring connect; left out, there is no such listener.",
    ),
    required(
        "platform",
        "table",
        FieldKind::Address,
        "The table service.",
    ),
    required(
        "platform",
        "objects",
        FieldKind::Address,
        "The object store.",
    ),
    required("platform", "hostlist", FieldKind::Address, "The host list."),
    field(
        "platform",
        "timeout",
        FieldKind::Duration(100, MINUTE),
        Some("2s"),
        "Longest wait for an answer; a slower store counts as down.",
    ),
    field(
        "secrets",
        "operator_key_file",
        FieldKind::Path,
        None,
        "File with the operators' key. Without a key the node takes no amendments.",
    ),
    field(
        "secrets",
        "operator_key_env",
        FieldKind::Variable,
        None,
        "Environment variable with the operators' key.",
    ),
    field(
        "config",
        "poll",
        FieldKind::Duration(100, 10 * SECOND),
        Some("2s"),
        "Mean time between two reads of the head.",
    ),
    field(
        "config",
        "confirm",
        FieldKind::Duration(2 * SECOND, 15 * SECOND),
        Some("8s"),
        "A node that can't confirm its configuration steps out of service after this time.",
    ),
    field(
        "config",
        "settle",
        FieldKind::Duration(SECOND, MINUTE),
        Some("12s"),
        "How long a starting node must hear more than half of the members while the store is down.",
    ),
    field(
        "config",
        "snapshot_every",
        FieldKind::Count(10, 10_000),
        Some("250"),
        "Revisions between two snapshots.",
    ),
    field(
        "config",
        "keep_changes",
        FieldKind::Count(100, 100_000),
        Some("5000"),
        "Changes that stay in the log behind the newest snapshot.",
    ),
    field(
        "log",
        "level",
        FieldKind::Word(LEVELS),
        Some("info"),
        "Lowest level that is logged.",
    ),
    field(
        "log",
        "events",
        FieldKind::Count(100, 1_000_000),
        Some("20000"),
        "Events kept in memory for the time line, about 400 bytes each.",
    ),
];
