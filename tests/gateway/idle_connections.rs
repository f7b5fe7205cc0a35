//! Connections that clients keep open between requests.

use std::time::Duration;

use http::StatusCode;
use serde_json::json;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

use crate::request::{TestRequest, read_response};
use crate::site::{HOST, KEY, TestSite, configuration};

/// Configured idle timeout of client connections, in milliseconds.
const IDLE_MS: u64 = 1500;

/// Events of a stream that lasts two seconds, longer than the idle timeout.
const STREAM_EVENTS: usize = 50;

/// Pause between two requests, shorter than the idle timeout.
const REQUEST_INTERVAL: Duration = Duration::from_millis(900);

/// Time between the head and the body of a request.
const BODY_DELAY: Duration = Duration::from_millis(300);

/// A stream takes longer than the idle timeout, and the next request follows on the same connection
/// within the timeout. If idle time were measured from the start of the first request, the
/// connection would be closed under the second.
#[tokio::test(flavor = "multi_thread")]
async fn idle_since_last_response() {
    let site = TestSite::start(4, 1);
    let mut config = configuration(2);
    config["limits"]["idle_timeout_ms"] = json!(IDLE_MS);
    site.configure(&config);
    let node = site.node("n0").await;
    node.wait_replicas(1).await;
    site.groups.set_events(STREAM_EVENTS);
    let (mut connection, response) = TestRequest::chat("c-1").begin(&node).await;
    let response = read_response(response).await;
    assert!(response.complete);
    tokio::time::sleep(REQUEST_INTERVAL).await;
    let again = TestRequest::new("/look/x", "l-1")
        .begin_on(&mut connection)
        .await;
    let again = again.expect("response on the idle connection");
    assert_eq!(again.status(), StatusCode::OK);
}

/// Clients use a connection as long as it looks open. Each response must tell them for how long it
/// stays so, or a request sent at the moment of the close is cut off without a response.
#[tokio::test(flavor = "multi_thread")]
async fn idle_timeout_announced() {
    let site = TestSite::start(4, 1);
    let node = site.node("n0").await;
    node.wait_replicas(1).await;
    let requests = [
        TestRequest::chat("c-1"),
        TestRequest::new("/look/x", "l-1"),
        TestRequest::new("/nowhere/x", "l-2"),
    ];
    for request in requests {
        let response = request.send(&node).await;
        let announced = response.headers.get("keep-alive");
        assert_eq!(
            announced.and_then(|value| value.to_str().ok()),
            Some("timeout=15")
        );
    }
}

/// Reads one response without a body from a raw connection; returns its head in lower case.
async fn read_head(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let byte = stream.read_u8().await;
        head.push(byte.expect("a response on the open connection"));
    }
    String::from_utf8_lossy(&head).to_lowercase()
}

/// A client's request is rejected by its head, and the body is still on its way. The connection must
/// serve the client's next request or be announced as closing; closed without a word, it cuts that
/// request off.
#[tokio::test(flavor = "multi_thread")]
async fn late_body_of_rejected_request() {
    let site = TestSite::start(0, 1);
    let node = site.node("n0").await;
    for (path, key) in [("/nowhere/x", KEY), ("/look/x", "unknown")] {
        let mut stream = TcpStream::connect(node.requests)
            .await
            .expect("a connection");
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nx-credential: {key}\r\ncontent-length: 4\r\n\r\n"
        );
        let sent = stream.write_all(head.as_bytes()).await;
        sent.expect("the head is sent");
        tokio::time::sleep(BODY_DELAY).await;
        let sent = stream.write_all(b"body").await;
        sent.expect("the body is sent");
        let rejected = read_head(&mut stream).await;
        assert!(rejected.starts_with("http/1.1 40"), "{rejected}");
        let next = format!(
            "POST /look/x HTTP/1.1\r\nhost: {HOST}\r\nx-credential: {KEY}\r\nx-request-id: l-1\r\n\
             x-deadline-ms: 5000\r\ncontent-length: 2\r\n\r\n{{}}"
        );
        let sent = stream.write_all(next.as_bytes()).await;
        sent.expect("the next request is sent");
        let served = read_head(&mut stream).await;
        assert!(served.starts_with("http/1.1 200"), "{served}");
    }
}

/// A client announces a larger body than allowed. It can't be read to its end, so the response must
/// announce that the connection closes.
#[tokio::test(flavor = "multi_thread")]
async fn large_body_closes_connection() {
    let site = TestSite::start(0, 1);
    let node = site.node("n0").await;
    for path in ["/nowhere/x", "/look/x"] {
        let mut stream = TcpStream::connect(node.requests)
            .await
            .expect("a connection");
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nx-credential: {KEY}\r\ncontent-length: 9000\r\n\r\n"
        );
        let request = [head.as_bytes(), &[b'x'; 9000]].concat();
        let sent = stream.write_all(&request).await;
        sent.expect("the request is sent");
        let rejected = read_head(&mut stream).await;
        assert!(rejected.contains("connection: close"), "{rejected}");
    }
}
