//! The delay after which a server wants to be asked again.

use std::time::{Duration, SystemTime};

use http::header::{self, HeaderMap};

/// Longest delay that is taken over; a longer one is shortened.
const MAX_DELAY: Duration = Duration::from_hours(1);

/// Returns the delay that a response states; `None` without a readable one.
#[must_use]
pub fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(header::RETRY_AFTER)?.to_str().ok()?;
    parse_retry_after(text.trim(), headers)
}

/// Parses one value of `Retry-After`: seconds, which may have a fraction, or a date.
#[must_use]
pub fn parse_retry_after(text: &str, headers: &HeaderMap) -> Option<Duration> {
    parse_delay(text).or_else(|| parse_date(text, headers))
}

fn parse_delay(text: &str) -> Option<Duration> {
    let seconds = text.parse::<f64>().ok()?;
    if !seconds.is_finite() || seconds < 0.0 {
        return None;
    }
    Some(Duration::from_secs_f64(
        seconds.min(MAX_DELAY.as_secs_f64()),
    ))
}

/// Parses a date. It counts from the date of the response: the clocks of the target and of this node may
/// differ.
fn parse_date(text: &str, headers: &HeaderMap) -> Option<Duration> {
    let date = |text: &str| -> Option<SystemTime> { httpdate::parse_http_date(text).ok() };
    let until = date(text)?;
    let now = date(headers.get(header::DATE)?.to_str().ok()?)?;
    let delay = until.duration_since(now).unwrap_or_default();
    Some(delay.min(MAX_DELAY))
}
