//! Bytes after a complete request that are no request.

use crate::crowd::{CrowdBytes, MOST_BYTES};
use crate::gateway::{Face, HOST, TestGateway, request_head};

/// Connections of a crowd.
const CROWD: usize = 240;

async fn play(request: String) {
    let mut gateway = TestGateway::start().await;
    let bytes = CrowdBytes::once(request).then_repeat(b"x", MOST_BYTES);
    let _crowd = gateway.crowd(Face::Requests, CROWD, &bytes).await;
    gateway.assert_sound(CROWD).await;
}

/// Guards against bytes after a sound request, which are kept as the head of the next one.
#[tokio::test(flavor = "multi_thread")]
async fn with_key() {
    let head = request_head("POST", "/look/x", "ahead");
    play(format!("{head}content-length: 2\r\n\r\n{{}}")).await;
}

/// Guards against the same by clients without a key, also after they have been told so.
#[tokio::test(flavor = "multi_thread")]
async fn without_key() {
    let head = format!("POST /look/x HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: ahead\r\n");
    play(format!("{head}content-length: 2\r\n\r\n{{}}")).await;
}
