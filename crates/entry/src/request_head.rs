//! The head of a caller's request.

use domain::RequestId;
use http::HeaderMap;

/// Head of a caller's request.
#[derive(Debug)]
pub struct RequestHead {
    /// Name of the request.
    pub id: RequestId,
    /// Method.
    pub method: http::Method,
    /// Path.
    pub path: String,
    /// Headers.
    pub headers: HeaderMap,
}
