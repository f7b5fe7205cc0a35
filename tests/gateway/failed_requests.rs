//! The steps of docs/OPERATIONS.md: from the id of a failed request to its cause, by the log alone.

use http::StatusCode;
use standin::site::PlainMode;

use crate::request::{TestRequest, read_response};
use crate::site::TestSite;

/// No replica of the model serves. The line of the refusal names the reason, and the lines of its
/// hosts say what became of them.
#[tokio::test(flavor = "multi_thread")]
async fn refused_request() {
    let mut site = TestSite::start(4, 0);
    let node = site.node("n0").await;
    node.wait_replicas(1).await;
    let member = site.groups.serving()[0][2].clone();
    site.kill_engine(&member);
    site.groups.expire(&member);
    node.wait_line(&["target_gone", &member]).await;
    let answer = TestRequest::chat("failed-1").send(&node).await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    let line = node.wait_line(&["gateway_refused", "failed-1"]).await;
    assert_eq!(line["reason"], "no target available");
    assert_eq!(line["service"], "assistant");
    let gone = node.wait_line(&["target_gone"]).await;
    assert_eq!(gone["host"], member.as_str());
    let metrics = node.metrics().await;
    for name in ["replica_forming", "replica_broken", "repeat_left"] {
        let full = format!("bramleyspring_gateway_{name}");
        assert!(metrics.contains(&full), "{metrics}");
    }
}

/// A stream breaks off with its replica and nobody can go on. The line of the cut names what the
/// connection said and why no other target took over.
#[tokio::test(flavor = "multi_thread")]
async fn cut_stream() {
    let mut site = TestSite::start(4, 0);
    let node = site.node("n0").await;
    node.wait_replicas(1).await;
    site.groups.set_events(100);
    let (_link, answer) = TestRequest::chat("failed-2").begin(&node).await;
    let head = site.groups.serving()[0][0].clone();
    site.kill_engine(&head);
    let answer = read_response(answer).await;
    assert!(!answer.complete, "a cut answer must look cut");
    let line = node.wait_line(&["stream_cut", "failed-2"]).await;
    let reason = line["reason"].as_str().expect("a reason");
    assert!(reason.contains("no target available"), "{reason}");
    assert_eq!(line["host"], head.as_str());
    site.groups.expire(&head);
    node.wait_line(&["target_gone", &head]).await;
}

/// A payment's answer is lost. The line of the attempt names the target, and the final line says
/// that the outcome is not known.
#[tokio::test(flavor = "multi_thread")]
async fn lost_payment() {
    let site = TestSite::start(0, 1);
    let node = site.node("n0").await;
    site.instances[0].set_mode(PlainMode::Crossed);
    let answer = TestRequest::new("/pay/fee", "failed-3").send(&node).await;
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
    let attempt = node
        .wait_line(&["gateway_attempt_failed", "failed-3"])
        .await;
    assert_eq!(attempt["host"], "s0");
    assert_eq!(attempt["reason"], "response belongs to another request");
    let last = node.wait_line(&["request_failed", "failed-3"]).await;
    assert_eq!(last["status"], 502);
    let metrics = node.metrics().await;
    assert!(
        metrics.contains("bramleyspring_gateway_attempt_count_total"),
        "{metrics}"
    );
}
