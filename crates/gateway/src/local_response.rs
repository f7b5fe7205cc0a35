//! Responses that the gateway generates itself.

use std::time::Duration;

use bytes::Bytes;
use domain::RequestId;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::Full;

/// A final response that does not come from a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LocalResponse {
    /// No route matches the host and path.
    NoRoute,
    /// The route needs an API key, and the request has none or an unknown one.
    Unauthorized,
    /// The request body exceeds the configured size limit.
    BodyTooLarge,
    /// The request body ended early or can't be read.
    IncompleteBody,
    /// The request body did not arrive completely in time; the request was not executed and will not be.
    LateBody,
    /// Targets crashed while running this request, or others with the same prompt parts, so it is not
    /// sent to any. Not retryable: the same content gets the same response.
    Blocked,
    /// The request was not executed and will not be; the client may retry after this delay.
    NotExecuted(Duration),
    /// The request may have been executed, but its response was lost.
    ResponseLost,
    /// The deadline passed after the request was sent.
    TimedOut,
}

impl LocalResponse {
    /// HTTP status code of the response.
    #[must_use]
    pub fn status(self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::Unauthorized => StatusCode::UNAUTHORIZED,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::IncompleteBody | Self::Blocked => StatusCode::BAD_REQUEST,
            Self::LateBody => StatusCode::REQUEST_TIMEOUT,
            Self::NotExecuted(_) => StatusCode::SERVICE_UNAVAILABLE,
            Self::ResponseLost => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Builds the response, with an empty body. `id` is the client's request id, which is echoed in
    /// the headers.
    #[must_use]
    pub fn into_http(self, id: Option<&RequestId>) -> Response<Full<Bytes>> {
        let mut response = Response::new(Full::new(Bytes::new()));
        *response.status_mut() = self.status();
        *response.headers_mut() = adapter::headers::local_response_headers(id);
        if let Self::NotExecuted(retry_after) = self
            && let Ok(value) = HeaderValue::from_str(&format!("{:.3}", retry_after.as_secs_f64()))
        {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
        response
    }
}
