//! Diagnosing a failed request by its id, from the log alone, as docs/OPERATIONS.md describes.

use http::StatusCode;
use standin::site::ServiceMode;

use crate::request::{TestRequest, read_response};
use crate::site::TestSite;

/// No replica serves the model. The log line of the rejection has the reason, and the lines of the
/// hosts show why the replica is gone.
#[tokio::test(flavor = "multi_thread")]
async fn rejected_request() {
    let mut site = TestSite::start(4, 0);
    let node = site.node("n0").await;
    node.wait_replicas(1).await;
    let member = site.groups.serving()[0][2].clone();
    site.kill_engine(&member);
    site.groups.expire(&member);
    node.wait_log_line(&["target_gone", &member]).await;
    let response = TestRequest::chat("failed-1").send(&node).await;
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    let line = node.wait_log_line(&["gateway_refused", "failed-1"]).await;
    assert_eq!(line["reason"], "no target available");
    assert_eq!(line["service"], "assistant");
    let gone = node.wait_log_line(&["target_gone"]).await;
    assert_eq!(gone["host"], member.as_str());
    let metrics = node.metrics().await;
    for name in ["replica_forming", "replica_broken", "repeat_left"] {
        let full = format!("bramleyspring_gateway_{name}");
        assert!(metrics.contains(&full), "{metrics}");
    }
}

/// A stream breaks with its replica, and no other one can resume it. The log line has the
/// connection error and the reason why no target took over.
#[tokio::test(flavor = "multi_thread")]
async fn truncated_stream() {
    let mut site = TestSite::start(4, 0);
    let node = site.node("n0").await;
    node.wait_replicas(1).await;
    site.groups.set_events(100);
    let (_connection, response) = TestRequest::chat("failed-2").begin(&node).await;
    let head = site.groups.serving()[0][0].clone();
    site.kill_engine(&head);
    let response = read_response(response).await;
    assert!(
        !response.complete,
        "truncated body was reported as complete"
    );
    let line = node.wait_log_line(&["stream_cut", "failed-2"]).await;
    let reason = line["reason"].as_str().expect("line has a reason");
    assert!(reason.contains("no target available"), "{reason}");
    assert_eq!(line["host"], head.as_str());
    site.groups.expire(&head);
    node.wait_log_line(&["target_gone", &head]).await;
}

/// An unknown path is refused. The log line tells which configuration decided, how old it was and who
/// confirmed it, and the metrics tell the same of the node.
#[tokio::test(flavor = "multi_thread")]
async fn unknown_route() {
    let site = TestSite::start(0, 1);
    let node = site.node("n0").await;
    let applied = node.wait_log_line(&["config_applied"]).await;
    assert_eq!(applied["source"], "store");
    assert!(applied["row_version"].as_u64() > Some(0));
    let response = TestRequest::new("/nowhere/x", "failed-4").send(&node).await;
    assert_eq!(response.status, StatusCode::NOT_FOUND);
    let line = node.wait_log_line(&["request_failed", "failed-4"]).await;
    assert_eq!(line["revision"], 1);
    assert_eq!(line["config_source"], "store");
    assert!(line["config_age_ms"].is_u64());
    let metrics = node.metrics().await;
    for name in ["config_revision", "config_age"] {
        let full = format!("bramleyspring_gateway_{name}");
        assert!(metrics.contains(&full), "{metrics}");
    }
}

/// The response to a payment is lost. The log line of the attempt names the target, and the final
/// line has status 502 because the outcome is unknown.
#[tokio::test(flavor = "multi_thread")]
async fn lost_payment_response() {
    let site = TestSite::start(0, 1);
    let node = site.node("n0").await;
    site.instances[0].set_mode(ServiceMode::WrongRequestId);
    let response = TestRequest::new("/pay/fee", "failed-3").send(&node).await;
    assert_eq!(response.status, StatusCode::BAD_GATEWAY);
    let attempt = node
        .wait_log_line(&["gateway_attempt_failed", "failed-3"])
        .await;
    assert_eq!(attempt["host"], "s0");
    assert_eq!(attempt["reason"], "response belongs to another request");
    let last = node.wait_log_line(&["request_failed", "failed-3"]).await;
    assert_eq!(last["status"], 502);
    let metrics = node.metrics().await;
    assert!(
        metrics.contains("bramleyspring_gateway_attempt_count_total"),
        "{metrics}"
    );
}
