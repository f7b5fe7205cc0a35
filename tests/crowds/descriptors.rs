//! Crowds of more connections than a process may have descriptors.

use crate::crowd::CrowdBytes;
use crate::gateway::{Face, HOST, Machine, TestGateway, request_head};

/// Connections of a crowd.
const CROWD: usize = 600;

/// A machine on which the descriptors are fewer than the connections of a crowd.
const FEW_DESCRIPTORS: Machine = Machine {
    memory_mb: 64.0,
    descriptors: 400,
};

async fn play(bytes: CrowdBytes) {
    let mut gateway = TestGateway::start_on(FEW_DESCRIPTORS).await;
    let _crowd = gateway.crowd(Face::Requests, CROWD, &bytes).await;
    gateway.assert_sound(CROWD).await;
}

/// Guards against half heads that take all descriptors: nobody else is accepted, and the node can't reach its targets
/// or the store.
#[tokio::test(flavor = "multi_thread")]
async fn half_heads() {
    play(CrowdBytes::once("GET /look/x HTTP/1.1\r\nhost: desk")).await;
}

/// Guards against the same by connections that send nothing at all.
#[tokio::test(flavor = "multi_thread")]
async fn silent() {
    play(CrowdBytes::default()).await;
}

/// Guards against the same by connections that are idle after a response.
#[tokio::test(flavor = "multi_thread")]
async fn idle_after_response() {
    let head = request_head("GET", "/look/x", "idle");
    play(CrowdBytes::once(format!("{head}\r\n"))).await;
}

/// Guards against the same by connections whose clients send half a head and close their side.
#[tokio::test(flavor = "multi_thread")]
async fn half_closed() {
    let bytes = CrowdBytes::once("GET /look/x HTTP/1.1\r\nhost: desk");
    play(bytes.then_half_close()).await;
}

/// Guards against the same by requests with a key whose bodies stall.
#[tokio::test(flavor = "multi_thread")]
async fn stalled_bodies() {
    let head = request_head("POST", "/pay/x", "body");
    play(CrowdBytes::once(format!(
        "{head}content-length: 10\r\n\r\n12345"
    )))
    .await;
}

/// Guards against the same by requests without a key whose bodies stall, which are read before they are refused.
#[tokio::test(flavor = "multi_thread")]
async fn stalled_bodies_without_key() {
    let head = format!("POST /pay/x HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: body\r\n");
    play(CrowdBytes::once(format!(
        "{head}content-length: 10\r\n\r\n12345"
    )))
    .await;
}
