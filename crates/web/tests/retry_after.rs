//! The delay that a response asks for.

use std::time::Duration;

use http::{HeaderMap, HeaderValue, header};
use web::retry_after;

/// Guards against a delay with a fraction that is taken for none: its sender would wait a default time.
#[test]
fn fractions_and_dates() {
    let delay = |value| {
        let mut headers = HeaderMap::new();
        let date = HeaderValue::from_static("Fri, 04 Dec 2026 10:00:00 GMT");
        headers.insert(header::DATE, date);
        headers.insert(header::RETRY_AFTER, HeaderValue::from_static(value));
        retry_after(&headers)
    };
    assert_eq!(delay("2"), Some(Duration::from_secs(2)));
    assert_eq!(delay("0.25"), Some(Duration::from_millis(250)));
    let date = delay("Fri, 04 Dec 2026 10:00:03 GMT");
    assert_eq!(date, Some(Duration::from_secs(3)));
    assert_eq!(delay("soon"), None);
    assert_eq!(retry_after(&HeaderMap::new()), None);
}
