//! Request headers that control how a request is processed.

use std::time::{Duration, Instant};

use http::HeaderMap;
use wire::client_api::{ErrorCode, LAST_EVENT_ID_HEADER, REQUEST_TIMEOUT_HEADER};
use wire::service::{IDEMPOTENCY_KEY_HEADER, MAX_IDEMPOTENCY_KEY_BYTES};

use crate::error::RequestError;
use crate::settings::EntrySettings;

/// Returns the deadline by which the response must have started, from `X-Request-Timeout` or the
/// default timeout.
///
/// # Errors
///
/// [`ErrorCode::InvalidRequest`] if the header is not a number of seconds greater than 0 and at
/// most the configured maximum.
pub fn request_deadline(
    headers: &HeaderMap,
    settings: &EntrySettings,
) -> Result<Instant, RequestError> {
    let now = Instant::now();
    let Some(text) = header_text(headers, REQUEST_TIMEOUT_HEADER)? else {
        return Ok(now + settings.request_timeout());
    };
    let limit = settings.max_request_timeout();
    let seconds: Option<f64> = text.trim().parse().ok();
    let timeout = seconds.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    match timeout {
        Some(timeout) if !timeout.is_zero() && timeout <= limit => Ok(now + timeout),
        _ => {
            let message = format!(
                "must be a number of seconds greater than 0 and at most {}",
                limit.as_secs().max(1)
            );
            Err(invalid_header(REQUEST_TIMEOUT_HEADER, message))
        }
    }
}

/// Returns the resume token in `Last-Event-ID`, if any.
///
/// # Errors
///
/// [`ErrorCode::InvalidRequest`] if the header is not text or is sent more than once.
pub fn last_event_id(headers: &HeaderMap) -> Result<Option<&str>, RequestError> {
    let text = header_text(headers, LAST_EVENT_ID_HEADER)?;
    // Browsers send an empty id if the connection was lost before the first event.
    Ok(text.filter(|text| !text.is_empty()))
}

/// Returns the idempotency key. It must be visible ASCII because it is copied to a header and a
/// path of the service.
///
/// # Errors
///
/// [`ErrorCode::InvalidRequest`] if the key is empty, too long, has other characters, or is sent
/// more than once.
pub fn idempotency_key(headers: &HeaderMap) -> Result<Option<&str>, RequestError> {
    let Some(key) = header_text(headers, IDEMPOTENCY_KEY_HEADER)? else {
        return Ok(None);
    };
    let has_valid_length = (1..=MAX_IDEMPOTENCY_KEY_BYTES).contains(&key.len());
    if has_valid_length && key.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Ok(Some(key));
    }
    let message =
        format!("must consist of 1 to {MAX_IDEMPOTENCY_KEY_BYTES} visible ASCII characters");
    Err(invalid_header(IDEMPOTENCY_KEY_HEADER, message))
}

fn header_text<'headers>(
    headers: &'headers HeaderMap,
    name: &str,
) -> Result<Option<&'headers str>, RequestError> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(invalid_header(name, "must not be sent more than once"));
    }
    let text = value
        .to_str()
        .map_err(|_| invalid_header(name, "must be ASCII text"))?;
    Ok(Some(text))
}

fn invalid_header(name: &str, message: impl Into<String>) -> RequestError {
    RequestError::not_run(ErrorCode::InvalidRequest, message).with_param(format!("header {name}"))
}
