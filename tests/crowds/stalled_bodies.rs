//! Bodies that begin and do not end, in many connections.

use crate::crowd::CrowdBytes;
use crate::gateway::{BODY_BYTES, Face, TestGateway, request_head};
use crate::stalled_heads::many_lines;

/// Connections of a crowd with large bodies.
const CROWD: usize = 800;

/// Connections of a crowd with many headers.
const HEADER_CROWD: usize = 240;

/// Guards against bodies inside the limit that stall just before their end.
#[tokio::test(flavor = "multi_thread")]
async fn nearly_whole() {
    let mut gateway = TestGateway::start().await;
    let head = request_head("POST", "/pay/x", "body");
    let head = format!("{head}content-length: {BODY_BYTES}\r\n\r\n");
    let total = head.len() + BODY_BYTES - 1;
    let bytes = CrowdBytes::once(head).then_repeat(b"x", total);
    let _crowd = gateway.crowd(Face::Requests, CROWD, &bytes).await;
    gateway.assert_sound(CROWD).await;
}

/// Guards against requests with thousands of headers whose bodies stall: a header takes many times its length once it
/// is read.
#[tokio::test(flavor = "multi_thread")]
async fn after_many_headers() {
    let mut gateway = TestGateway::start().await;
    let head = many_lines();
    let bytes = CrowdBytes::once(format!("{head}content-length: 10\r\n\r\n12345"));
    let _crowd = gateway.crowd(Face::Requests, HEADER_CROWD, &bytes).await;
    gateway.assert_sound(HEADER_CROWD).await;
}
