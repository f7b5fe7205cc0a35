//! Frames that were changed, repeated, turned around or signed with another key.

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
        .map(|opened| opened.payload)
}

#[test]
fn frame_opened() {
    let (mut initiator, mut responder) = pair(1, KEY);
    let frame = initiator.sign(vec![1, 2, 3]).expect("signed");
    assert_eq!(verify(&mut responder, &frame), Ok(vec![1, 2, 3]));
    let back = responder.sign(vec![4]).expect("signed");
    assert_eq!(verify(&mut initiator, &back), Ok(vec![4]));
}

// Someone on the network sends a node's message once more, so that an old head or an old heartbeat
// is taken for news.
#[test]
fn repeats_refused() {
    let (mut initiator, mut responder) = pair(1, KEY);
    let frame = initiator.sign(vec![1]).expect("signed");
    assert!(verify(&mut responder, &frame).is_ok());
    assert_eq!(verify(&mut responder, &frame), Err(AuthError::Replayed));
    let (_, mut other) = pair(2, KEY);
    assert_eq!(verify(&mut other, &frame), Err(AuthError::InvalidProof));
    assert_eq!(verify(&mut initiator, &frame), Err(AuthError::InvalidProof));
}

#[test]
fn changes_refused() {
    let (mut initiator, _) = pair(1, KEY);
    let frame = initiator.sign(vec![1, 2, 3]).expect("signed");
    for place in 0..frame.len() {
        let (_, mut responder) = pair(1, KEY);
        let mut changed = frame.clone();
        changed[place] ^= 1;
        assert!(verify(&mut responder, &changed).is_err(), "byte {place}");
    }
}

#[test]
fn other_key_refused() {
    let (mut stranger, _) = pair(1, "another key, as long as it");
    let (_, mut responder) = pair(1, KEY);
    let frame = stranger.sign(vec![1]).expect("signed");
    assert_eq!(verify(&mut responder, &frame), Err(AuthError::InvalidProof));
    let key = SharedKey::new(KEY).expect("long enough");
    let mut answer = welcome(1);
    assert_eq!(
        key.verify_proof(&hello(1), &answer),
        Err(AuthError::InvalidProof)
    );
    answer.proof = key.proof(&hello(1), &answer);
    assert_eq!(key.verify_proof(&hello(1), &answer), Ok(()));
    // An older version named by someone in between is noticed.
    answer.version = 0;
    assert_eq!(
        key.verify_proof(&hello(1), &answer),
        Err(AuthError::InvalidProof)
    );
}

#[test]
fn short_key_refused() {
    assert!(SharedKey::new("short").is_err());
    assert!(SharedKey::new("  short           \n").is_err());
}
