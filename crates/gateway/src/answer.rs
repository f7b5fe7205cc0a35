//! Answers of the gateway itself.

use std::time::Duration;

use bytes::Bytes;
use domain::RequestId;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::Full;

/// A final answer that no target gave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnAnswer {
    /// No route.
    NoRoute,
    /// The key is unknown or missing.
    UnknownKey,
    /// The body is larger than allowed.
    TooLarge,
    /// The body did not arrive whole.
    BadBody,
    /// Targets end under the request, and it is sent to no more. A caller that sends it again gets the
    /// same answer.
    EndsTargets,
    /// The request did not run and never will; worth trying again after this time.
    NotRun(Duration),
    /// The request may have run; its answer is lost.
    Lost,
    /// Its time was over after it was sent.
    TimedOut,
}

impl OwnAnswer {
    /// The status.
    #[must_use]
    pub fn status(self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BadBody | Self::EndsTargets => StatusCode::BAD_REQUEST,
            Self::NotRun(_) => StatusCode::SERVICE_UNAVAILABLE,
            Self::Lost => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// The answer.
    #[must_use]
    pub fn response(self, id: Option<&RequestId>) -> Response<Full<Bytes>> {
        let mut response = Response::new(Full::new(Bytes::new()));
        *response.status_mut() = self.status();
        *response.headers_mut() = adapter::headers::local_response_headers(id);
        if let Self::NotRun(wait) = self
            && let Ok(value) = HeaderValue::from_str(&format!("{:.3}", wait.as_secs_f64()))
        {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
        response
    }
}
