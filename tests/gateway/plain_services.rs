//! Calls to plain services whose targets are full, hanging, failing or responding incorrectly.

use std::time::Duration;

use http::StatusCode;
use standin::site::ServiceMode;

use crate::request::TestRequest;
use crate::site::TestSite;

/// Both instances reject a payment because they are full. It was not executed, so the client gets
/// 503 with a `Retry-After`.
#[tokio::test(flavor = "multi_thread")]
async fn full_targets() {
    let site = TestSite::start(0, 2);
    let node = site.node("n0").await;
    site.set_modes(ServiceMode::Overloaded);
    let response = TestRequest::new("/pay/fee", "p-1").send(&node).await;
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(response.headers.contains_key("retry-after"));
}

/// An instance accepts a payment and never responds. The payment may have been executed, so it must
/// not be retried, and the client gets 504.
#[tokio::test(flavor = "multi_thread")]
async fn payment_without_response() {
    let site = TestSite::start(0, 2);
    let node = site.node("n0").await;
    site.set_modes(ServiceMode::Unresponsive);
    let request = TestRequest::new("/pay/fee", "p-1").header("x-deadline-ms", "600");
    let response = request.send(&node).await;
    assert_eq!(response.status, StatusCode::GATEWAY_TIMEOUT);
    assert_eq!(site.plain_runs("p-1"), 1);
}

/// One of two instances hangs. Look-ups are retryable and are answered by the other one.
#[tokio::test(flavor = "multi_thread")]
async fn hanging_lookup_retried() {
    let site = TestSite::start(0, 2);
    let node = site.node("n0").await;
    site.instances[0].set_mode(ServiceMode::Unresponsive);
    for number in 0..8 {
        let response = TestRequest::new("/look/x", &format!("l-{number}"))
            .send(&node)
            .await;
        assert_eq!(response.status, StatusCode::OK);
    }
}

/// Instances return 500 after executing a call. A look-up is retried at the other instance; a
/// payment is not, and its error response is passed on unchanged.
#[tokio::test(flavor = "multi_thread")]
async fn error_after_execution() {
    let site = TestSite::start(0, 2);
    let node = site.node("n0").await;
    site.instances[0].set_mode(ServiceMode::Failing);
    let lookup = TestRequest::new("/look/x", "l-1").send(&node).await;
    assert_eq!(lookup.status, StatusCode::OK);
    site.instances[1].set_mode(ServiceMode::Failing);
    let payment = TestRequest::new("/pay/fee", "p-1").send(&node).await;
    assert_eq!(payment.status, StatusCode::INTERNAL_SERVER_ERROR);
    assert_eq!(payment.headers["x-response-signature"], "signed");
    assert_eq!(site.plain_runs("p-1"), 1);
}

/// A target responds with the response to another request. It must not be passed on, since the
/// client would get somebody else's receipt.
#[tokio::test(flavor = "multi_thread")]
async fn mismatched_response() {
    let site = TestSite::start(0, 1);
    let node = site.node("n0").await;
    site.instances[0].set_mode(ServiceMode::WrongRequestId);
    let response = TestRequest::new("/pay/fee", "p-1").send(&node).await;
    assert_eq!(response.status, StatusCode::BAD_GATEWAY);
    assert!(response.text.is_empty());
}

/// The only instance closes idle connections earlier than announced. A payment sent on a closed
/// connection is sent again on a new one, unnoticed by the client.
#[tokio::test(flavor = "multi_thread")]
async fn closed_idle_connection() {
    let site = TestSite::start(0, 1);
    let node = site.node("n0").await;
    site.instances[0].set_mode(ServiceMode::ClosesConnection);
    for number in 0..8 {
        let id = format!("p-{number}");
        let payment = TestRequest::new("/pay/fee", &id).send(&node).await;
        assert_eq!(payment.status, StatusCode::OK, "payment {number}");
        assert_eq!(site.instances[0].execution_count(&id), 1);
        // The instance has closed the previous connection by then.
        tokio::time::sleep(Duration::from_millis(150)).await;
    }
}
