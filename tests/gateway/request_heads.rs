//! Request heads that are proper by HTTP and within the limits that the configuration states.

use std::fmt::Write as _;
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

use crate::refusal_makers::first_line;
use crate::site::{HOST, KEY, TestSite};

/// Time in which a response must come.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Pause between the pieces of a head.
const PIECE_INTERVAL: Duration = Duration::from_millis(3);

/// Head of a look-up with further header lines, without the empty line at its end.
fn look_up_head(id: &str, host: &str) -> String {
    format!(
        "GET /look/x HTTP/1.1\r\nhost: {host}\r\nx-request-id: {id}\r\nx-credential: {KEY}\r\n\
         x-deadline-ms: 5000\r\n"
    )
}

async fn assert_served(head: &str) {
    let site = TestSite::start(0, 1);
    let node = site.node("n0").await;
    let line = first_line(node.requests, format!("{head}\r\n").as_bytes()).await;
    assert_eq!(line, "HTTP/1.1 200 OK");
}

/// Guards against 431 for a head of many small headers that is well within `max_header_bytes`: the HTTP
/// library counts headers, and the client is told for good that its request is wrong.
#[tokio::test(flavor = "multi_thread")]
async fn many_small_headers() {
    let mut head = look_up_head("h-1", HOST);
    for number in 0..120 {
        write!(head, "x-note-{number}: {}\r\n", "v".repeat(45)).expect("a String can be written");
    }
    assert!(head.len() < 8 << 10);
    assert_served(&head).await;
}

/// Guards against the same for as many headers as fit into the limit.
#[tokio::test(flavor = "multi_thread")]
async fn as_many_headers_as_fit() {
    let mut head = look_up_head("h-1", HOST);
    for number in 0.. {
        let line = format!("h{number}:\r\n");
        if head.len() + line.len() > 16_000 {
            break;
        }
        head.push_str(&line);
    }
    assert_served(&head).await;
}

/// Largest head that the configuration of a site allows, in bytes.
const HEAD_BYTES: usize = 16 << 10;

/// A head of this many bytes, with one long header.
fn head_of(length: usize) -> String {
    let head = format!("{}x-long: ", look_up_head("h-1", HOST));
    let padding = length - head.len() - "\r\n\r\n".len();
    format!("{head}{}\r\n", "x".repeat(padding))
}

/// Guards against 431 for a head that has just the size that the configuration allows, also after an empty line.
#[tokio::test(flavor = "multi_thread")]
async fn exactly_at_limit() {
    let head = head_of(HEAD_BYTES);
    assert_eq!(head.len() + 2, HEAD_BYTES);
    assert_served(&head).await;
    assert_served(&format!("\r\n{head}")).await;
}

/// Guards against a larger head that is served, and whose memory no limit bounds.
#[tokio::test(flavor = "multi_thread")]
async fn over_limit() {
    let site = TestSite::start(0, 1);
    let node = site.node("n0").await;
    for length in [HEAD_BYTES + 1, HEAD_BYTES + 2000, 300_000] {
        let head = format!("{}\r\n", head_of(length));
        let mut stream = TcpStream::connect(node.requests).await.expect("connects");
        // The node may close the connection before it has read everything.
        drop(stream.write_all(head.as_bytes()).await);
        let mut response = [0; 12];
        let read = stream.read_exact(&mut response).await;
        // What was not read resets the connection, which may reach the client before the response.
        assert!(read.is_err() || &response == b"HTTP/1.1 431", "{length}");
    }
    node.wait_log_line(&["request_unreadable", "431"]).await;
    assert_eq!(site.plain_runs("h-1"), 0);
}

/// Guards against 431 for a head with many headers after two empty lines, which a server ignores before a request.
#[tokio::test(flavor = "multi_thread")]
async fn many_headers_after_empty_lines() {
    for lines in ["\r\n", "\r\n\r\n", "\n\n\n"] {
        let mut head = format!("{lines}{}", look_up_head("h-1", HOST));
        for number in 0..200 {
            write!(head, "x-note-{number}: v\r\n").expect("a String can be written");
        }
        assert_served(&head).await;
    }
}

