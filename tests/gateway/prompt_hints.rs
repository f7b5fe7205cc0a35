//! Nodes that tell each other of prompts.

use std::time::Duration;

use http::StatusCode;

use crate::call::{TestCall, read_rest};
use crate::kit::TestSite;

/// Time for a datagram on loopback.
const HINT_TIME: Duration = Duration::from_millis(50);

/// One node sends a very long prompt to one of two replicas. Callers of the other node who went there
/// would wait until it is read; they see their first token at once, because that node was told and
/// goes to the other replica.
#[tokio::test(flavor = "multi_thread")]
async fn long_prompt_avoided() {
    let site = TestSite::start(9, 0).await;
    let (first, second) = (site.node("n0").await, site.node("n1").await);
    first.wait_replicas(2).await;
    second.wait_replicas(2).await;
    for node in [&first, &second] {
        node.wait_line(&["nodes_counted", "\"nodes\":2"]).await;
    }
    let long = TestCall::chat("long").header("x-token-usage", "150000,10");
    let (_link, answer) = long.begin(&first).await;
    tokio::time::sleep(HINT_TIME).await;
    for number in 0..6 {
        let id = format!("short-{number}");
        let answer = TestCall::chat(&id).send(&second).await;
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
        for engine in &site.engines {
            let shared =
                site.groups.ran_at(&engine.id, "long") && site.groups.ran_at(&engine.id, &id);
            assert!(!shared, "{id} went behind the long prompt");
        }
    }
    assert!(read_rest(answer).await.whole);
}

/// Bytes that are no hint come to the address for hints, and hints of hosts that nobody knows. The
/// node serves on; a caller notices nothing.
#[tokio::test(flavor = "multi_thread")]
async fn foreign_bytes_ignored() {
    let site = TestSite::start(4, 0).await;
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
    let answer = TestCall::chat("c-1").send(&node).await;
    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
}
