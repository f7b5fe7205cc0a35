//! Datagrams at the port of load hints that are no hints.

use std::net::Ipv4Addr;

use tokio::net::UdpSocket;

use crate::gateway::{Face, TestGateway};

/// Datagrams of a crowd.
const DATAGRAMS: usize = 20_000;

/// Bytes of a large datagram.
const LARGE_BYTES: usize = 60_000;

async fn play(datagram: &[u8]) {
    let mut gateway = TestGateway::start().await;
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await;
    let socket = socket.expect("a socket");
    let address = gateway.address(Face::Hints);
    for _ in 0..DATAGRAMS {
        // A datagram may be lost.
        drop(socket.send_to(datagram, address).await);
    }
    gateway.assert_sound(0).await;
}

/// Guards against small datagrams without end.
#[tokio::test(flavor = "multi_thread")]
async fn small() {
    play(b"x").await;
}

/// Guards against large ones.
#[tokio::test(flavor = "multi_thread")]
async fn large() {
    play(&vec![b'['; LARGE_BYTES]).await;
}
