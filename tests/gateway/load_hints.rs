//! Load hints between nodes.

use std::time::Duration;

use domain::HostId;
use gateway::LoadHint;
use http::StatusCode;

use crate::request::{TestRequest, read_response};
use crate::site::TestSite;

/// Time for a datagram to arrive over loopback.
const HINT_DELIVERY_TIME: Duration = Duration::from_millis(50);

/// Interval between hints, as sent by nodes that use a replica several times per second.
const HINT_INTERVAL: Duration = Duration::from_millis(100);

/// One node sends a very long prompt to one of two replicas. Requests of the other node would wait
/// behind it; told by a hint, that node sends them to the other replica.
#[tokio::test(flavor = "multi_thread")]
async fn long_prompt_avoided() {
    let site = TestSite::start(9, 0);
    let (first, second) = (site.node("n0").await, site.node("n1").await);
    first.wait_replicas(2).await;
    second.wait_replicas(2).await;
    for node in [&first, &second] {
        node.wait_log_line(&["nodes_counted", "\"nodes\":2"]).await;
    }
    let long = TestRequest::chat("long").header("x-token-usage", "150000,10");
    let (_connection, response) = long.begin(&first).await;
    tokio::time::sleep(HINT_DELIVERY_TIME).await;
    for number in 0..6 {
        let id = format!("short-{number}");
        let response = TestRequest::chat(&id).send(&second).await;
        assert_eq!(response.status, StatusCode::OK, "{response:?}");
        for engine in &site.engines {
            let shared =
                site.groups.ran_at(&engine.id, "long") && site.groups.ran_at(&engine.id, &id);
            assert!(!shared, "{id} was queued behind the long prompt");
        }
    }
    assert!(read_response(response).await.complete);
}

/// One node can't reach the head of a working replica, while hints say that it serves other nodes.
/// The node must send nothing there and must not reassign the replica's hosts, which would break
/// the other nodes' streams. Once the hints stop, the head counts as dead.
#[tokio::test(flavor = "multi_thread")]
async fn unreachable_head_serves_others() {
    let site = TestSite::start(5, 0);
    let node = site.node("n0").await;
    node.wait_replicas(1).await;
    let before = site.groups.serving();
    let head: HostId = before[0][0].parse().expect("valid host id");
    let _guard = site.lose_connections(head.as_str()).await;
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").expect("loopback socket");
    let hint = LoadHint::Reported {
        head: (&head).into(),
        requests: 1,
        served: true,
    };
    let datagram = hint.encode().expect("datagram can be encoded and sent");
    for number in 0..30 {
        socket
            .send_to(&datagram, node.hints)
            .expect("datagram can be encoded and sent");
        if number == 2 {
            let rejected = TestRequest::chat("c-1").send(&node).await;
            assert_eq!(rejected.status, StatusCode::SERVICE_UNAVAILABLE);
        }
        tokio::time::sleep(HINT_INTERVAL).await;
    }
    assert!(
        !node
            .log_lines(&["target_suspected", head.as_str()])
            .is_empty()
    );
    assert_eq!(site.groups.serving(), before);
    assert!(node.log_lines(&["order_ended", "leave"]).is_empty());
    node.wait_log_line(&["step_taken", "form", "e4"]).await;
}

/// Invalid datagrams arrive at the hint address. The node ignores them and keeps serving.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_datagrams_ignored() {
    let site = TestSite::start(4, 0);
    let node = site.node("n0").await;
    node.wait_replicas(1).await;
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").expect("loopback socket");
    let long = [0xff; 300];
    for bytes in [
        &b""[..],
        &b"\x00"[..],
        &b"\x01\x07\x07"[..],
        &b"\xfb\xff\xff"[..],
        &long[..],
    ] {
        socket
            .send_to(bytes, node.hints)
            .expect("datagram can be encoded and sent");
    }
    let response = TestRequest::chat("c-1").send(&node).await;
    assert_eq!(response.status, StatusCode::OK, "{response:?}");
}
