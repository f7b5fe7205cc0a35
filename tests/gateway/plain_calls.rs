//! Calls of plain services whose targets are full, mute, failing or confused.

use std::time::Duration;

use http::StatusCode;
use standin::site::PlainMode;

use crate::request::TestRequest;
use crate::site::TestSite;

/// Both instances are full when a trader pays. The payment did not run, and the trader is told so
/// and when to come back.
#[tokio::test(flavor = "multi_thread")]
async fn full_service() {
    let site = TestSite::start(0, 2);
    let node = site.node("n0").await;
    site.set_modes(PlainMode::Full);
    let answer = TestRequest::new("/pay/fee", "p-1").send(&node).await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.headers.contains_key("retry-after"));
}

/// An instance takes a payment and its answer never comes. It may have run: the trader is not
/// told otherwise, and it is not sent again.
#[tokio::test(flavor = "multi_thread")]
async fn lost_payment_answer() {
    let site = TestSite::start(0, 2);
    let node = site.node("n0").await;
    site.set_modes(PlainMode::Mute);
    let call = TestRequest::new("/pay/fee", "p-1").header("x-deadline-ms", "600");
    let answer = call.send(&node).await;
    assert_eq!(answer.status, StatusCode::GATEWAY_TIMEOUT);
    assert_eq!(site.plain_runs("p-1"), 1);
}

/// One of two instances hangs. A clerk's look-up may be repeated and gets its answer from the
/// other one.
#[tokio::test(flavor = "multi_thread")]
async fn hanging_lookup_repeated() {
    let site = TestSite::start(0, 2);
    let node = site.node("n0").await;
    site.instances[0].set_mode(PlainMode::Mute);
    for call in 0..8 {
        let answer = TestRequest::new("/look/x", &format!("l-{call}"))
            .send(&node)
            .await;
        assert_eq!(answer.status, StatusCode::OK);
    }
}

/// An instance fails after it ran. A look-up is tried at the other one, a payment is not: its
/// failure is passed on as it is.
#[tokio::test(flavor = "multi_thread")]
async fn failing_instance() {
    let site = TestSite::start(0, 2);
    let node = site.node("n0").await;
    site.instances[0].set_mode(PlainMode::Failing);
    let looked = TestRequest::new("/look/x", "l-1").send(&node).await;
    assert_eq!(looked.status, StatusCode::OK);
    site.instances[1].set_mode(PlainMode::Failing);
    let paid = TestRequest::new("/pay/fee", "p-1").send(&node).await;
    assert_eq!(paid.status, StatusCode::INTERNAL_SERVER_ERROR);
    assert_eq!(paid.headers["x-response-signature"], "signed");
    assert_eq!(site.plain_runs("p-1"), 1);
}

/// An answer that belongs to another request turns up. It is never passed on: a trader would hold
/// somebody else's receipt.
#[tokio::test(flavor = "multi_thread")]
async fn crossed_answer() {
    let site = TestSite::start(0, 1);
    let node = site.node("n0").await;
    site.instances[0].set_mode(PlainMode::Crossed);
    let answer = TestRequest::new("/pay/fee", "p-1").send(&node).await;
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
    assert!(answer.text.is_empty());
}

/// The only instance closes its idle connections sooner than it says. A payment that finds a closed
/// one goes on a new connection and its caller notices nothing.
#[tokio::test(flavor = "multi_thread")]
async fn closed_idle_connection() {
    let site = TestSite::start(0, 1);
    let node = site.node("n0").await;
    site.instances[0].set_mode(PlainMode::Closing);
    for call in 0..8 {
        let id = format!("p-{call}");
        let paid = TestRequest::new("/pay/fee", &id).send(&node).await;
        assert_eq!(paid.status, StatusCode::OK, "call {call}");
        assert_eq!(site.instances[0].runs(&id), 1);
        // Each call comes long after the close of the connection before.
        tokio::time::sleep(Duration::from_millis(150)).await;
    }
}
