//! Messages between nodes of one version and of two.

use domain::NodeId;
use serde::{Deserialize, Serialize};
use wire::peer::{
    MAX_DIGEST_BYTES, MAX_HELLO_BYTES, NEWEST_VERSION, NONCE_BYTES, PeerDigest, PeerHello,
    decode_message, encode_message, negotiate_version,
};

fn node() -> NodeId {
    "e1".parse().expect("a node id")
}

fn hello(newest: u8, oldest: u8) -> PeerHello {
    PeerHello {
        newest,
        oldest,
        nonce: [7; NONCE_BYTES],
        node: node(),
    }
}

/// The hello of a later program, which says more.
#[derive(Serialize, Deserialize)]
struct LaterHello {
    hello: PeerHello,
    further: Vec<u64>,
}

// During an upgrade old and new nodes run side by side. If they could not talk, each half of them
// would take the other for lost, and none might hear the majority.
#[test]
fn later_hello_read() {
    let later = LaterHello {
        hello: hello(9, 1),
        further: vec![1, 2, 3],
    };
    let bytes = encode_message(&later).expect("encodable");
    let read: PeerHello = decode_message::<_, MAX_HELLO_BYTES>(&bytes).expect("readable");
    assert_eq!(read, later.hello);
    assert_eq!(negotiate_version(&read), Some(NEWEST_VERSION));
}

#[test]
fn no_common_version() {
    assert_eq!(negotiate_version(&hello(9, NEWEST_VERSION + 1)), None);
    assert_eq!(negotiate_version(&hello(0, 0)), None);
}

#[test]
fn digest_returns() {
    let digest = PeerDigest {
        acked_sequence: 5,
        revision: 300,
        departed: vec![node()],
        ..PeerDigest::default()
    };
    let bytes = encode_message(&digest).expect("encodable");
    let read: PeerDigest = decode_message::<_, MAX_DIGEST_BYTES>(&bytes).expect("readable");
    assert_eq!(read, digest);
}

// A broken or hostile peer names a length of gigabytes. Believed, it would take the node's memory.
#[test]
fn huge_length_refused() {
    let mut bytes = vec![0, 0, 0, 0, 0, 0];
    bytes.extend([253, 255, 255, 255, 255, 255, 255, 255, 127]);
    bytes.extend([0; 64]);
    for cut in 0..bytes.len() {
        let _ = decode_message::<PeerDigest, MAX_DIGEST_BYTES>(&bytes[cut..]);
    }
    let read = decode_message::<Vec<u8>, MAX_DIGEST_BYTES>(&bytes[6..]);
    assert!(read.is_err());
}
