//! Frames that were modified, replayed, reflected or signed with another key are rejected.

use peers::SharedKey;
use peers::auth::{AuthError, FrameAuthenticator, FrameSide};
use wire::peer::{MAX_DIGEST_BYTES, NONCE_BYTES, PeerHello, PeerWelcome, TAG_BYTES};

fn hello(nonce: u8) -> PeerHello {
    PeerHello {
        newest: 1,
        oldest: 1,
        nonce: [nonce; NONCE_BYTES],
        node: "e1".parse().expect("a node"),
    }
}

fn welcome(nonce: u8) -> PeerWelcome {
    PeerWelcome {
        version: 1,
        nonce: [nonce; NONCE_BYTES],
        node: "e2".parse().expect("a node"),
        proof: [0; TAG_BYTES],
    }
}

fn pair(nonce: u8, key: &str) -> (FrameAuthenticator, FrameAuthenticator) {
    let key = SharedKey::new(key).expect("long enough");
    let (hello, welcome) = (hello(nonce), welcome(nonce));
    (
        key.authenticator(&hello, &welcome, FrameSide::Initiator),
        key.authenticator(&hello, &welcome, FrameSide::Responder),
    )
}

const KEY: &str = "a key that all nodes share";

fn verify(auth: &mut FrameAuthenticator, frame: &[u8]) -> Result<Vec<u8>, AuthError> {
    auth.verify::<MAX_DIGEST_BYTES>(frame)
        .map(|frame| frame.payload)
}

#[test]
fn frames_verified() {
    let (mut initiator, mut responder) = pair(1, KEY);
    let frame = initiator.sign(vec![1, 2, 3]).expect("signed");
    assert_eq!(verify(&mut responder, &frame), Ok(vec![1, 2, 3]));
    let back = responder.sign(vec![4]).expect("signed");
    assert_eq!(verify(&mut initiator, &back), Ok(vec![4]));
}

// An attacker on the network replays a node's message, so that an old configuration head or
// heartbeat is accepted as new.
#[test]
fn replayed_frames_refused() {
    let (mut initiator, mut responder) = pair(1, KEY);
    let frame = initiator.sign(vec![1]).expect("signed");
    assert!(verify(&mut responder, &frame).is_ok());
    assert_eq!(verify(&mut responder, &frame), Err(AuthError::Replayed));
    let (_, mut other) = pair(2, KEY);
    assert_eq!(verify(&mut other, &frame), Err(AuthError::InvalidProof));
    assert_eq!(verify(&mut initiator, &frame), Err(AuthError::InvalidProof));
}

#[test]
fn modified_frames_refused() {
    let (mut initiator, _) = pair(1, KEY);
    let frame = initiator.sign(vec![1, 2, 3]).expect("signed");
    for index in 0..frame.len() {
        let (_, mut responder) = pair(1, KEY);
        let mut changed = frame.clone();
        changed[index] ^= 1;
        assert!(verify(&mut responder, &changed).is_err(), "byte {index}");
    }
}

#[test]
fn other_key_refused() {
    let (mut outsider, _) = pair(1, "another key, as long as it");
    let (_, mut responder) = pair(1, KEY);
    let frame = outsider.sign(vec![1]).expect("signed");
    assert_eq!(verify(&mut responder, &frame), Err(AuthError::InvalidProof));
    let key = SharedKey::new(KEY).expect("long enough");
    let mut reply = welcome(1);
    assert_eq!(
        key.verify_proof(&hello(1), &reply),
        Err(AuthError::InvalidProof)
    );
    reply.proof = key.proof(&hello(1), &reply);
    assert_eq!(key.verify_proof(&hello(1), &reply), Ok(()));
    // A downgrade to an older version by a man in the middle is detected.
    reply.version = 0;
    assert_eq!(
        key.verify_proof(&hello(1), &reply),
        Err(AuthError::InvalidProof)
    );
}

#[test]
fn short_key_refused() {
    assert!(SharedKey::new("short").is_err());
    assert!(SharedKey::new("  short           \n").is_err());
}
