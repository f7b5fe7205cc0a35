//! Who made a response with a 3xx or 4xx, as logs and metrics tell.

use std::net::SocketAddr;

use http::StatusCode;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

use crate::node::{TestNode, wait_for};
use crate::request::TestRequest;
use crate::site::{TestSite, configuration};

/// Sends bytes on a connection of their own and returns the first line of what comes back.
pub async fn first_line(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.expect("node listens");
    stream.write_all(bytes).await.expect("node reads");
    let mut response = vec![0; 4096];
    let length = stream.read(&mut response).await.expect("node responds");
    let text = String::from_utf8_lossy(&response[..length]);
    text.lines().next().unwrap_or_default().to_owned()
}

/// Number of refusals with a status, by maker.
async fn counted(node: &TestNode, maker: &str, status: u16) -> usize {
    let text = node.metrics().await;
    let mut lines = text.lines().filter(|line| {
        line.starts_with("bramleyspring_gateway_refusal_count_total")
            && line.contains(&format!("maker=\"{maker}\""))
            && line.contains(&format!("status=\"{status}\""))
    });
    let count = lines.next().and_then(|line| line.rsplit(' ').next());
    count.map_or(0, |count| count.parse().expect("count is a number"))
}

/// Guards against a refusal by the configuration of which nobody can tell which copy of it was asked.
#[tokio::test(flavor = "multi_thread")]
async fn refused_by_configuration() {
    let site = TestSite::start(0, 1);
    site.configure(&configuration(5));
    let node = site.node("n0").await;
    let response = TestRequest::new("/nowhere/x", "r-1").send(&node).await;
    assert_eq!(response.status, StatusCode::NOT_FOUND);
    let line = node.wait_log_line(&["request_failed", "r-1"]).await;
    assert_eq!(line["maker"], "configuration");
    assert_eq!(line["revision"], 5);
    assert_eq!(line["config_source"], "store");
    assert!(line["config_age_ms"].is_u64());
    assert_eq!(counted(&node, "configuration", 404).await, 1);
}

/// Guards against a refusal by the HTTP library that no line and no metric shows.
#[tokio::test(flavor = "multi_thread")]
async fn refused_by_library() {
    let site = TestSite::start(0, 1);
    let node = site.node("n0").await;
    let line = first_line(node.requests, b"GET /look/x HTTP/1.1\r\nbad header\r\n\r\n").await;
    assert!(line.contains("400"), "{line}");
    let line = node.wait_log_line(&["request_unreadable"]).await;
    assert_eq!(line["maker"], "http_library");
    assert_eq!(line["status"], 400);
    assert!(
        line["client"]
            .as_str()
            .is_some_and(|client| client.starts_with("127.0.0.1:"))
    );
    assert_eq!(counted(&node, "http_library", 400).await, 1);
}

/// Guards against refusals whose lines get lost while many other requests are rejected: their number and
/// maker are still known, and so are the kinds of the lines that were dropped.
#[tokio::test(flavor = "multi_thread")]
async fn refusals_counted_under_load() {
    let site = TestSite::start(0, 1);
    let node = site.node("n0").await;
    for number in 0..900 {
        let id = format!("r-{number}");
        let response = TestRequest::new("/nowhere/x", &id).send(&node).await;
        assert_eq!(response.status, StatusCode::NOT_FOUND);
    }
    assert_eq!(counted(&node, "configuration", 404).await, 900);
    let text = node.metrics().await;
    let dropped = text.lines().any(|line| {
        line.starts_with("bramleyspring_gateway_log_dropped_kind")
            && line.contains("event=\"request_failed\"")
    });
    let written = || node.log_lines(&["request_failed"]).len();
    wait_for("all lines", || dropped || written() >= 900).await;
    let written = written();
    assert!(dropped || written == 900, "{written} lines\n{text}");
}
