//! Settings of the node itself: addresses, platform services, secrets, logs and TLS.

use super::{LOG_LEVELS, MINUTE, field, required};
use crate::field::{FieldKind, SettingField};

pub(super) const FIELDS: &[SettingField] = &[
    required(
        "",
        "node",
        FieldKind::Id,
        "Name of the node, unique among all nodes.",
    ),
    required(
        "",
        "region",
        FieldKind::Id,
        "Region in which the node runs.",
    ),
    required(
        "",
        "domain",
        FieldKind::Id,
        "Failure domain in which the node runs.",
    ),
    required(
        "",
        "listen",
        FieldKind::Address,
        "Address on which clients connect; port 0 selects a free port.",
    ),
    field(
        "",
        "admin",
        FieldKind::Address,
        None,
        "Address of the admin listener for operators and monitoring; if omitted, there is none.",
    ),
    required(
        "platform",
        "table",
        FieldKind::Address,
        "Address of the table service.",
    ),
    required(
        "platform",
        "objects",
        FieldKind::Address,
        "Address of the object store.",
    ),
    required(
        "platform",
        "hostlist",
        FieldKind::Address,
        "Address of the host list service.",
    ),
    field(
        "platform",
        "timeout",
        FieldKind::Duration(100, MINUTE),
        Some("2s"),
        "Timeout of a call to a service of the platform; a slower store counts as down.",
    ),
    field(
        "secrets",
        "operator_key_file",
        FieldKind::Path,
        None,
        "File with the operators' key. Without a key the node accepts no amendments.",
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
        "File with the key that signs resume tokens, the same on every entry node. Without a key \
a token is valid only in the process that issued it.",
    ),
    field(
        "secrets",
        "resume_key_env",
        FieldKind::Variable,
        None,
        "Environment variable with the key that signs resume tokens.",
    ),
    field(
        "log",
        "level",
        FieldKind::Choice(LOG_LEVELS),
        Some("info"),
        "Minimum level of logged events.",
    ),
    field(
        "log",
        "events",
        FieldKind::Integer(100, 1_000_000),
        Some("20000"),
        "Number of events kept in memory for the timeline, about 400 bytes each.",
    ),
    field(
        "tls",
        "certificate_file",
        FieldKind::Path,
        None,
        "Certificate with its chain, as PEM. Without it clients connect without TLS.",
    ),
    field(
        "tls",
        "key_file",
        FieldKind::Path,
        None,
        "Private key of the certificate, as PEM.",
    ),
    field(
        "tls",
        "reload",
        FieldKind::Duration(100, 60 * MINUTE),
        Some("30s"),
        "Interval between two checks of the files; a renewed pair is used for new connections.",
    ),
];
