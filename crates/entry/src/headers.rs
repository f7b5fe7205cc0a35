//! Headers of a request that steer it.

use std::time::{Duration, Instant};

use http::HeaderMap;
use wire::caller::{ErrorCode, LAST_EVENT_ID_HEADER, REQUEST_TIMEOUT_HEADER};
use wire::service::{IDEMPOTENCY_KEY_HEADER, MAX_IDEMPOTENCY_KEY_BYTES};

use crate::error::RequestError;
use crate::settings::EntrySettings;

/// The moment by which a request shall have begun to be answered.
///
/// # Errors
///
/// [`ErrorCode::InvalidRequest`] when the header is no number of seconds above 0 and at most the
/// limit of the settings.
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
    let wait = seconds.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    match wait {
        Some(wait) if !wait.is_zero() && wait <= limit => Ok(now + wait),
        _ => {
            let message = format!(
                "send seconds above 0 and at most {}",
                limit.as_secs().max(1)
            );
            Err(invalid_header(REQUEST_TIMEOUT_HEADER, message))
        }
    }
}

/// The resume token that a caller goes on with.
///
/// # Errors
///
/// [`ErrorCode::InvalidRequest`] when it is no text.
pub fn last_event_id(headers: &HeaderMap) -> Result<Option<&str>, RequestError> {
    let text = header_text(headers, LAST_EVENT_ID_HEADER)?;
    // Browsers send an empty id when the stream they lost had not begun.
    Ok(text.filter(|text| !text.is_empty()))
}

/// The idempotency key: visible ASCII, so that it can stand in a service's header and path.
///
/// # Errors
///
/// [`ErrorCode::InvalidRequest`].
pub fn idempotency_key(headers: &HeaderMap) -> Result<Option<&str>, RequestError> {
    let Some(key) = header_text(headers, IDEMPOTENCY_KEY_HEADER)? else {
        return Ok(None);
    };
    let fits = (1..=MAX_IDEMPOTENCY_KEY_BYTES).contains(&key.len());
    if fits && key.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Ok(Some(key));
    }
    let message = format!("send 1 to {MAX_IDEMPOTENCY_KEY_BYTES} visible ASCII characters");
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
        return Err(invalid_header(name, "send it once"));
    }
    let text = value
        .to_str()
        .map_err(|_| invalid_header(name, "send ASCII text"))?;
    Ok(Some(text))
}

fn invalid_header(name: &str, message: impl Into<String>) -> RequestError {
    RequestError::not_run(ErrorCode::InvalidRequest, message).with_param(format!("header {name}"))
}
