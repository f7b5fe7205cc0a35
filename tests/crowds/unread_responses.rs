//! Responses that a crowd does not read, alone and beside heads that do not end.

use crate::crowd::{Crowd, CrowdBytes, MOST_BYTES};
use crate::gateway::{Face, TestGateway, request_head};

/// Connections of a crowd.
const CROWD: usize = 240;

/// Length of a response, far above what the system takes of it for a client.
const RESPONSE_BYTES: usize = 1 << 20;

async fn play(has_heads: bool) {
    let mut gateway = TestGateway::start().await;
    gateway.instance.set_text(&"y".repeat(RESPONSE_BYTES));
    let head = request_head("GET", "/look/x", "unread");
    let unread = CrowdBytes::once(format!("{head}\r\n")).read_little();
    let endless = CrowdBytes::once(format!("{head}x-long: ")).then_repeat(b"x", MOST_BYTES);
    let mut crowds: Vec<Crowd> = Vec::new();
    crowds.push(gateway.crowd(Face::Requests, CROWD, &unread).await);
    if has_heads {
        crowds.push(gateway.crowd(Face::Requests, CROWD, &endless).await);
    }
    gateway.instance.set_text("receipt");
    let count = CROWD * crowds.len();
    gateway.assert_sound(count).await;
}

/// Guards against responses of a megabyte that nobody reads.
#[tokio::test(flavor = "multi_thread")]
async fn alone() {
    play(false).await;
}

/// Guards against the same beside heads without end, which take room from the same bound.
#[tokio::test(flavor = "multi_thread")]
async fn beside_endless_heads() {
    play(true).await;
}
