//! Crowds of more connections than a process may have descriptors.

use crate::crowd::CrowdBytes;
use crate::gateway::{Face, Machine, TestGateway, request_head};

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
