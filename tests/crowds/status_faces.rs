//! Crowds at the addresses for readiness checks, metrics and links.

use crate::crowd::{CrowdBytes, MOST_BYTES};
use crate::gateway::{Face, Machine, TestGateway};

/// Connections of a crowd that sends much.
const CROWD: usize = 240;

/// Connections of a crowd that takes descriptors.
const DESCRIPTOR_CROWD: usize = 600;

/// A machine on which the descriptors are fewer than the connections of a crowd.
const FEW_DESCRIPTORS: Machine = Machine {
    memory_mb: 64.0,
    descriptors: 400,
};

async fn endless_head(face: Face) {
    let mut gateway = TestGateway::start().await;
    let head = CrowdBytes::once("GET /ready HTTP/1.1\r\nhost: node\r\nx-long: ");
    let bytes = head.then_repeat(b"x", MOST_BYTES);
    let _crowd = gateway.crowd(face, CROWD, &bytes).await;
    gateway.assert_sound(CROWD).await;
}

async fn endless_lines(face: Face) {
    let mut gateway = TestGateway::start().await;
    let bytes = CrowdBytes::default().then_repeat(b"\r\n", MOST_BYTES);
    let _crowd = gateway.crowd(face, CROWD, &bytes).await;
    gateway.assert_sound(CROWD).await;
}

async fn half_heads(face: Face) {
    let mut gateway = TestGateway::start_on(FEW_DESCRIPTORS).await;
    let bytes = CrowdBytes::once("GET /ready HTTP/1.1\r\nhost: no");
    let _crowd = gateway.crowd(face, DESCRIPTOR_CROWD, &bytes).await;
    gateway.assert_sound(DESCRIPTOR_CROWD).await;
}

/// Guards against heads without end at the readiness address, which end the process as those of clients do.
#[tokio::test(flavor = "multi_thread")]
async fn heads_at_readiness() {
    endless_head(Face::Readiness).await;
}

/// Guards against the same at the metrics address.
#[tokio::test(flavor = "multi_thread")]
async fn heads_at_metrics() {
    endless_head(Face::Metrics).await;
}

/// Guards against empty lines without end at the readiness address.
#[tokio::test(flavor = "multi_thread")]
async fn lines_at_readiness() {
    endless_lines(Face::Readiness).await;
}

/// Guards against empty lines without end at the metrics address.
#[tokio::test(flavor = "multi_thread")]
async fn lines_at_metrics() {
    endless_lines(Face::Metrics).await;
}

/// Guards against heads without end at the links' address.
#[tokio::test(flavor = "multi_thread")]
async fn heads_at_links() {
    endless_head(Face::Links).await;
}

/// Guards against a crowd at the readiness address that takes all descriptors: no client is accepted any more, and the
/// load balancer takes the node out.
#[tokio::test(flavor = "multi_thread")]
async fn half_heads_at_readiness() {
    half_heads(Face::Readiness).await;
}

/// Guards against the same at the metrics address.
#[tokio::test(flavor = "multi_thread")]
async fn half_heads_at_metrics() {
    half_heads(Face::Metrics).await;
}

/// Guards against the same at the links' address.
#[tokio::test(flavor = "multi_thread")]
async fn half_heads_at_links() {
    half_heads(Face::Links).await;
}
