//! Empty lines without end where a request is expected.

use crate::crowd::{CrowdBytes, MOST_BYTES};
use crate::gateway::{Face, TestGateway};

/// Connections of a crowd.
const CROWD: usize = 240;

async fn play(line: &[u8]) {
    let mut gateway = TestGateway::start().await;
    let bytes = CrowdBytes::default().then_repeat(line, MOST_BYTES);
    let _crowd = gateway.crowd(Face::Requests, CROWD, &bytes).await;
    gateway.assert_sound(CROWD).await;
}

/// Guards against empty lines that a process keeps until it has no memory left, since a request may follow them.
#[tokio::test(flavor = "multi_thread")]
async fn with_carriage_return() {
    play(b"\r\n").await;
}

/// Guards against the same by lines that end with a line feed alone.
#[tokio::test(flavor = "multi_thread")]
async fn line_feed_alone() {
    play(b"\n").await;
}
