//! What may come in and around the body of a request, without end or in the smallest pieces.

use crate::crowd::{CrowdBytes, MOST_BYTES};
use crate::gateway::{BODY_BYTES, Face, TestGateway, request_head};
use crate::http2::PREFACE;
use crate::stalled_heads::many_lines;

/// Connections of a crowd that sends much.
const CROWD: usize = 240;

/// Connections of a crowd that sends little.
const LARGE_CROWD: usize = 800;

/// Empty lines before a sound request.
const LINES: usize = 20_000;

async fn play(count: usize, bytes: CrowdBytes) {
    let mut gateway = TestGateway::start().await;
    let _crowd = gateway.crowd(Face::Requests, count, &bytes).await;
    gateway.assert_sound(count).await;
}

fn post_head(header: &str) -> String {
    format!(
        "{}{header}\r\n\r\n",
        request_head("POST", "/look/x", "body")
    )
}

fn chunked() -> CrowdBytes {
    CrowdBytes::once(post_head("transfer-encoding: chunked"))
}

/// Guards against clients that ask whether they may send a body, and send none.
#[tokio::test(flavor = "multi_thread")]
async fn expect_continue() {
    let header = format!("content-length: {BODY_BYTES}\r\nexpect: 100-continue");
    play(LARGE_CROWD, CrowdBytes::once(post_head(&header))).await;
}

/// Guards against the start of another version of the protocol, whose frames never end.
#[tokio::test(flavor = "multi_thread")]
async fn http2_preface() {
    let bytes = CrowdBytes::once(PREFACE).then_repeat(&[0, 0, 0, 4, 0, 0, 0, 0, 0], MOST_BYTES);
    play(CROWD, bytes).await;
}

/// Guards against trailers without end.
#[tokio::test(flavor = "multi_thread")]
async fn endless_trailers() {
    let begin = format!("{}0\r\n", post_head("transfer-encoding: chunked"));
    let bytes = CrowdBytes::once(begin).then_repeat(b"a: b\r\n", MOST_BYTES);
    play(CROWD, bytes).await;
}

/// Guards against extensions of a chunk without end.
#[tokio::test(flavor = "multi_thread")]
async fn endless_extensions() {
    let begin = format!("{}1;", post_head("transfer-encoding: chunked"));
    let bytes = CrowdBytes::once(begin).then_repeat(b"x=y;", MOST_BYTES);
    play(CROWD, bytes).await;
}

/// Guards against bodies over the limit, which their heads announce.
#[tokio::test(flavor = "multi_thread")]
async fn large_bodies() {
    let head = post_head(&format!("content-length: {}", 2 * MOST_BYTES));
    let bytes = CrowdBytes::once(head).then_repeat(b"x", MOST_BYTES);
    play(CROWD, bytes).await;
}

/// Guards against bodies over the limit that come in chunks.
#[tokio::test(flavor = "multi_thread")]
async fn large_chunks() {
    let chunk = [&b"2000\r\n"[..], &[b'x'; 0x2000], b"\r\n"].concat();
    play(CROWD, chunked().then_repeat(&chunk, MOST_BYTES)).await;
}

/// Guards against bodies in chunks of a byte, each of which takes many times that.
#[tokio::test(flavor = "multi_thread")]
async fn chunks_of_a_byte() {
    play(CROWD, chunked().then_repeat(b"1\r\nx\r\n", MOST_BYTES)).await;
}

/// Guards against empty lines beyond the size of a head, which a sound request follows.
#[tokio::test(flavor = "multi_thread")]
async fn lines_before_request() {
    let request = format!("{}\r\n", request_head("GET", "/look/x", "lines"));
    let bytes = "\r\n".repeat(LINES) + &request;
    play(CROWD, CrowdBytes::once(bytes)).await;
}

/// Guards against whole heads inside the limit with thousands of lines.
#[tokio::test(flavor = "multi_thread")]
async fn whole_heads_of_many_lines() {
    let head = format!("{}content-length: 0\r\n\r\n", many_lines());
    play(LARGE_CROWD, CrowdBytes::once(head)).await;
}

/// Guards against requests that come one after the other on each connection, whose responses nobody reads.
#[tokio::test(flavor = "multi_thread")]
async fn pipelined_and_unread() {
    let request = format!("{}\r\n", request_head("GET", "/look/x", "next"));
    let bytes = CrowdBytes::default()
        .then_repeat(request.as_bytes(), MOST_BYTES)
        .read_little();
    play(CROWD, bytes).await;
}
