//! Crowds while a gateway starts, stops or has lost the store.

use crate::crowd::{Crowd, CrowdBytes, MOST_BYTES};
use crate::gateway::{Face, SMALL_MACHINE, TestGateway, UNAVAILABLE, request_head};

/// Connections of a crowd.
const CROWD: usize = 240;

async fn endless_heads(gateway: &TestGateway) -> Crowd {
    let head = format!("{}x-long: ", request_head("GET", "/look/x", "long"));
    let bytes = CrowdBytes::once(head).then_repeat(b"x", MOST_BYTES);
    gateway.crowd(Face::Requests, CROWD, &bytes).await
}

/// Guards against heads without end while no configuration is known, so that no limit is either.
#[tokio::test(flavor = "multi_thread")]
async fn before_configuration() {
    let mut gateway = TestGateway::start_unready(SMALL_MACHINE).await;
    let _crowd = endless_heads(&gateway).await;
    assert_eq!(gateway.request().await.as_deref(), Some(UNAVAILABLE));
    gateway.configure().await;
    gateway.assert_sound(CROWD).await;
}

/// Guards against heads without end while the store is away.
#[tokio::test(flavor = "multi_thread")]
async fn without_store() {
    let mut gateway = TestGateway::start().await;
    gateway.lose_store();
    let _crowd = endless_heads(&gateway).await;
    gateway.assert_sound(CROWD).await;
}

/// Guards against a stop that a crowd holds up beyond the grace, or that ends by its memory.
#[tokio::test(flavor = "multi_thread")]
async fn in_a_stop() {
    let mut gateway = TestGateway::start().await;
    gateway.terminate();
    gateway.wait_log_line("node_stopping").await;
    let _crowd = endless_heads(&gateway).await;
    let memory = gateway.peak_memory();
    let bound = SMALL_MACHINE.memory_mb;
    assert!(memory < bound, "{memory} MB used, bound {bound} MB");
    assert!(gateway.ends_well().await, "the process does not end");
}
