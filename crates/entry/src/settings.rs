//! Settings of the request path.

use std::fmt;
use std::time::Duration;

use bon::Builder;
use serde::Deserialize;

/// Settings of the request path, in the section `entry` of the node's settings file.
///
/// Fields with the suffix `_ms` are in milliseconds.
#[derive(Debug, Clone, PartialEq, Eq, Builder, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EntrySettings {
    /// Secret that signs resume tokens, identical on all entry hosts. Without it each process
    /// generates its own, and a token is valid only at the process that issued it.
    pub resume_key: Option<SecretText>,
    /// Most connections of clients at once; without it as many as the descriptors of the process bear.
    pub max_connections: Option<usize>,
    /// Maximum size of a request body in bytes; 4 MiB leaves headroom for long conversations.
    #[builder(default = 4 << 20)]
    pub max_body_bytes: usize,
    /// Most requests that are handled at once; without it as many as the descriptors of the process bear.
    pub max_requests: Option<usize>,
    /// Memory that the requests of all clients may take together, with their bodies and responses, in bytes.
    #[builder(default = 64 << 20)]
    pub held_memory_bytes: usize,
    /// Time for which a client may take nothing of its response.
    #[builder(default = 60_000)]
    pub read_timeout_ms: u64,
    /// Time without a request after which a connection is closed.
    #[builder(default = 60_000)]
    pub idle_timeout_ms: u64,
    /// Timeout for a request body to arrive.
    #[builder(default = 30_000)]
    pub body_timeout_ms: u64,
    /// Maximum number of tokens of a response if the request sets no limit.
    #[builder(default = 256)]
    pub default_max_tokens: u32,
    /// Largest token limit that a request may set.
    #[builder(default = 32_768)]
    pub max_tokens: u32,
    /// Timeout until the response starts, for requests without `X-Request-Timeout`.
    #[builder(default = 30_000)]
    pub request_timeout_ms: u64,
    /// Largest timeout that a request may set.
    #[builder(default = 600_000)]
    pub max_request_timeout_ms: u64,
    /// Timeout for an engine to accept a stream.
    #[builder(default = 10_000)]
    pub start_timeout_ms: u64,
    /// Maximum time between two events of a stream while fresh evidence shows that the replica is
    /// complete.
    #[builder(default = 8_000)]
    pub silence_ms: u64,
    /// The same limit without such evidence; only effective if it is lower.
    #[builder(default = 1_500)]
    pub doubt_silence_ms: u64,
    /// Maximum age of health evidence for dispatching to a replica.
    #[builder(default = 3_000)]
    pub evidence_ms: u64,
    /// Timeout for finding another replica after one was lost in mid-stream.
    #[builder(default = 15_000)]
    pub recovery_ms: u64,
    /// Maximum number of attempts per request.
    #[builder(default = 8)]
    pub max_attempts: u32,
    /// Timeout of a call to a plain service.
    #[builder(default = 10_000)]
    pub call_timeout_ms: u64,
    /// Delay between `/readyz` returning 503 and closing the listener, so that the load balancer
    /// notices.
    #[builder(default = 3_000)]
    pub drain_grace_ms: u64,
    /// Time that running requests have after the listener has closed, before streams are handed
    /// over.
    #[builder(default = 20_000)]
    pub finish_ms: u64,
    /// Time after the handover at which the remaining connections are closed.
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
    /// Returns [`EntrySettings::request_timeout_ms`] as a duration.
    request_timeout = request_timeout_ms;
    /// Returns [`EntrySettings::max_request_timeout_ms`] as a duration.
    max_request_timeout = max_request_timeout_ms;
    /// Returns [`EntrySettings::start_timeout_ms`] as a duration.
    start_timeout = start_timeout_ms;
    /// Returns [`EntrySettings::silence_ms`] as a duration.
    silence = silence_ms;
    /// Returns [`EntrySettings::doubt_silence_ms`] as a duration.
    doubt_silence = doubt_silence_ms;
    /// Returns [`EntrySettings::evidence_ms`] as a duration.
    max_evidence_age = evidence_ms;
    /// Returns [`EntrySettings::recovery_ms`] as a duration.
    recovery = recovery_ms;
    /// Returns [`EntrySettings::call_timeout_ms`] as a duration.
    call_timeout = call_timeout_ms;
    /// Returns [`EntrySettings::body_timeout_ms`] as a duration.
    body_timeout = body_timeout_ms;
    /// Returns [`EntrySettings::read_timeout_ms`] as a duration.
    read_timeout = read_timeout_ms;
    /// Returns [`EntrySettings::idle_timeout_ms`] as a duration.
    idle_timeout = idle_timeout_ms;
    /// Returns [`EntrySettings::drain_grace_ms`] as a duration.
    drain_grace = drain_grace_ms;
    /// Returns [`EntrySettings::finish_ms`] as a duration.
    finish = finish_ms;
    /// Returns [`EntrySettings::stop_limit_ms`] as a duration.
    stop_limit = stop_limit_ms;
}

/// A secret whose `Debug` output hides its value.
#[derive(Clone, PartialEq, Eq, Deserialize)]
#[serde(transparent)]
pub struct SecretText(String);

impl SecretText {
    /// Returns the secret in plain text.
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
