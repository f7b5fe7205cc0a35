//! Sound requests of a crowd with a key, to a target that takes them all and does not respond.

use standin::site::ServiceMode;

use crate::crowd::CrowdBytes;
use crate::gateway::{BODY_BYTES, Face, Machine, SMALL_MACHINE, TestGateway, request_head};

/// Connections of a crowd.
const CROWD: usize = 900;

/// Connections that come at once: a node that connects to a target for a whole crowd at once takes it for lost.
const WAVE: usize = 100;

/// Connections of a crowd with large bodies.
const BODY_CROWD: usize = 600;

/// Connections of a crowd that takes descriptors.
const DESCRIPTOR_CROWD: usize = 600;

/// Health checks of the target that may come while a crowd gathers.
const HEALTH_CHECKS: usize = 20;

/// A machine on which the descriptors are fewer than two for each connection of a crowd.
const FEW_DESCRIPTORS: Machine = Machine {
    memory_mb: 64.0,
    descriptors: 400,
};

async fn play(machine: Machine, crowd: usize, body: usize) {
    let mut gateway = TestGateway::start_with_large_target(machine).await;
    gateway.instance.set_mode(ServiceMode::Unresponsive);
    let head = request_head("POST", "/pay/x", "runs");
    let head = format!("{head}content-length: {body}\r\n\r\n");
    let total = head.len() + body;
    let bytes = CrowdBytes::once(head).then_repeat(b"x", total);
    let mut crowds = Vec::new();
    for _ in 0..crowd / WAVE {
        crowds.push(gateway.crowd(Face::Requests, WAVE, &bytes).await);
        gateway.assert_bounded();
    }
    gateway.instance.set_mode(ServiceMode::Healthy);
    drop(crowds);
    gateway.assert_serves().await;
}

/// Guards against requests that run: each takes a connection to its target, and all of them together the memory of the
/// process.
#[tokio::test(flavor = "multi_thread")]
async fn memory() {
    play(SMALL_MACHINE, CROWD, 0).await;
}

/// Guards against the same with whole bodies, which are kept until their requests end.
#[tokio::test(flavor = "multi_thread")]
async fn bodies() {
    play(SMALL_MACHINE, BODY_CROWD, BODY_BYTES).await;
}

/// Guards against the same by descriptors: two for each request that runs, so that none is left for the store, links
/// and other clients.
#[tokio::test(flavor = "multi_thread")]
async fn descriptors() {
    play(FEW_DESCRIPTORS, DESCRIPTOR_CROWD, 0).await;
}

/// Guards against requests that are refused for want of a place although they have run, and that nothing tells of.
#[tokio::test(flavor = "multi_thread")]
async fn refused_not_run() {
    let mut gateway = TestGateway::start_with_large_target(FEW_DESCRIPTORS).await;
    gateway.instance.set_mode(ServiceMode::Unresponsive);
    let received = || gateway.instance.received_count();
    let received_before = received();
    let head = request_head("POST", "/pay/x", "runs");
    let bytes = CrowdBytes::once(format!("{head}content-length: 0\r\n\r\n"));
    let mut crowds = Vec::new();
    for _ in 0..DESCRIPTOR_CROWD / WAVE {
        crowds.push(gateway.crowd(Face::Requests, WAVE, &bytes).await);
    }
    let run = received() - received_before;
    // A quarter of the descriptors, and health checks of the target.
    let most = FEW_DESCRIPTORS.descriptors / 4 + HEALTH_CHECKS;
    assert!(run <= most, "{run} requests run, bound {most}");
    let unplaced = gateway
        .metric("bramleyspring_gateway_request_unplaced_total")
        .await;
    assert!(unplaced > 0.0, "no request is counted as refused");
    let reason = "as many requests run at this node as may at once";
    assert!(!gateway.log_lines(reason).is_empty(), "no line tells of it");
    gateway.instance.set_mode(ServiceMode::Healthy);
    drop(crowds);
    gateway.assert_serves().await;
}
