//! Headers, stream events and error responses of the protocol between clients and entry nodes.

use serde::{Deserialize, Serialize};

/// Header with the time in seconds within which the response must start.
pub const REQUEST_TIMEOUT_HEADER: &str = "x-request-timeout";

/// Header with the id of the last event that a client received before it resumes a stream.
pub const LAST_EVENT_ID_HEADER: &str = "last-event-id";

/// Name of the last event of a stream on a node that shuts down. It asks the client to send the same
/// request again, at once and to any entry node, with [`LAST_EVENT_ID_HEADER`].
pub const RESUME_EVENT: &str = "resume";

/// Name of the event that ends a stream with an error; its data is an [`ErrorBody`].
pub const ERROR_EVENT: &str = "error";

/// Whether a target ran the request, which decides whether the client may safely repeat it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExecutionState {
    /// It is certain that no target ran the request.
    NotRun,
    /// A target ran the request.
    Ran,
    /// A target may have run the request.
    Unknown,
}

/// Error codes, which are stable across versions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorCode {
    /// The body or a parameter is invalid.
    InvalidRequest,
    /// The body exceeds the size limit.
    BodyTooLarge,
    /// The body did not come in time.
    BodyLate,
    /// The API key is missing or unknown.
    InvalidKey,
    /// The customer has no grant for what it requested.
    NotGranted,
    /// The model, service or path does not exist.
    NotFound,
    /// The path does not support the HTTP method.
    MethodNotAllowed,
    /// A non-idempotent call has no idempotency key.
    KeyRequired,
    /// The idempotency key was already used with another body.
    KeyReused,
    /// The outcome of an earlier call with the same idempotency key is still pending.
    CallPending,
    /// The queue is full, or the request could not be served in time; retry later.
    Overloaded,
    /// No healthy replica serves the model at the moment.
    NoReplica,
    /// The deadline of the request passed.
    DeadlineExceeded,
    /// The platform's store is unreachable, so the call can't be claimed.
    StoreUnavailable,
    /// The node does not know the configuration in force, or is shutting down.
    NotReady,
    /// The target responded with an error or closed the connection early.
    TargetFailed,
    /// The resume token is unknown, forged, or belongs to another customer.
    InvalidResume,
    /// A bug in this program.
    Internal,
}

/// Body of every error response, in the format that `OpenAI` clients expect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Details of the error.
    pub error: ErrorDetail,
}

/// Details of an error.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// Error code.
    pub code: ErrorCode,
    /// What failed, and how the client can resolve it.
    pub message: String,
    /// Error type of the `OpenAI` protocol: `invalid_request_error` or `server_error`.
    #[serde(rename = "type")]
    pub error_type: String,
    /// Field or header of the request that caused the error, if there is one.
    pub param: Option<String>,
    /// Whether a target ran the request.
    pub execution: ExecutionState,
    /// Time in seconds after which to retry, as in `Retry-After`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after: Option<u64>,
    /// Id of the request, as in events and on the timeline.
    pub request: String,
}
