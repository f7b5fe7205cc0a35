//! Settings of the request path.

use std::fmt;
use std::time::Duration;

use bon::Builder;
use serde::Deserialize;

/// Settings of the request path, under `entry` in the node's settings file.
///
/// Times are in milliseconds.
#[derive(Debug, Clone, PartialEq, Eq, Builder, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EntrySettings {
    /// Secret that seals resume tokens; the same on every entry host. Without it each process
    /// makes its own, and a token works only at the process that gave it.
    pub resume_key: Option<SecretText>,
    /// Largest body of a request, in bytes: a long conversation with room to spare.
    #[builder(default = 4 << 20)]
    pub max_body_bytes: usize,
    /// Tokens of an answer when the caller names no limit.
    #[builder(default = 256)]
    pub default_max_tokens: u32,
    /// Most tokens that a caller may ask for.
    #[builder(default = 32_768)]
    pub max_tokens: u32,
    /// Wait for the answer's begin when the caller names none in `X-Request-Timeout`.
    #[builder(default = 30_000)]
    pub request_timeout_ms: u64,
    /// Longest wait that a caller may name.
    #[builder(default = 600_000)]
    pub max_request_timeout_ms: u64,
    /// Wait for an engine to take a stream.
    #[builder(default = 10_000)]
    pub start_timeout_ms: u64,
    /// Silence within a stream, with fresh evidence that the replica is whole.
    #[builder(default = 8_000)]
    pub silence_ms: u64,
    /// Silence within a stream without such evidence.
    #[builder(default = 1_500)]
    pub doubt_silence_ms: u64,
    /// Oldest evidence of wholeness that allows dispatch.
    #[builder(default = 3_000)]
    pub evidence_ms: u64,
    /// Wait for another replica after one was lost within a stream.
    #[builder(default = 15_000)]
    pub recovery_ms: u64,
    /// Attempts of one request before it is given up.
    #[builder(default = 8)]
    pub max_attempts: u32,
    /// Wait for an answer of a plain service.
    #[builder(default = 10_000)]
    pub call_timeout_ms: u64,
    /// Time between `/readyz` turning 503 and the listener's close, so that the balancer notices.
    #[builder(default = 3_000)]
    pub drain_grace_ms: u64,
    /// Time after the listener's close in which streams may finish before they are handed over.
    #[builder(default = 20_000)]
    pub finish_ms: u64,
    /// Time after the hand-over after which what still runs is cut off.
    #[builder(default = 60_000)]
    pub stop_limit_ms: u64,
}

impl Default for EntrySettings {
    fn default() -> Self {
        Self::builder().build()
    }
}

macro_rules! durations {
    ($($(#[$doc:meta])* $name:ident = $field:ident;)*) => {
        impl EntrySettings {
            $($(#[$doc])*
            #[must_use]
            pub fn $name(&self) -> Duration {
                Duration::from_millis(self.$field)
            })*
        }
    };
}

durations! {
    /// [`EntrySettings::request_timeout_ms`].
    request_timeout = request_timeout_ms;
    /// [`EntrySettings::max_request_timeout_ms`].
    max_request_timeout = max_request_timeout_ms;
    /// [`EntrySettings::start_timeout_ms`].
    start_timeout = start_timeout_ms;
    /// [`EntrySettings::silence_ms`].
    silence = silence_ms;
    /// [`EntrySettings::doubt_silence_ms`].
    doubt_silence = doubt_silence_ms;
    /// [`EntrySettings::evidence_ms`].
    max_evidence_age = evidence_ms;
    /// [`EntrySettings::recovery_ms`].
    recovery = recovery_ms;
    /// [`EntrySettings::call_timeout_ms`].
    call_timeout = call_timeout_ms;
    /// [`EntrySettings::drain_grace_ms`].
    drain_grace = drain_grace_ms;
    /// [`EntrySettings::finish_ms`].
    finish = finish_ms;
    /// [`EntrySettings::stop_limit_ms`].
    stop_limit = stop_limit_ms;
}

/// A secret that is never printed.
#[derive(Clone, PartialEq, Eq, Deserialize)]
#[serde(transparent)]
pub struct SecretText(String);

impl SecretText {
    /// Its bytes.
    #[must_use]
    pub fn as_bytes(&self) -> &[u8] {
        self.0.as_bytes()
    }
}

impl From<&str> for SecretText {
    fn from(text: &str) -> Self {
        Self(text.to_owned())
    }
}

impl fmt::Debug for SecretText {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("SecretText(hidden)")
    }
}
