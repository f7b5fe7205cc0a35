//! Settings of the request path.

use super::{MINUTE, SECOND, field};
use crate::field::{FieldKind, SettingField};

pub(super) const FIELDS: &[SettingField] = &[
    field(
        "entry",
        "max_body",
        FieldKind::Size(1 << 10, 64 << 20),
        Some("4MiB"),
        "Maximum size of a request body; enough for a long conversation.",
    ),
    field(
        "entry",
        "default_max_tokens",
        FieldKind::Integer(1, 1_000_000),
        Some("256"),
        "Maximum number of generated tokens if the request sets no limit.",
    ),
    field(
        "entry",
        "max_tokens",
        FieldKind::Integer(1, 1_000_000),
        Some("32768"),
        "Highest token limit that a request may set.",
    ),
    field(
        "entry",
        "max_attempts",
        FieldKind::Integer(1, 100),
        Some("8"),
        "Attempts of a request before it fails.",
    ),
    field(
        "entry",
        "request_timeout",
        FieldKind::Duration(SECOND, 60 * MINUTE),
        Some("30s"),
        "Timeout until the response starts if the request sets none in `X-Request-Timeout`.",
    ),
    field(
        "entry",
        "max_request_timeout",
        FieldKind::Duration(SECOND, 60 * MINUTE),
        Some("10m"),
        "Longest timeout that a request may set.",
    ),
    field(
        "entry",
        "start_timeout",
        FieldKind::Duration(100, MINUTE),
        Some("10s"),
        "Timeout until an engine accepts a stream.",
    ),
    field(
        "entry",
        "silence",
        FieldKind::Duration(100, MINUTE),
        Some("8s"),
        "Maximum pause within a stream while recent health evidence shows that the replica works.",
    ),
    field(
        "entry",
        "doubt_silence",
        FieldKind::Duration(100, MINUTE),
        Some("1500ms"),
        "Maximum pause within a stream without such evidence.",
    ),
    field(
        "entry",
        "evidence",
        FieldKind::Duration(500, MINUTE),
        Some("3s"),
        "Maximum age of health evidence with which requests are dispatched to a replica.",
    ),
    field(
        "entry",
        "recovery",
        FieldKind::Duration(SECOND, 10 * MINUTE),
        Some("15s"),
        "Timeout until another replica continues a stream whose replica failed.",
    ),
    field(
        "entry",
        "call_timeout",
        FieldKind::Duration(100, 10 * MINUTE),
        Some("10s"),
        "Timeout of a call to a plain service.",
    ),
    field(
        "entry",
        "drain_grace",
        FieldKind::Duration(0, MINUTE),
        Some("3s"),
        "Time between `/readyz` changing to 503 and the listener closing, so that the load balancer notices.",
    ),
    field(
        "entry",
        "finish",
        FieldKind::Duration(0, 60 * MINUTE),
        Some("20s"),
        "Time after the listener closes in which streams may finish before they are handed over.",
    ),
    field(
        "entry",
        "stop_limit",
        FieldKind::Duration(SECOND, 60 * MINUTE),
        Some("1m"),
        "Time after the handover begins when the remaining requests are aborted.",
    ),
];
