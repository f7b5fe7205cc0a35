//! Requests that a client sends before it has the response to the last one, as HTTP/1.1 allows. Nobody but the HTTP
//! library knows where the next head begins then.

use std::time::Duration;

use serde_json::json;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::Instant;

use crate::node::{TestNode, wait_for};
use crate::site::{HOST, KEY, TestSite, configuration};

/// Time after which the rest of a second request comes, long after the response to the first one.
const REST_DELAY: Duration = Duration::from_millis(150);

/// Time in which a response must come.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

fn head(method: &str, path: &str, id: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: {id}\r\nx-credential: {KEY}\r\n\
         x-deadline-ms: 8000\r\n"
    )
}

/// Reads a response of the stand-in's instances; returns its status line, or what came instead.
async fn read_status(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let reading = async {
        while !bytes.ends_with(b"\r\n\r\nreceipt") {
            match stream.read_u8().await {
                Ok(byte) => bytes.push(byte),
                Err(_) => return,
            }
        }
    };
    // What has come by then is compared.
    drop(tokio::time::timeout(RESPONSE_TIMEOUT, reading).await);
    let text = String::from_utf8_lossy(&bytes).into_owned();
    text.lines().next().unwrap_or_default().to_owned()
}

/// Length of a response that the system can't take at once for a client that reads slowly.
const LARGE_BYTES: usize = 8 << 20;

/// Time for which a client reads a large response.
const READING_TIME: Duration = Duration::from_millis(3500);

/// Reads a large response slowly; returns how many bytes of its body came.
async fn read_slowly(stream: &mut TcpStream) -> usize {
    let began = Instant::now();
    let mut bytes = Vec::new();
    let mut body_at = None;
    while body_at.is_none_or(|at| bytes.len() - at < LARGE_BYTES) {
        let left = body_at.map_or(LARGE_BYTES, |at| LARGE_BYTES + at - bytes.len());
        let mut piece = vec![0; left.min(64 << 10)];
        let read = tokio::time::timeout(RESPONSE_TIMEOUT, stream.read(&mut piece)).await;
        match read.expect("bytes in time") {
            Ok(length @ 1..) => bytes.extend_from_slice(&piece[..length]),
            _ => break,
        }
        if body_at.is_none() {
            let end = bytes.windows(4).position(|bytes| bytes == b"\r\n\r\n");
            body_at = end.map(|end| end + 4);
        }
        let share = f64::from(u32::try_from(bytes.len()).expect("few bytes"))
            / f64::from(u32::try_from(LARGE_BYTES).expect("few bytes"));
        tokio::time::sleep_until(began + READING_TIME.mul_f64(share.min(1.0))).await;
    }
    let body = &bytes[body_at.expect("a head")..];
    body.iter().filter(|byte| **byte == b'y').count()
}

/// Connects with a small buffer, so that the node has to wait for the client.
async fn connect_narrow(node: &TestNode) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket
        .set_recv_buffer_size(32 << 10)
        .expect("a small buffer");
    socket.connect(node.requests).await.expect("connects")
}

async fn start_large() -> (TestSite, TestNode) {
    let site = TestSite::start(0, 1);
    let mut config = configuration(2);
    config["limits"]["header_timeout_ms"] = json!(300);
    config["limits"]["idle_timeout_ms"] = json!(500);
    site.configure(&config);
    let node = site.node("n0").await;
    site.instances[0].set_text(&"y".repeat(LARGE_BYTES));
    (site, node)
}

/// Guards against a response that is cut in the middle because the head of the next request, which the client has sent
/// meanwhile, counts as late: the library reads no head before the response is written.
#[tokio::test(flavor = "multi_thread")]
async fn next_head_during_response() {
    let (site, node) = start_large().await;
    let second = format!("{}\r\n", head("GET", "/look/x", "n-2"));
    {
        let mut stream = connect_narrow(&node).await;
        site.instances[0].set_text(&"y".repeat(LARGE_BYTES));
        let first = format!("{}\r\n", head("GET", "/look/x", "n-1"));
        stream.write_all(first.as_bytes()).await.expect("written");
        let runs = site.plain_runs("n-1");
        wait_for("the first request", || {
            site.plain_runs("n-1") > runs || runs > 0
        })
        .await;
        tokio::time::sleep(REST_DELAY * 2).await;
        site.instances[0].set_text("receipt");
        stream.write_all(second.as_bytes()).await.expect("written");
        assert_eq!(read_slowly(&mut stream).await, LARGE_BYTES);
        assert_eq!(read_status(&mut stream).await, "HTTP/1.1 200 OK");
    }
}

/// Guards against a response that is cut when its node stops, or whose connection counts as idle, while its client
/// reads it.
#[tokio::test(flavor = "multi_thread")]
async fn stop_during_response() {
    let (site, mut node) = start_large().await;
    let mut stream = connect_narrow(&node).await;
    let first = format!("{}\r\n", head("GET", "/look/x", "n-1"));
    stream.write_all(first.as_bytes()).await.expect("written");
    wait_for("the request", || site.plain_runs("n-1") == 1).await;
    tokio::time::sleep(REST_DELAY * 2).await;
    node.signal("TERM");
    assert_eq!(read_slowly(&mut stream).await, LARGE_BYTES);
    drop(stream);
    assert_eq!(node.wait_exit().await, Some(0));
}
