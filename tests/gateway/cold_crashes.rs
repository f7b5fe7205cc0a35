//! Instances that have just started crash, under too many requests or under a single one.

use std::time::Duration;

use http::StatusCode;
use serde_json::json;
use standin::site::{CRASH_BODY, ServiceMode, SiteInstance};

use crate::node::{TestNode, wait_for};
use crate::request::TestRequest;
use crate::site::{TestSite, configuration};

/// Requests that an instance gets at once; it crashes at half of [`COLD_RATE`] or more in a second.
const BURST: usize = 5;

/// Requests per second that a cold instance takes; some of the burst may be late on a busy machine.
const COLD_RATE: u32 = 6;

/// Crashes after which a request at all of them would be barred.
const CRASHES: usize = 3;

/// Time within which a verdict is reached after that many crashes.
const VERDICT_TIME: Duration = Duration::from_secs(3);

/// Pause between two calls of a client that comes back, and the number of times that it does until a trial
/// must have shown what the call does.
const RETURN_INTERVAL: Duration = Duration::from_millis(100);
const MAX_RETURNS: usize = 100;

/// A site without instances whose plain service states that its targets are cold for a minute.
async fn start_cold() -> (TestSite, TestNode) {
    let site = TestSite::start(0, 0);
    let mut config = configuration(2);
    config["services"][1]["cold_s"] = json!(60);
    config["services"][1]["cold_per_s"] = json!(COLD_RATE);
    site.configure(&config);
    let node = site.only_node("n0").await;
    (site, node)
}

/// Starts an instance during traffic, and waits until the node has sent a call to it.
async fn start_instance(site: &TestSite, node: &TestNode, id: &str) -> SiteInstance {
    let instance = SiteInstance::start(&site.store, id, "z0").expect("instance starts");
    for number in 0..500 {
        let call = lookup(&format!("first-{id}-{number}"), b"first");
        if call.send(node).await.status == StatusCode::OK {
            return instance;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("the node does not use {id}");
}

fn lookup(id: &str, body: &[u8]) -> TestRequest {
    TestRequest::new("/look/x", id).body(body.to_vec())
}

/// Instances crash one after the other as each is sent more than it takes. The requests that ran at all of
/// them must be served by the next one, or valid requests get 400.
#[tokio::test(flavor = "multi_thread")]
async fn overloaded_instances_bar_nothing() {
    let (site, node) = start_cold().await;
    for round in 0..CRASHES {
        let id = format!("c{round}");
        let instance = start_instance(&site, &node, &id).await;
        instance.set_mode(ServiceMode::Unresponsive);
        let calls = (0..BURST).map(|number| {
            let call = lookup(&format!("x-{round}-{number}"), b"{}");
            let node = &node;
            async move { drop(call.send(node).await) }
        });
        let crash = async {
            wait_for("all calls to arrive", || instance.received_count() > BURST).await;
            drop(instance);
        };
        tokio::join!(futures::future::join_all(calls), crash);
        let line = node.wait_log_line(&["target_ended", &id]).await;
        assert_eq!(line["overloaded"], json!(1), "{line}");
        site.store.remove("servers", &id);
    }
    tokio::time::sleep(VERDICT_TIME).await;
    let _instance = start_instance(&site, &node, "last").await;
    let response = lookup("y", b"{}").send(&node).await;
    assert_eq!(response.status, StatusCode::OK, "{}", response.text);
    assert!(node.log_lines(&["request_barred"]).is_empty());
}

/// A call that crashes each cold instance that runs it must be barred, since none of them had much to do, and
/// refused for good once a trial has shown it.
#[tokio::test(flavor = "multi_thread")]
async fn crashing_call_barred_at_cold_instances() {
    let (site, node) = start_cold().await;
    for round in 0..CRASHES {
        let id = format!("c{round}");
        let _instance = start_instance(&site, &node, &id).await;
        let call = lookup(&format!("x-{round}"), CRASH_BODY);
        let status = call.send(&node).await.status;
        assert_ne!(status, StatusCode::BAD_REQUEST, "barred too early");
        let line = node.wait_log_line(&["target_ended", &id]).await;
        assert_eq!(line["overloaded"], json!(0), "{line}");
        site.store.remove("servers", &id);
    }
    tokio::time::sleep(VERDICT_TIME).await;
    let instance = start_instance(&site, &node, "last").await;
    // A single trial crashes one more instance, and no client is refused for good before it.
    for number in 0..MAX_RETURNS {
        let response = lookup(&format!("t-{number}"), CRASH_BODY).send(&node).await;
        if response.status == StatusCode::BAD_GATEWAY {
            break;
        }
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(response.headers.contains_key("retry-after"));
        tokio::time::sleep(RETURN_INTERVAL).await;
    }
    node.wait_log_line(&["target_ended", "last"]).await;
    drop(instance);
    site.store.remove("servers", "last");
    node.wait_log_line(&["request_barred", "proved"]).await;
    let instance = start_instance(&site, &node, "new").await;
    let arrived = instance.received_count();
    let response = lookup("y", CRASH_BODY).send(&node).await;
    assert_eq!(response.status, StatusCode::BAD_REQUEST);
    assert_eq!(instance.received_count(), arrived);
}
