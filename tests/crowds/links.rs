//! Crowds at the address for links: streams of HTTP/2 by clients without a key, and tunnels by a node with one.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use domain::{HostId, NodeId};
use peers::{SharedKey, TunnelLink, TunnelResponse, TunnelStream};
use tokio::net::{TcpListener, TcpStream};
use wire::peer::encode_message;
use wire::tunnel::TunnelRequest;

use crate::crowd::CrowdBytes;
use crate::gateway::{Face, Machine, SMALL_MACHINE, TestGateway};
use crate::http2::{CONTINUATION, DATA, END_HEADERS, HEADERS, PREFACE, frame};

/// Connections of a crowd without a key, more than are kept at once.
const CROWD: usize = 48;

/// Streams of each, and bytes that each sends of a body.
const STREAMS: u32 = 64;
const STREAM_BYTES: usize = 65_535;

/// Bytes of a head without end.
const HEAD_BYTES: usize = 4 << 20;

/// Links of a node with the key, and tunnels on each.
const LINKS: usize = 12;
const TUNNELS: usize = 50;

/// Bytes of a body that each tunnel sends to a target that does not read.
const TUNNEL_BYTES: usize = 256 << 10;

/// Lifetime of the tunnels, longer than any test.
const LIFETIME_MS: u32 = 120_000;

/// Time for a tunnel to take what it can; only what it sends beyond is waited for.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);

/// A machine on which the descriptors are fewer than the tunnels.
const FEW_DESCRIPTORS: Machine = Machine {
    memory_mb: 64.0,
    descriptors: 400,
};

/// Head of `POST /hello`, compressed.
const HELLO_HEAD: &[u8] = b"\x83\x86\x04\x06/hello\x01\x04peer";

/// Guards against bodies of streams that wait for the first one, which never ends: megabytes for each connection, without
/// a key.
#[tokio::test(flavor = "multi_thread")]
async fn waiting_streams() {
    let mut gateway = TestGateway::start().await;
    let mut bytes = PREFACE.to_vec();
    for stream in (0..STREAMS).map(|number| 2 * number + 1) {
        bytes.extend(frame(HEADERS, END_HEADERS, stream, HELLO_HEAD));
        // The first one stalls, and the others wait for it.
        let mut left = if stream == 1 { 1 } else { STREAM_BYTES };
        while left > 0 {
            let length = left.min(16 << 10);
            bytes.extend(frame(DATA, 0, stream, &vec![b'x'; length]));
            left -= length;
        }
    }
    let _crowd = gateway
        .crowd(Face::Links, CROWD, &CrowdBytes::once(bytes))
        .await;
    gateway.assert_sound(CROWD).await;
}

/// Guards against heads of HTTP/2 without end.
#[tokio::test(flavor = "multi_thread")]
async fn endless_continuations() {
    let mut gateway = TestGateway::start().await;
    let begin = [PREFACE, &frame(HEADERS, 0, 1, HELLO_HEAD)].concat();
    let header = b"\x00\x06x-note\x7f\x81\x01".to_vec();
    let value = vec![b'y'; 256];
    let fields = [header, value].concat().repeat(60);
    let continuation = frame(CONTINUATION, 0, 1, &fields);
    let bytes = CrowdBytes::once(begin).then_repeat(&continuation, HEAD_BYTES);
    let _crowd = gateway.crowd(Face::Links, CROWD, &bytes).await;
    gateway.assert_sound(CROWD).await;
}

/// Opens as many tunnels as the gateway takes, and sends on each what it takes.
async fn open_tunnels(gateway: &TestGateway) -> Vec<(TunnelLink, Vec<TunnelStream>)> {
    let key = SharedKey::new(&gateway.link_key().await).expect("a key");
    let expected: NodeId = "n0".parse().expect("a name");
    let host: HostId = "s0".parse().expect("a name");
    let request = TunnelRequest {
        host,
        lifetime_ms: LIFETIME_MS,
    };
    let payload = encode_message(&request).expect("a message");
    let mut links = Vec::new();
    for number in 0..LINKS {
        let node: NodeId = format!("other{number}").parse().expect("a name");
        let stream = TcpStream::connect(gateway.address(Face::Links)).await;
        let stream = stream.expect("it listens");
        let Ok(link) = TunnelLink::open(stream, &key, &node, &expected).await else {
            break;
        };
        let mut tunnels = Vec::new();
        for _ in 0..TUNNELS {
            let Ok(TunnelResponse::Connected(tunnel)) = link.request_stream(payload.clone()).await
            else {
                break;
            };
            tunnels.push(tunnel);
        }
        let bytes = CrowdBytes::default().then_repeat(b"x", TUNNEL_BYTES);
        let sending = tunnels
            .iter_mut()
            .map(|tunnel| tokio::time::timeout(SEND_TIMEOUT, bytes.send_on(tunnel)));
        futures::future::join_all(sending).await;
        links.push((link, tunnels));
    }
    links
}

/// A target that accepts connections and reads nothing.
async fn silent_target() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
    let listener = listener.expect("a free port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

async fn play_tunnels(machine: Machine) {
    let mut gateway = TestGateway::start_with_large_target(machine).await;
    let (listener, address) = silent_target().await;
    gateway.move_target(address).await;
    let accepting = tokio::spawn(async move {
        let mut streams = Vec::new();
        while let Ok((stream, _)) = listener.accept().await {
            streams.push(stream);
        }
    });
    let links = open_tunnels(&gateway).await;
    gateway.assert_bounded();
    drop(links);
    accepting.abort();
    gateway.move_target(gateway.instance.address()).await;
    gateway.assert_serves().await;
}

/// Guards against tunnels of other nodes, whose clients come in a crowd, that take all descriptors of this one.
#[tokio::test(flavor = "multi_thread")]
async fn tunnels_by_descriptors() {
    play_tunnels(FEW_DESCRIPTORS).await;
}

/// Guards against the same by memory.
#[tokio::test(flavor = "multi_thread")]
async fn tunnels_by_memory() {
    play_tunnels(SMALL_MACHINE).await;
}
