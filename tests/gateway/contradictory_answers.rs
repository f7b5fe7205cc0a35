//! Answers that prove that a request ran, with a status that promises that it has not.

use std::time::Duration;

use http::StatusCode;
use standin::site::ServiceMode;

use crate::request::TestRequest;
use crate::site::TestSite;

/// Guards against a target that answers so without anybody noticing: a line names the target, the status and the
/// request, and a count rises.
#[tokio::test(flavor = "multi_thread")]
async fn logged_and_counted() {
    let site = TestSite::start(0, 1);
    let node = site.only_node("n0").await;
    let status = StatusCode::TOO_MANY_REQUESTS;
    site.set_modes(ServiceMode::FailingWith(status, Duration::ZERO));
    TestRequest::new("/pay/fee", "p-1").send(&node).await;
    let line = node
        .wait_log_line(&["response_contradictory", "\"request\":\"p-1\""])
        .await;
    assert_eq!(line["host"], "s0");
    assert_eq!(line["status"], 429);
    assert_eq!(line["repeatable"], 0);
    TestRequest::new("/look/x", "l-1").send(&node).await;
    node.wait_log_line(&["response_contradictory", "\"repeatable\":1"])
        .await;
    let metrics = node.metrics().await;
    let counted = |kind: &str| {
        let mut lines = metrics.lines();
        lines.any(|line| {
            line.starts_with("bramleyspring_gateway_response_contradictory_total")
                && line.contains(&format!("kind=\"{kind}\""))
                && line.contains("status=\"429\"")
                && line.ends_with(" 1")
        })
    };
    assert!(counted("non_idempotent"), "{metrics}");
    assert!(counted("idempotent"), "{metrics}");
}
