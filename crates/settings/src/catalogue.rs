//! Every setting of a node.

use crate::field::{FieldKind, SettingField};

/// Sections, in the order of the docs.
pub const SECTIONS: &[&str] = &[
    "platform", "secrets", "entry", "config", "members", "peers", "log",
];

/// What a section is about.
#[must_use]
pub fn section_text(section: &str) -> &'static str {
    match section {
        "platform" => "The platform's services.",
        "secrets" => {
            "Where secrets are read from: a file or an environment variable, never this file."
        }
        "entry" => "The request path.",
        "config" => "Following the configuration.",
        "members" => "Knowing the other entry hosts.",
        "peers" => "Links to other entry hosts.",
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
        "entry",
        "max_body",
        FieldKind::Size(1 << 10, 64 << 20),
        Some("4MiB"),
        "Largest body of a request: a long conversation with room to spare.",
    ),
    field(
        "entry",
        "default_max_tokens",
        FieldKind::Count(1, 1_000_000),
        Some("256"),
        "Tokens of an answer when the caller names no limit.",
    ),
    field(
        "entry",
        "max_tokens",
        FieldKind::Count(1, 1_000_000),
        Some("32768"),
        "Most tokens that a caller may ask for.",
    ),
    field(
        "entry",
        "max_attempts",
        FieldKind::Count(1, 100),
        Some("8"),
        "Attempts of one request before it is given up.",
    ),
    field(
        "entry",
        "request_timeout",
        FieldKind::Duration(SECOND, 60 * MINUTE),
        Some("30s"),
        "Wait for the answer's begin when the caller names none in `X-Request-Timeout`.",
    ),
    field(
        "entry",
        "max_request_timeout",
        FieldKind::Duration(SECOND, 60 * MINUTE),
        Some("10m"),
        "Longest wait that a caller may name.",
    ),
    field(
        "entry",
        "start_timeout",
        FieldKind::Duration(100, MINUTE),
        Some("10s"),
        "Wait for an engine to take a stream.",
    ),
    field(
        "entry",
        "silence",
        FieldKind::Duration(100, MINUTE),
        Some("8s"),
        "Silence within a stream, with fresh evidence that the replica is whole.",
    ),
    field(
        "entry",
        "doubt_silence",
        FieldKind::Duration(100, MINUTE),
        Some("1500ms"),
        "Silence within a stream without such evidence.",
    ),
    field(
        "entry",
        "evidence",
        FieldKind::Duration(500, MINUTE),
        Some("3s"),
        "Oldest evidence of wholeness that allows dispatch.",
    ),
    field(
        "entry",
        "recovery",
        FieldKind::Duration(SECOND, 10 * MINUTE),
        Some("15s"),
        "Wait for another replica after one was lost within a stream.",
    ),
    field(
        "entry",
        "call_timeout",
        FieldKind::Duration(100, 10 * MINUTE),
        Some("10s"),
        "Wait for an answer of a plain service.",
    ),
    field(
        "entry",
        "drain_grace",
        FieldKind::Duration(0, MINUTE),
        Some("3s"),
        "Time between `/readyz` turning 503 and the listener's close, so that the balancer notices.",
    ),
    field(
        "entry",
        "finish",
        FieldKind::Duration(0, 60 * MINUTE),
        Some("20s"),
        "Time after the listener's close in which streams may finish before they are handed over.",
    ),
    field(
        "entry",
        "stop_limit",
        FieldKind::Duration(SECOND, 60 * MINUTE),
        Some("1m"),
        "Time after the hand-over after which what still runs is cut off.",
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
        "members",
        "beat",
        FieldKind::Duration(200, MINUTE),
        Some("5s"),
        "Mean time between two heartbeats over the links.",
    ),
    field(
        "members",
        "write",
        FieldKind::Duration(200, MINUTE),
        Some("10s"),
        "Mean time between two writes of the node's row.",
    ),
    field(
        "members",
        "list",
        FieldKind::Duration(SECOND, 60 * MINUTE),
        Some("5m"),
        "Mean time between two listings of all rows by a node that has peers.",
    ),
    field(
        "members",
        "dead",
        FieldKind::Duration(SECOND, 10 * MINUTE),
        Some("20s"),
        "A node that is silent for this time counts as dead; three heartbeats at least.",
    ),
    field(
        "members",
        "unheard",
        FieldKind::Duration(SECOND, 15 * SECOND),
        Some("10s"),
        "A node whose heartbeat no link brought for this time is not heard; the small side of a partition goes on for so long.",
    ),
    field(
        "members",
        "expire",
        FieldKind::Duration(5 * SECOND, 60 * MINUTE),
        Some("2m"),
        "The row of a node that is silent for this time is deleted.",
    ),
    field(
        "peers",
        "listen",
        FieldKind::Address,
        None,
        "Where other nodes connect; left out, a free port on the callers' address.",
    ),
    field(
        "peers",
        "key_file",
        FieldKind::Path,
        None,
        "File with the key that all nodes share. Without a key there are no links.",
    ),
    field(
        "peers",
        "key_env",
        FieldKind::Variable,
        None,
        "Environment variable with the key that all nodes share.",
    ),
    field(
        "peers",
        "seeds",
        FieldKind::Addresses,
        Some("[]"),
        "Peer addresses of some nodes, asked while this one knows no other.",
    ),
    field(
        "peers",
        "degree",
        FieldKind::Count(2, 8),
        Some("4"),
        "Links that the node makes; about as many are made to it.",
    ),
    field(
        "peers",
        "exchange",
        FieldKind::Duration(100, 10 * SECOND),
        Some("1s"),
        "Mean time between two exchanges on a link; news of the configuration go out at once.",
    ),
    field(
        "peers",
        "timeout",
        FieldKind::Duration(200, 5 * SECOND),
        Some("2s"),
        "An exchange that takes longer ends the link.",
    ),
    field(
        "peers",
        "avoid",
        FieldKind::Duration(500, MINUTE),
        Some("10s"),
        "A peer whose link failed is avoided for this time.",
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
