//! Encoding of messages between nodes of the same and of different protocol versions.

use domain::NodeId;
use serde::{Deserialize, Serialize};
use wire::peer::{
    MAX_DIGEST_BYTES, MAX_HELLO_BYTES, NEWEST_VERSION, NONCE_BYTES, PeerDigest, PeerHello,
    decode_message, encode_message, negotiate_version,
};

fn node() -> NodeId {
    "e1".parse().expect("valid node id")
}

fn hello(newest: u8, oldest: u8) -> PeerHello {
    PeerHello {
        newest,
        oldest,
        nonce: [7; NONCE_BYTES],
        node: node(),
    }
}

/// The hello of a newer program, with an additional field.
#[derive(Serialize, Deserialize)]
struct NewerHello {
    hello: PeerHello,
    additional: Vec<u64>,
}

// During an upgrade, nodes of two versions run side by side. If they could not communicate, each
// group would consider the other dead, and possibly no node would reach a majority.
#[test]
fn newer_hello_is_decoded() {
    let newer = NewerHello {
        hello: hello(9, 1),
        additional: vec![1, 2, 3],
    };
    let bytes = encode_message(&newer).expect("encoded message");
    let decoded: PeerHello = decode_message::<_, MAX_HELLO_BYTES>(&bytes).expect("decoded message");
    assert_eq!(decoded, newer.hello);
    assert_eq!(negotiate_version(&decoded), Some(NEWEST_VERSION));
}

#[test]
fn incompatible_versions_are_rejected() {
    assert_eq!(negotiate_version(&hello(9, NEWEST_VERSION + 1)), None);
    assert_eq!(negotiate_version(&hello(0, 0)), None);
}

#[test]
fn digest_round_trip() {
    let digest = PeerDigest {
        acked_sequence: 5,
        revision: 300,
        departed: vec![node()],
        ..PeerDigest::default()
    };
    let bytes = encode_message(&digest).expect("encoded message");
    let decoded: PeerDigest =
        decode_message::<_, MAX_DIGEST_BYTES>(&bytes).expect("decoded message");
    assert_eq!(decoded, digest);
}

// A faulty or malicious peer sends a length of gigabytes. Allocating it would exhaust the node's
// memory.
#[test]
fn oversized_length_is_rejected() {
    let mut bytes = vec![0, 0, 0, 0, 0, 0];
    bytes.extend([253, 255, 255, 255, 255, 255, 255, 255, 127]);
    bytes.extend([0; 64]);
    for start in 0..bytes.len() {
        let _ = decode_message::<PeerDigest, MAX_DIGEST_BYTES>(&bytes[start..]);
    }
    let decoded = decode_message::<Vec<u8>, MAX_DIGEST_BYTES>(&bytes[6..]);
    assert!(decoded.is_err());
}
