//! Crowds while a gateway starts, stops or has lost the store.

use crate::crowd::{Crowd, CrowdBytes, MOST_BYTES};
use crate::gateway::{Face, Machine, SMALL_MACHINE, TestGateway, UNAVAILABLE, request_head};

/// Connections of a crowd.
const CROWD: usize = 240;

async fn endless_heads(gateway: &TestGateway) -> Crowd {
    let head = format!("{}x-long: ", request_head("GET", "/look/x", "long"));
    let bytes = CrowdBytes::once(head).then_repeat(b"x", MOST_BYTES);
    gateway.crowd(Face::Requests, CROWD, &bytes).await
}

/// Connections of each of several crowds.
const PART: usize = 100;

/// A machine on which the descriptors are fewer than the connections of all crowds.
const FEW_DESCRIPTORS: Machine = Machine {
    memory_mb: 64.0,
    descriptors: 400,
};

/// Addresses at which clients that nobody controls may connect.
const FACES: [Face; 4] = [Face::Requests, Face::Readiness, Face::Metrics, Face::Links];

/// Crowds at all addresses: heads and empty lines without end, and half heads.
async fn crowds_at_all_faces(gateway: &TestGateway) -> Vec<Crowd> {
    let head = format!("{}x-long: ", request_head("GET", "/look/x", "long"));
    let kinds = [
        CrowdBytes::once(head).then_repeat(b"x", MOST_BYTES),
        CrowdBytes::default().then_repeat(b"\r\n", MOST_BYTES),
        CrowdBytes::once("GET /look/x HTTP/1.1\r\nhost: desk"),
    ];
    let gathering = FACES
        .iter()
        .flat_map(|face| kinds.iter().map(|bytes| gateway.crowd(*face, PART, bytes)));
    futures::future::join_all(gathering).await
}

/// Number of connections of all these crowds.
const ALL: usize = 3 * FACES.len() * PART;

/// Guards against crowds at each address before a configuration is known.
#[tokio::test(flavor = "multi_thread")]
async fn all_faces_before_configuration() {
    let mut gateway = TestGateway::start_unready(FEW_DESCRIPTORS).await;
    let _crowds = crowds_at_all_faces(&gateway).await;
    assert_eq!(gateway.request().await.as_deref(), Some(UNAVAILABLE));
    gateway.configure().await;
    gateway.assert_sound(ALL).await;
}

/// Guards against crowds at each address while the store is away.
#[tokio::test(flavor = "multi_thread")]
async fn all_faces_without_store() {
    let mut gateway = TestGateway::start_on(FEW_DESCRIPTORS).await;
    gateway.lose_store();
    let _crowds = crowds_at_all_faces(&gateway).await;
    gateway.assert_sound(ALL).await;
}

/// Guards against crowds at each address that hold up a stop, or end the process by its memory in it.
#[tokio::test(flavor = "multi_thread")]
async fn all_faces_in_a_stop() {
    let mut gateway = TestGateway::start_on(FEW_DESCRIPTORS).await;
    gateway.terminate();
    gateway.wait_log_line("node_stopping").await;
    let _crowds = crowds_at_all_faces(&gateway).await;
    let memory = gateway.peak_memory();
    let bound = FEW_DESCRIPTORS.memory_mb;
    assert!(memory < bound, "{memory} MB used, bound {bound} MB");
    assert!(gateway.ends_well().await, "the process does not end");
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
