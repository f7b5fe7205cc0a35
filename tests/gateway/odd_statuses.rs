//! Responses of targets whose status is none of an answer: HTTP does not know it, or the request asked for no upgrade.

use http::StatusCode;

use crate::foreign_servers::{ForeignAnswer, ForeignServer, register};
use crate::request::TestRequest;
use crate::site::TestSite;
use crate::target_proxies::{PartitionKind, TargetProxies};

const STATUSES: [&str; 7] = [
    "000 None",
    "099 None",
    "101 Switching Protocols",
    "600 None",
    "666 None",
    "999 None",
    "2000 None",
];

/// Guards against bytes that reach a client as the answer to its payment though they are none: it learns that the
/// outcome is unknown, and gets nothing that the target sent.
#[tokio::test(flavor = "multi_thread")]
async fn payment_outcome_unknown() {
    for status in STATUSES {
        let site = TestSite::start(0, 0);
        let server = ForeignServer::start(ForeignAnswer::Signed(status)).await;
        register(&site, "s0", server.address);
        let node = site.node("n0").await;
        let response = TestRequest::new("/pay/fee", "p-1").send(&node).await;
        assert_eq!(response.status, StatusCode::BAD_GATEWAY, "after {status}");
        for name in ["x-response-signature", "retry-after"] {
            assert!(!response.headers.contains_key(name), "{status}: {name}");
        }
        assert_eq!(response.text, "", "after {status}");
    }
}

/// Guards against a look-up that fails because of one target's bytes, though another target can answer it.
#[tokio::test(flavor = "multi_thread")]
async fn look_up_at_another_target() {
    for status in STATUSES {
        let site = TestSite::start(0, 1);
        let server = ForeignServer::start(ForeignAnswer::Signed(status)).await;
        register(&site, "s9", server.address);
        let node = site.only_node("n0").await;
        for number in 0..12 {
            let request = TestRequest::new("/look/x", &format!("l-{number}"));
            let response = request.send(&node).await;
            assert_eq!(response.status, StatusCode::OK, "after {status}");
        }
        assert!(server.request_count() > 0, "{status}");
    }
}

/// Guards against the same of an answer that comes through another node.
#[tokio::test(flavor = "multi_thread")]
async fn payment_through_tunnel() {
    let mut site = TestSite::start(0, 1);
    let proxies = TargetProxies::start(&site);
    let node = site.node_in("z0", "n0", proxies.store).await;
    let _other = site.node_in("z1", "n1", site.store_address()).await;
    node.wait_log_line(&["nodes_counted", "\"nodes\":2"]).await;
    let address = site.instances[0].address();
    site.instances.clear();
    let _server = ForeignServer::start_at(address, ForeignAnswer::Signed("600 None")).await;
    proxies.set(PartitionKind::Reset).await;
    let response = TestRequest::new("/pay/fee", "p-1").send(&node).await;
    assert_eq!(response.status, StatusCode::BAD_GATEWAY);
    assert!(!response.headers.contains_key("x-response-signature"));
}
