//! Constructors for a server's responses.

use http::{HeaderMap, HeaderValue, StatusCode, header};
use serde::Serialize;

use crate::body::{WebBody, full_body};

/// A response whose body may be a stream.
pub type WebResponse = http::Response<WebBody>;

/// Whether a body with these headers has neither a length nor chunks, so that it ends with its connection.
/// A server that dies in the middle of it may close the connection in the same way.
#[must_use]
pub fn is_close_delimited(headers: &HeaderMap) -> bool {
    !headers.contains_key(header::CONTENT_LENGTH)
        && !headers.contains_key(header::TRANSFER_ENCODING)
}

/// Whether a response with this status answers a request that asked for no upgrade. HTTP knows no status above 599, and
/// one below 200 is followed by the answer (RFC 9110, section 15). The HTTP library lets 600 to 999 pass, and 101.
#[must_use]
pub fn is_final_status(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Builds a response with a JSON body, or a 500 response if the value can't be serialized.
#[must_use]
pub fn json_response<T: Serialize>(status: StatusCode, value: &T) -> WebResponse {
    match serde_json::to_vec(value) {
        Ok(bytes) => bytes_response(status, "application/json", bytes),
        Err(error) => text_response(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

/// Builds a response with a plain text body in UTF-8.
#[must_use]
pub fn text_response(status: StatusCode, text: &str) -> WebResponse {
    bytes_response(
        status,
        "text/plain; charset=utf-8",
        text.to_owned().into_bytes(),
    )
}

/// Builds a response with a body of the given content type.
#[must_use]
pub fn bytes_response(
    status: StatusCode,
    content_type: &'static str,
    bytes: Vec<u8>,
) -> WebResponse {
    let mut response = http::Response::new(full_body(bytes));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}
