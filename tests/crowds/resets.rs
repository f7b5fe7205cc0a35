//! Connections that are reset as soon as they have sent a request.

use std::net::SocketAddr;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;

use crate::gateway::{Face, SMALL_MACHINE, TestGateway, request_head};

/// Clients, and connections of each, one after the other.
const CLIENTS: usize = 20;
const CONNECTIONS: usize = 200;

async fn reset_each(address: SocketAddr) {
    let request = format!("{}\r\n", request_head("GET", "/look/x", "reset"));
    for _ in 0..CONNECTIONS {
        let Ok(mut stream) = TcpStream::connect(address).await else {
            continue;
        };
        drop(stream.write_all(request.as_bytes()).await);
        // A connection that does not linger is reset when it is closed.
        drop(SockRef::from(&stream).set_linger(Some(Duration::ZERO)));
    }
}

async fn play(gateway: &TestGateway) {
    let address = gateway.address(Face::Requests);
    let clients = (0..CLIENTS).map(|_| tokio::spawn(reset_each(address)));
    futures::future::join_all(clients.collect::<Vec<_>>()).await;
    gateway.wait_released().await;
}

/// Guards against requests whose connections are reset at once: what is held for them must be given back.
#[tokio::test(flavor = "multi_thread")]
async fn with_configuration() {
    let mut gateway = TestGateway::start().await;
    play(&gateway).await;
    gateway.assert_sound(0).await;
}

/// Guards against the same before any configuration is known.
#[tokio::test(flavor = "multi_thread")]
async fn before_configuration() {
    let mut gateway = TestGateway::start_unready(SMALL_MACHINE).await;
    play(&gateway).await;
    gateway.configure().await;
    gateway.assert_sound(0).await;
}
