//! Peers that always have bytes ready, of which the HTTP library makes nothing: others are served meanwhile.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http::StatusCode;
use serde_json::json;
use standin::site::{EndlessInstance, EndlessKind};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

use crate::node::TestNode;
use crate::request::TestRequest;
use crate::site::{HOST, TestSite, configuration};

/// Requests of other clients, and the pause between two.
const REQUESTS: usize = 40;
const PAUSE: Duration = Duration::from_millis(100);

/// Time that each of them has.
const DEADLINE: Duration = Duration::from_secs(2);

/// Time after which a connection of which nothing can come must be closed: the longest that a body may take to
/// arrive, and a little more.
const CLOSE_TIME: Duration = Duration::from_secs(15);

/// Head of a request without a key, whose body comes in chunks.
fn strange_head() -> String {
    format!(
        "POST /look/x HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: s-1\r\ntransfer-encoding: chunked\r\n\r\n"
    )
}

/// Sends once, then without end, until the other side closes the connection; returns after how long it did.
async fn send_endlessly(address: SocketAddr, once: Vec<u8>, repeated: &[u8]) -> Duration {
    let began = Instant::now();
    let stream = TcpStream::connect(address).await.expect("it listens");
    let (mut reader, mut writer) = stream.into_split();
    let block = repeated.repeat((64 << 10) / repeated.len());
    let reading = tokio::spawn(async move {
        let mut buffer = vec![0; 64 << 10];
        while reader
            .read(&mut buffer)
            .await
            .is_ok_and(|length| length > 0)
        {}
    });
    drop(writer.write_all(&once).await);
    while writer.write_all(&block).await.is_ok() {}
    reading.abort();
    began.elapsed()
}

/// Sends requests of other clients; returns how many were not served in time.
async fn count_unserved(node: &TestNode, name: &str) -> usize {
    let sending = (0..REQUESTS).map(|number| async move {
        tokio::time::sleep(PAUSE * u32::try_from(number).expect("few requests")).await;
        let request = TestRequest::new("/look/x", &format!("{name}-{number}"));
        let request = request.header("x-deadline-ms", "2000");
        let response = tokio::time::timeout(DEADLINE, request.send(node)).await;
        usize::from(!response.is_ok_and(|response| response.status == StatusCode::OK))
    });
    futures::future::join_all(sending).await.into_iter().sum()
}

/// Guards against a stranger who stops a node with one connection: it sends a request without a key, and digits of a
/// chunk's size without end.
#[tokio::test(flavor = "multi_thread")]
async fn stranger_leaves_others_served() {
    let site = TestSite::start(0, 1);
    let node = site.node("n0").await;
    let sending = send_endlessly(node.requests, strange_head().into_bytes(), b"0");
    let sending = tokio::spawn(tokio::time::timeout(CLOSE_TIME, sending));
    let unserved = count_unserved(&node, "o").await;
    assert_eq!(unserved, 0, "of {REQUESTS}");
    let closed = sending.await.expect("no panic");
    assert!(closed.is_ok(), "the connection is closed");
}

/// Guards against the same by several connections, with a key and a route, whose bodies the node reads.
#[tokio::test(flavor = "multi_thread")]
async fn clients_leave_others_served() {
    let site = TestSite::start(0, 1);
    let node = site.node("n0").await;
    let head = strange_head().replace(
        "x-request-id",
        "x-credential: key-of-the-desk\r\nx-request-id",
    );
    let sending: Vec<_> = (0..4)
        .map(|_| {
            let sending = send_endlessly(node.requests, head.clone().into_bytes(), b"0");
            tokio::spawn(tokio::time::timeout(CLOSE_TIME, sending))
        })
        .collect();
    let unserved = count_unserved(&node, "o").await;
    assert_eq!(unserved, 0, "of {REQUESTS}");
    for sending in sending {
        assert!(sending.await.expect("no panic").is_ok(), "it is closed");
    }
}

/// Guards against the same at the addresses for readiness and metrics, and at that for links of other nodes, by bytes
/// that come before anybody has proved anything.
#[tokio::test(flavor = "multi_thread")]
async fn other_faces_leave_clients_served() {
    let site = TestSite::start(0, 1);
    let node = site.node("n0").await;
    let mut unknown_frames = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_vec();
    unknown_frames.extend([0, 0, 0, 4, 0, 0, 0, 0, 0]);
    // Frames of an unknown type, without content, are skipped.
    let unknown_frame = [0, 0, 0, 0x20, 0, 0, 0, 0, 0];
    let strange = strange_head().into_bytes();
    for (name, address, once, repeated) in [
        ("readiness", node.readiness, strange.clone(), &b"0"[..]),
        ("metrics", node.metrics, strange.clone(), b"0"),
        ("links", node.links, unknown_frames, &unknown_frame),
    ] {
        let sending = async {
            send_endlessly(address, once, repeated).await;
            std::future::pending::<()>().await;
        };
        let unserved = tokio::select! {
            unserved = count_unserved(&node, name) => unserved,
            () = sending => unreachable!("it never ends"),
        };
        assert_eq!(unserved, 0, "{name}: of {REQUESTS}");
    }
}

/// Guards against a faulty target that stops a node with one response: with digits of a chunk's size, or interim
/// responses, without end. Its own request ends by its deadline.
#[tokio::test(flavor = "multi_thread")]
async fn faulty_target_leaves_others_served() {
    for kind in [EndlessKind::ChunkSize, EndlessKind::Interim] {
        let site = TestSite::start(0, 1);
        let mut config = configuration(2);
        let mut route = config["routes"][2].clone();
        route["name"] = json!("faulty");
        route["prefix"] = json!("/faulty/");
        route["service"] = json!("faulty");
        config["routes"].as_array_mut().expect("routes").push(route);
        let service = json!({"name": "faulty", "max_connections": 100, "health_path": "/health"});
        config["services"]
            .as_array_mut()
            .expect("services")
            .push(service);
        site.configure(&config);
        let faulty = EndlessInstance::start_fast(&site.store, "faulty", "f0", kind);
        let _faulty = faulty.expect("a port is free");
        let node = site.node("n0").await;
        let request = TestRequest::new("/faulty/x", "f-1").header("x-deadline-ms", "2000");
        let asking = async {
            let began = Instant::now();
            let response = request.send(&node).await;
            (response.status, began.elapsed())
        };
        let ((status, took), unserved) = tokio::join!(asking, count_unserved(&node, "o"));
        assert_eq!(unserved, 0, "{kind:?}: of {REQUESTS}");
        assert!(status.is_server_error(), "{kind:?}: {status}");
        assert!(
            took < DEADLINE + Duration::from_millis(500),
            "{kind:?}: {took:?}"
        );
    }
}
