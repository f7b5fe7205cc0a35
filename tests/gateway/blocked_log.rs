//! The process that reads the log stops reading.

use http::StatusCode;

use crate::request::TestRequest;
use crate::site::TestSite;

/// The log collector hangs and the pipe fills up. Clients are still served, and dropped log lines
/// are counted.
#[tokio::test(flavor = "multi_thread")]
async fn blocked_reader_drops_lines() {
    let site = TestSite::start(0, 1);
    let node = site.node_with_unread_log("n0");
    node.wait_ready(true).await;
    for number in 0..1500 {
        let request = TestRequest::new("/nowhere/x", &format!("r-{number}"));
        assert_eq!(request.send(&node).await.status, StatusCode::NOT_FOUND);
    }
    let served = TestRequest::new("/look/x", "last").send(&node).await;
    assert_eq!(served.status, StatusCode::OK);
    let metrics = node.metrics().await;
    let dropped = metrics
        .lines()
        .find(|line| line.starts_with("bramleyspring_gateway_log_dropped"))
        .expect("metric exists");
    assert!(!dropped.ends_with(" 0"), "{dropped}");
}
