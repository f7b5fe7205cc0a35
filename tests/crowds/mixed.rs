//! Crowds of several kinds at once, at several addresses.

use crate::crowd::{Crowd, CrowdBytes, MOST_BYTES};
use crate::gateway::{BODY_BYTES, Face, Machine, TestGateway, request_head};
use crate::stalled_heads::many_lines;

/// Connections of each crowd.
const CROWD: usize = 100;

/// Number of crowds.
const CROWDS: usize = 8;

/// A small machine on which the descriptors are fewer than the connections of all crowds.
const MACHINE: Machine = Machine {
    memory_mb: 64.0,
    descriptors: 400,
};

/// Guards against bounds that each hold by themselves, and together are more than the machine has.
#[tokio::test(flavor = "multi_thread")]
async fn all_faces_at_once() {
    let mut gateway = TestGateway::start_on(MACHINE).await;
    let head = request_head("POST", "/pay/x", "mixed");
    let long_head = CrowdBytes::once(format!("{head}x-long: ")).then_repeat(b"x", MOST_BYTES);
    let body_head = format!("{head}content-length: {BODY_BYTES}\r\n\r\n");
    let body_length = body_head.len() + BODY_BYTES - 1;
    let kinds: [(Face, CrowdBytes); CROWDS] = [
        (Face::Requests, long_head.clone()),
        (
            Face::Requests,
            CrowdBytes::default().then_repeat(b"\r\n", MOST_BYTES),
        ),
        (
            Face::Requests,
            CrowdBytes::once(body_head).then_repeat(b"x", body_length),
        ),
        (
            Face::Requests,
            CrowdBytes::once(format!("{}content-length: 9\r\n\r\n1", many_lines())),
        ),
        (
            Face::Requests,
            CrowdBytes::once("GET /look/x HTTP/1.1\r\nhost: desk"),
        ),
        (Face::Readiness, long_head.clone()),
        (Face::Metrics, long_head.clone()),
        (Face::Links, long_head),
    ];
    let gathering = kinds
        .iter()
        .map(|(face, bytes)| gateway.crowd(*face, CROWD, bytes));
    let _crowds: Vec<Crowd> = futures::future::join_all(gathering).await;
    gateway.assert_sound(CROWDS * CROWD).await;
}
