//! Answers that prove that a request ran, with a status that promises that it has not. A client that believes the
//! status sends the request again, which pays twice if it is a payment.

use std::time::Duration;

use http::StatusCode;
use serde_json::json;
use standin::site::ServiceMode;

use crate::node::{TestNode, wait_for};
use crate::request::{TestRequest, TestResponse};
use crate::site::{TestSite, configuration};
use crate::target_proxies::{PartitionKind, TargetProxies};

/// Statuses that promise that a request has not run and never will, without that of a misdirected request, which is
/// believed.
const PROMISES: [StatusCode; 3] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// How long a target runs a request if the test acts meanwhile.
const RUN_TIME: Duration = Duration::from_millis(400);

fn failing_with(status: StatusCode) -> ServiceMode {
    ServiceMode::FailingWith(status, Duration::ZERO)
}

/// The configuration with streams from the plain service: `/feed/` may be resumed, `/once/` may not. A request on any
/// route may be sent to two targets.
fn with_streams(version: u64) -> serde_json::Value {
    let mut config = configuration(version);
    let routes = config["routes"].as_array_mut().expect("routes are a list");
    routes[1]["max_attempts"] = json!(2);
    for (name, resumable) in [("feed", true), ("once", false)] {
        let mut route = routes[2].clone();
        route["name"] = json!(name);
        route["prefix"] = json!(format!("/{name}/"));
        route["route_type"] = json!("streaming");
        route["resumable"] = json!(resumable);
        routes.push(route);
    }
    config
}

async fn start_site(instances: usize) -> (TestSite, TestNode) {
    let site = TestSite::start(0, instances);
    site.configure(&with_streams(2));
    let node = site.only_node("n0").await;
    (site, node)
}

/// Asserts that a client learns nothing of whether its request ran, and gets nothing that a target made.
fn assert_unknown(response: &TestResponse, label: &str) {
    assert_eq!(response.status, StatusCode::BAD_GATEWAY, "{label}");
    for name in ["x-response-signature", "retry-after", "x-server-load"] {
        assert!(!response.headers.contains_key(name), "{label}: {name}");
    }
    assert_eq!(response.text, "", "{label}");
    assert!(response.complete, "{label}");
}

/// Guards against a client that is told that its payment has not run, though its target ran it: the first answer.
#[tokio::test(flavor = "multi_thread")]
async fn payment_that_ran() {
    let (site, node) = start_site(1).await;
    for status in PROMISES {
        site.set_modes(failing_with(status));
        let id = format!("p-{}", status.as_u16());
        let response = TestRequest::new("/pay/fee", &id).send(&node).await;
        assert_unknown(&response, &id);
        assert_eq!(response.headers["x-request-id"], id.as_str());
        assert_eq!(site.plain_runs(&id), 1, "{id}");
    }
}

/// Guards against the same of a stream that must not be resumed, whose first answer is an error.
#[tokio::test(flavor = "multi_thread")]
async fn stream_that_ran() {
    let (site, node) = start_site(1).await;
    for status in PROMISES {
        site.set_modes(failing_with(status));
        let id = format!("s-{}", status.as_u16());
        let response = TestRequest::new("/once/x", &id).send(&node).await;
        assert_unknown(&response, &id);
        assert_eq!(site.plain_runs(&id), 1, "{id}");
    }
}

/// Guards against the same after a target that had no room, so that the request came to a second one.
#[tokio::test(flavor = "multi_thread")]
async fn payment_after_rejection() {
    let (site, node) = start_site(2).await;
    site.instances[0].set_mode(ServiceMode::Overloaded);
    site.instances[1].set_mode(failing_with(StatusCode::SERVICE_UNAVAILABLE));
    let mut came_second = 0;
    for number in 0..20 {
        let id = format!("p-{number}");
        let rejections = site.instances[0].received_count();
        let response = TestRequest::new("/pay/fee", &id).send(&node).await;
        if site.plain_runs(&id) == 0 {
            assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE, "{id}");
            continue;
        }
        assert_unknown(&response, &id);
        came_second += site.instances[0].received_count() - rejections;
    }
    assert!(came_second > 0, "no payment came to the other target first");
}

