//! Settings of the node itself, its secrets and its logs.

use super::{LEVELS, MINUTE, field, required};
use crate::field::{FieldKind, SettingField};

pub(super) const FIELDS: &[SettingField] = &[
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
        "secrets",
        "resume_key_file",
        FieldKind::Path,
        None,
        "File with the key that seals resume tokens, the same on every entry host. Without a key \
a token works only at the process that gave it.",
    ),
    field(
        "secrets",
        "resume_key_env",
        FieldKind::Variable,
        None,
        "Environment variable with the key that seals resume tokens.",
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
    field(
        "tls",
        "certificate_file",
        FieldKind::Path,
        None,
        "Certificate with its chain, as PEM. Without it callers connect without TLS.",
    ),
    field(
        "tls",
        "key_file",
        FieldKind::Path,
        None,
        "Its private key, as PEM.",
    ),
    field(
        "tls",
        "reload",
        FieldKind::Duration(100, 60 * MINUTE),
        Some("30s"),
        "Time between two looks at the files; a renewed pair serves new connections.",
    ),
];
