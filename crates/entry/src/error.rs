//! Errors of client requests and the HTTP responses for them.

use std::time::Duration;

use domain::RequestId;
use http::{HeaderValue, Method, StatusCode, header};
use web::{WebResponse, json_response};
use wire::client_api::{ErrorBody, ErrorCode, ErrorDetail, ExecutionState};

/// Error that ends a client request.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{message}")]
pub struct RequestError {
    /// Stable code that clients can match on.
    pub code: ErrorCode,
    /// What happened and what the client can do about it.
    pub message: String,
    /// Parameter, header or body field that caused the error, if it was one.
    pub param: Option<String>,
    /// Whether the request was executed.
    pub execution: ExecutionState,
    /// Delay before a retry, sent as `Retry-After`; none if a retry would not help.
    pub retry_after: Option<Duration>,
    /// Method that the path accepts, sent as `Allow`.
    pub allowed_method: Option<Method>,
}

impl RequestError {
    /// Creates an error for a request that was not executed.
    #[must_use]
    pub fn not_run(code: ErrorCode, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            param: None,
            execution: ExecutionState::NotRun,
            retry_after: None,
            allowed_method: None,
        }
    }

    /// Creates an error for a request that may have been executed.
    #[must_use]
    pub fn unknown(code: ErrorCode, message: impl Into<String>) -> Self {
        Self {
            execution: ExecutionState::Unknown,
            ..Self::not_run(code, message)
        }
    }

    /// Marks the request as possibly executed.
    #[must_use]
    pub fn with_unknown_execution(mut self) -> Self {
        self.execution = ExecutionState::Unknown;
        self
    }

    /// Sets the parameter, header or body field that caused the error.
    #[must_use]
    pub fn with_param(mut self, param: impl Into<String>) -> Self {
        self.param = Some(param.into());
        self
    }

    /// Sets the delay before a retry.
    #[must_use]
    pub fn with_retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Sets the method that the path accepts.
    #[must_use]
    pub fn with_allowed_method(mut self, method: Method) -> Self {
        self.allowed_method = Some(method);
        self
    }

    /// Returns the HTTP status for the code.
    #[must_use]
    pub fn status(&self) -> StatusCode {
        match self.code {
            ErrorCode::InvalidRequest | ErrorCode::KeyRequired | ErrorCode::InvalidResume => {
                StatusCode::BAD_REQUEST
            }
            ErrorCode::BodyLate => StatusCode::REQUEST_TIMEOUT,
            ErrorCode::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            ErrorCode::InvalidKey => StatusCode::UNAUTHORIZED,
            ErrorCode::NotGranted => StatusCode::FORBIDDEN,
            ErrorCode::NotFound => StatusCode::NOT_FOUND,
            ErrorCode::MethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
            ErrorCode::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
            ErrorCode::CallPending => StatusCode::CONFLICT,
            ErrorCode::Overloaded => StatusCode::TOO_MANY_REQUESTS,
            ErrorCode::NoReplica | ErrorCode::StoreUnavailable | ErrorCode::NotReady => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            ErrorCode::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
            ErrorCode::TargetFailed => StatusCode::BAD_GATEWAY,
            ErrorCode::Internal => StatusCode::INTERNAL_SERVER_ERROR,
        }
    }

    /// Returns the response body in the error format of `OpenAI` clients.
    #[must_use]
    pub fn body(&self, request_id: &RequestId) -> ErrorBody {
        let error_type = if self.status().is_client_error() {
            "invalid_request_error"
        } else {
            "server_error"
        };
        ErrorBody {
            error: ErrorDetail {
                code: self.code,
                message: self.message.clone(),
                error_type: error_type.to_owned(),
                param: self.param.clone(),
                execution: self.execution,
                retry_after: self.retry_after.map(round_up_to_seconds),
                request: request_id.to_string(),
            },
        }
    }

    /// Returns the complete response with its headers.
    #[must_use]
    pub fn response(&self, request_id: &RequestId) -> WebResponse {
        let mut response = json_response(self.status(), &self.body(request_id));
        if let Some(after) = self.retry_after {
            let value = HeaderValue::from(round_up_to_seconds(after));
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
        if let Some(method) = &self.allowed_method
            && let Ok(value) = HeaderValue::from_str(method.as_str())
        {
            response.headers_mut().insert(header::ALLOW, value);
        }
        response
    }
}

/// Rounds up to whole seconds and at least 1. `Retry-After` has no fractions, and 0 would make all
/// clients retry at once.
fn round_up_to_seconds(time: Duration) -> u64 {
    let seconds = time.as_secs() + u64::from(time.subsec_nanos() > 0);
    seconds.max(1)
}
