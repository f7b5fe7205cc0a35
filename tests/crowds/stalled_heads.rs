//! Heads that begin and do not end, in many connections.

use std::fmt::Write as _;
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

use crate::crowd::CrowdBytes;
use crate::gateway::{Face, HEAD_BYTES, Machine, TestGateway, request_head};

/// Connections of a crowd.
const CROWD: usize = 800;

/// A machine that has no more memory for each connection of a crowd than for the start of a request.
const TINY_MACHINE: Machine = Machine {
    memory_mb: 44.0,
    descriptors: 2000,
};

/// Time within which a connection whose head stalls must be closed. It is far above the limit of 3 s, since it only
/// tells whether there is one, and below the idle timeout of 120 s.
const CLOSE_TIMEOUT: Duration = Duration::from_mins(1);

/// A head inside the limit with as many lines as fit, without the empty line at its end.
pub fn many_lines() -> String {
    let mut head = request_head("POST", "/look/x", "lines");
    for number in 0..3900 {
        if head.len() + 8 > HEAD_BYTES - 200 {
            break;
        }
        write!(head, "h{}:\r\n", number % 10).expect("a String can be written");
    }
    head
}

async fn play(machine: Machine, bytes: CrowdBytes) {
    let mut gateway = TestGateway::start_on(machine).await;
    let _crowd = gateway.crowd(Face::Requests, CROWD, &bytes).await;
    gateway.assert_sound(CROWD).await;
}

/// Guards against heads of twice the limit that stall: each takes memory for as long as its client likes.
#[tokio::test(flavor = "multi_thread")]
async fn over_limit() {
    let head = format!("{}x-long: ", request_head("GET", "/look/x", "stalls"));
    let bytes = CrowdBytes::once(head).then_repeat(b"x", 40_000);
    play(
        Machine {
            memory_mb: 52.0,
            ..TINY_MACHINE
        },
        bytes,
    )
    .await;
}

/// Guards against heads inside the limit, with thousands of lines, that stall.
#[tokio::test(flavor = "multi_thread")]
async fn many_lines_inside_limit() {
    let machine = Machine {
        memory_mb: 64.0,
        ..TINY_MACHINE
    };
    play(machine, CrowdBytes::once(many_lines())).await;
}

/// Guards against connections that take memory before anything of a request has come.
#[tokio::test(flavor = "multi_thread")]
async fn one_byte() {
    play(TINY_MACHINE, CrowdBytes::once("G")).await;
}

/// Guards against a connection that is kept for minutes while its head stalls: the configured limit is not applied.
#[tokio::test(flavor = "multi_thread")]
async fn closed_in_time() {
    let gateway = TestGateway::start().await;
    let mut stream = TcpStream::connect(gateway.address(Face::Requests))
        .await
        .expect("the gateway listens");
    let half = request_head("GET", "/look/x", "half");
    stream.write_all(half.as_bytes()).await.expect("it reads");
    let mut response = Vec::new();
    let closing = tokio::time::timeout(CLOSE_TIMEOUT, stream.read_to_end(&mut response));
    assert!(closing.await.is_ok(), "the connection is still open");
    // Nothing was run: the client may be told so, and must not be told that its request was wrong.
    let text = String::from_utf8_lossy(&response);
    assert!(
        text.is_empty() || text.starts_with("HTTP/1.1 408"),
        "{text}"
    );
    assert_eq!(
        gateway.ordinary_request().await.as_deref(),
        Some("HTTP/1.1 200 OK")
    );
}

/// Guards against a proper client that is refused since its head comes in pieces, within the limit of 3 s.
#[tokio::test(flavor = "multi_thread")]
async fn slow_head_served() {
    let gateway = TestGateway::start().await;
    let mut stream = TcpStream::connect(gateway.address(Face::Requests))
        .await
        .expect("the gateway listens");
    let head = format!("{}\r\n", request_head("GET", "/look/x", "slow"));
    for part in head.as_bytes().chunks(head.len() / 10 + 1) {
        stream.write_all(part).await.expect("it reads");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let mut response = [0; 15];
    let reading = tokio::time::timeout(CLOSE_TIMEOUT, stream.read_exact(&mut response));
    reading.await.expect("in time").expect("a response");
    assert_eq!(&response, b"HTTP/1.1 200 OK");
}
