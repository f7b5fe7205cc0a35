//! Whoever reads the log stops reading.

use http::StatusCode;

use crate::request::TestRequest;
use crate::site::TestSite;

/// The process that collects the log hangs, and the pipe fills up. Callers must not notice: they
/// are answered, and the lines that found no place are counted.
#[tokio::test(flavor = "multi_thread")]
async fn reader_stopped() {
    let site = TestSite::start(0, 1);
    let node = site.node_with_unread_log("n0");
    node.wait_ready(true).await;
    for number in 0..1500 {
        let call = TestRequest::new("/nowhere/x", &format!("r-{number}"));
        assert_eq!(call.send(&node).await.status, StatusCode::NOT_FOUND);
    }
    let served = TestRequest::new("/look/x", "last").send(&node).await;
    assert_eq!(served.status, StatusCode::OK);
    let metrics = node.metrics().await;
    let dropped = metrics
        .lines()
        .find(|line| line.starts_with("bramleyspring_gateway_log_dropped"))
        .expect("the count");
    assert!(!dropped.ends_with(" 0"), "{dropped}");
}
