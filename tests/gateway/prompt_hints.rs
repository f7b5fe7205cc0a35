//! Nodes that tell each other of prompts.

use std::time::Duration;

use domain::HostId;
use gateway::LoadHint;
use http::StatusCode;

use crate::request::{TestRequest, read_response};
use crate::site::TestSite;

/// Time for a datagram on loopback.
const HINT_TIME: Duration = Duration::from_millis(50);

/// Pause between two hints of other nodes, whose requests go to a replica several times a second.
const HINT_PAUSE: Duration = Duration::from_millis(100);

/// One node sends a very long prompt to one of two replicas. Callers of the other node who went there
/// would wait until it is read; they see their first token at once, because that node was told and
/// goes to the other replica.
#[tokio::test(flavor = "multi_thread")]
async fn long_prompt_avoided() {
    let site = TestSite::start(9, 0);
    let (first, second) = (site.node("n0").await, site.node("n1").await);
    first.wait_replicas(2).await;
    second.wait_replicas(2).await;
    for node in [&first, &second] {
        node.wait_line(&["nodes_counted", "\"nodes\":2"]).await;
    }
    let long = TestRequest::chat("long").header("x-token-usage", "150000,10");
    let (_link, answer) = long.begin(&first).await;
    tokio::time::sleep(HINT_TIME).await;
    for number in 0..6 {
        let id = format!("short-{number}");
        let answer = TestRequest::chat(&id).send(&second).await;
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
        for engine in &site.engines {
            let shared =
                site.groups.ran_at(&engine.id, "long") && site.groups.ran_at(&engine.id, &id);
            assert!(!shared, "{id} went behind the long prompt");
        }
    }
    assert!(read_response(answer).await.complete);
}

/// One node finds no way to the head of a sound replica; the other nodes do, and tell that it answers
/// them. The node sends nothing there and leaves the replica alone: its hosts, given to another one,
/// would be missed by all streams of the others. Once nobody has an answer from there any more, the
/// head counts as dead.
#[tokio::test(flavor = "multi_thread")]
async fn head_serves_others() {
    let site = TestSite::start(5, 0);
    let node = site.node("n0").await;
    node.wait_replicas(1).await;
    let before = site.groups.serving();
    let head: HostId = before[0][0].parse().expect("a host");
    let _way = site.lose_connections(head.as_str()).await;
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").expect("a socket");
    let hint = LoadHint::Reported {
        head: (&head).into(),
        requests: 1,
        served: true,
    };
    let datagram = hint.encode().expect("a datagram");
    for number in 0..30 {
        socket.send_to(&datagram, node.hints).expect("a datagram");
        if number == 2 {
            let refused = TestRequest::chat("c-1").send(&node).await;
            assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
        }
        tokio::time::sleep(HINT_PAUSE).await;
    }
    assert!(!node.lines(&["target_suspected", head.as_str()]).is_empty());
    assert_eq!(site.groups.serving(), before);
    assert!(node.lines(&["order_ended", "leave"]).is_empty());
    node.wait_line(&["step_taken", "form", "e4"]).await;
}

/// Bytes that are no hint come to the address for hints, and hints of hosts that nobody knows. The
/// node serves on; a caller notices nothing.
#[tokio::test(flavor = "multi_thread")]
async fn foreign_bytes_ignored() {
    let site = TestSite::start(4, 0);
    let node = site.node("n0").await;
    node.wait_replicas(1).await;
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").expect("a socket");
    let long = [0xff; 300];
    for bytes in [
        &b""[..],
        &b"\x00"[..],
        &b"\x01\x07\x07"[..],
        &b"\xfb\xff\xff"[..],
        &long[..],
    ] {
        socket.send_to(bytes, node.hints).expect("a datagram");
    }
    let answer = TestRequest::chat("c-1").send(&node).await;
    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
}
