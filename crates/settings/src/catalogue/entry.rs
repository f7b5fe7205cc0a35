//! Settings of the request path.

use super::{MINUTE, SECOND, field};
use crate::field::{FieldKind, SettingField};

pub(super) const FIELDS: &[SettingField] = &[
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
];