/// Reads one response, whose body is that of the stand-in's instances; returns its head.
async fn read_response(stream: &mut TcpStream) -> String {
    let reading = async {
        let mut bytes = Vec::new();
        while !bytes.ends_with(b"\r\n\r\nreceipt") {
            let read = stream.read_buf(&mut bytes).await.expect("a response");
            assert!(read > 0, "{}", String::from_utf8_lossy(&bytes));
        }
        String::from_utf8_lossy(&bytes).into_owned()
    };
    let text = tokio::time::timeout(RESPONSE_TIMEOUT, reading).await;
    text.expect("a response in time")
}

/// Guards against 431, or a request that is lost, where a head with many headers follows others on a kept
/// connection, comes in pieces, or has a body whose lines look like more headers.
#[tokio::test(flavor = "multi_thread")]
async fn many_headers_on_kept_connection() {
    let site = TestSite::start(0, 1);
    let node = site.node("n0").await;
    let mut stream = TcpStream::connect(node.requests).await.expect("connects");
    for round in 0..6 {
        let mut head = look_up_head(&format!("h-{round}"), HOST);
        head = head.replacen("GET", "POST", 1);
        if round % 2 == 1 {
            for number in 0..60 * round {
                write!(head, "x-note-{number}: {round}\r\n").expect("a String can be written");
            }
        }
        let body = "a line\n\n".repeat(20 * round);
        write!(head, "content-length: {}\r\n\r\n{body}", body.len()).expect("can be written");
        let piece = if round < 3 { head.len() } else { 700 };
        for bytes in head.as_bytes().chunks(piece) {
            stream.write_all(bytes).await.expect("the node reads");
            tokio::time::sleep(PIECE_INTERVAL).await;
        }
        let response = read_response(&mut stream).await;
        assert!(response.starts_with("HTTP/1.1 200 OK"), "{response}");
    }
}

/// Sends these heads at once on one connection and expects a response to each.
async fn assert_pipelined_served(heads: &[String]) {
    let site = TestSite::start(0, 1);
    let node = site.node("n0").await;
    let mut stream = TcpStream::connect(node.requests).await.expect("connects");
    let text = heads.join("\r\n") + "\r\n";
    stream.write_all(text.as_bytes()).await.expect("it reads");
    let reading = async {
        let mut bytes = Vec::new();
        loop {
            let text = String::from_utf8_lossy(&bytes).into_owned();
            if text.matches("receipt").count() == heads.len() {
                return text;
            }
            let read = stream.read_buf(&mut bytes).await.expect("a response");
            assert!(read > 0, "{}", String::from_utf8_lossy(&bytes));
        }
    };
    let text = tokio::time::timeout(RESPONSE_TIMEOUT, reading).await;
    let text = text.expect("responses in time");
    assert_eq!(
        text.matches("HTTP/1.1 200 OK").count(),
        heads.len(),
        "{text}"
    );
}

/// Guards against a client that sends requests without waiting for responses, and of which a later head is refused.
#[tokio::test(flavor = "multi_thread")]
async fn pipelined_heads() {
    let plain: Vec<String> = (0..4)
        .map(|number| look_up_head(&format!("h-{number}"), HOST))
        .collect();
    assert_pipelined_served(&plain).await;
    let large = [
        look_up_head("h-8", HOST),
        head_of(12_000),
        head_of(HEAD_BYTES),
    ];
    assert_pipelined_served(&large).await;
}

/// Guards against 404 for the fully qualified form of the host's name.
#[tokio::test(flavor = "multi_thread")]
async fn host_with_trailing_dot() {
    assert_served(&look_up_head("h-1", &format!("{HOST}."))).await;
    assert_served(&look_up_head("h-2", &format!("{HOST}.:8080"))).await;
}