/// Guards against the same of an answer that comes through another node.
#[tokio::test(flavor = "multi_thread")]
async fn payment_through_tunnel() {
    let site = TestSite::start(0, 1);
    let proxies = TargetProxies::start(&site);
    let node = site.node_in("z0", "n0", proxies.store).await;
    let _other = site.node_in("z1", "n1", site.store_address()).await;
    node.wait_log_line(&["nodes_counted", "\"nodes\":2"]).await;
    proxies.set(PartitionKind::Reset).await;
    for status in PROMISES {
        site.set_modes(failing_with(status));
        let id = format!("p-{}", status.as_u16());
        let response = TestRequest::new("/pay/fee", &id).send(&node).await;
        assert_unknown(&response, &id);
        assert_eq!(site.plain_runs(&id), 1, "{id}");
    }
}

/// Guards against the same of an answer that comes while the node stops.
#[tokio::test(flavor = "multi_thread")]
async fn payment_at_stop() {
    let (site, mut node) = start_site(1).await;
    let status = StatusCode::SERVICE_UNAVAILABLE;
    site.set_modes(ServiceMode::FailingWith(status, RUN_TIME));
    let request = TestRequest::new("/pay/fee", "p-1");
    let paying = request.send(&node);
    let stopping = async {
        wait_for("the payment", || site.plain_runs("p-1") == 1).await;
        node.signal("TERM");
    };
    let (response, ()) = tokio::join!(paying, stopping);
    assert_unknown(&response, "p-1");
    assert_eq!(node.wait_exit().await, Some(0));
}

/// Guards against a fix that takes more than it must: requests that may run again get their target's answer as it is.
#[tokio::test(flavor = "multi_thread")]
async fn repeatable_unchanged() {
    let (site, node) = start_site(2).await;
    for status in PROMISES {
        site.set_modes(failing_with(status));
        for path in ["/look/x", "/feed/x"] {
            let id = format!("{}-{}", &path[1..5], status.as_u16());
            let response = TestRequest::new(path, &id).send(&node).await;
            assert_eq!(response.status, status, "{id}");
            assert_eq!(response.headers["x-response-signature"], "signed", "{id}");
            assert_eq!(response.text, "failed", "{id}");
            // An error of the server is tried at a second target, and the first answer is kept meanwhile.
            let runs = if status.is_server_error() { 2 } else { 1 };
            assert_eq!(site.plain_runs(&id), runs, "{id}");
        }
    }
}

/// Guards against the same of statuses that promise nothing: a payment's target may say how it failed.
#[tokio::test(flavor = "multi_thread")]
async fn other_failures_unchanged() {
    let (site, node) = start_site(1).await;
    for code in [400_u16, 404, 409, 422, 500, 502, 504] {
        let status = StatusCode::from_u16(code).expect("a status");
        site.set_modes(failing_with(status));
        let id = format!("p-{code}");
        let response = TestRequest::new("/pay/fee", &id).send(&node).await;
        assert_eq!(response.status, status, "{id}");
        assert_eq!(response.headers["x-response-signature"], "signed", "{id}");
        assert_eq!(response.text, "failed", "{id}");
    }
}

/// Guards against a target that is sent further payments though it has said when it wants the next request: each
/// would end without a known outcome.
#[tokio::test(flavor = "multi_thread")]
async fn backoff_still_counts() {
    let (site, node) = start_site(1).await;
    site.set_modes(failing_with(StatusCode::SERVICE_UNAVAILABLE));
    site.instances[0].set_header("retry-after", b"20");
    let response = TestRequest::new("/pay/fee", "p-1").send(&node).await;
    assert_unknown(&response, "p-1");
    let response = TestRequest::new("/pay/fee", "p-2").send(&node).await;
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(response.headers.contains_key("retry-after"));
    assert_eq!(site.plain_runs("p-2"), 0);
}

/// Guards against a target that answers so without anybody noticing: a line names the target, the status and the
/// request, and a count rises.
#[tokio::test(flavor = "multi_thread")]
async fn logged_and_counted() {
    let (site, node) = start_site(1).await;
    site.set_modes(failing_with(StatusCode::TOO_MANY_REQUESTS));
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
