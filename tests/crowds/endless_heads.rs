//! Heads without end, and heads over the limit.

use crate::crowd::{CrowdBytes, MOST_BYTES};
use crate::gateway::{Face, TestGateway, request_head};

/// Connections of a crowd.
const CROWD: usize = 240;

async fn play(bytes: CrowdBytes) {
    let mut gateway = TestGateway::start().await;
    let _crowd = gateway.crowd(Face::Requests, CROWD, &bytes).await;
    gateway.assert_sound(CROWD).await;
}

/// Guards against a header line without end, of which a process keeps all that comes until it has no memory left.
#[tokio::test(flavor = "multi_thread")]
async fn header_line() {
    let head = format!("{}x-long: ", request_head("GET", "/look/x", "long"));
    play(CrowdBytes::once(head).then_repeat(b"x", MOST_BYTES)).await;
}

/// Guards against the same by header lines without end.
#[tokio::test(flavor = "multi_thread")]
async fn header_lines() {
    let head = request_head("GET", "/look/x", "lines");
    play(CrowdBytes::once(head).then_repeat(b"x-note: 1\r\n", MOST_BYTES)).await;
}

/// Guards against the same by a request line without end.
#[tokio::test(flavor = "multi_thread")]
async fn request_line() {
    play(CrowdBytes::once("GET /look/").then_repeat(b"x", MOST_BYTES)).await;
}

/// Guards against the same by a header of 25 times the limit, after which nothing comes and which is held on.
#[tokio::test(flavor = "multi_thread")]
async fn large_header_held() {
    let head = format!("{}x-long: ", request_head("GET", "/look/x", "held"));
    play(CrowdBytes::once(head).then_repeat(b"x", 400_000)).await;
}

/// Guards against the same by a head of 25 times the limit that ends as a head must.
#[tokio::test(flavor = "multi_thread")]
async fn large_whole_head() {
    let long = "x".repeat(390_000);
    let head = request_head("GET", "/look/x", "whole");
    play(CrowdBytes::once(format!("{head}x-long: {long}\r\n\r\n"))).await;
}
