//! Frames that were changed, repeated, turned around or sealed with another key.

use peers::SharedKey;
use peers::auth::{FrameSeal, FrameSide, SealError};
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

fn pair(nonce: u8, key: &str) -> (FrameSeal, FrameSeal) {
    let key = SharedKey::new(key).expect("long enough");
    let (hello, welcome) = (hello(nonce), welcome(nonce));
    (
        key.seal(&hello, &welcome, FrameSide::Caller),
        key.seal(&hello, &welcome, FrameSide::Answerer),
    )
}

const KEY: &str = "a key that all nodes share";

fn open(seal: &mut FrameSeal, frame: &[u8]) -> Result<Vec<u8>, SealError> {
    seal.open::<MAX_DIGEST_BYTES>(frame)
        .map(|opened| opened.payload)
}

#[test]
fn frame_opened() {
    let (mut caller, mut answerer) = pair(1, KEY);
    let frame = caller.seal(vec![1, 2, 3]).expect("sealed");
    assert_eq!(open(&mut answerer, &frame), Ok(vec![1, 2, 3]));
    let back = answerer.seal(vec![4]).expect("sealed");
    assert_eq!(open(&mut caller, &back), Ok(vec![4]));
}

// Someone on the network sends a node's message once more, so that an old head or an old heartbeat
// is taken for news.
#[test]
fn repeats_refused() {
    let (mut caller, mut answerer) = pair(1, KEY);
    let frame = caller.seal(vec![1]).expect("sealed");
    assert!(open(&mut answerer, &frame).is_ok());
    assert_eq!(open(&mut answerer, &frame), Err(SealError::Replayed));
    let (_, mut other) = pair(2, KEY);
    assert_eq!(open(&mut other, &frame), Err(SealError::BadProof));
    assert_eq!(open(&mut caller, &frame), Err(SealError::BadProof));
}

#[test]
fn changes_refused() {
    let (mut caller, _) = pair(1, KEY);
    let frame = caller.seal(vec![1, 2, 3]).expect("sealed");
    for place in 0..frame.len() {
        let (_, mut answerer) = pair(1, KEY);
        let mut changed = frame.clone();
        changed[place] ^= 1;
        assert!(open(&mut answerer, &changed).is_err(), "byte {place}");
    }
}

#[test]
fn other_key_refused() {
    let (mut stranger, _) = pair(1, "another key, as long as it");
    let (_, mut answerer) = pair(1, KEY);
    let frame = stranger.seal(vec![1]).expect("sealed");
    assert_eq!(open(&mut answerer, &frame), Err(SealError::BadProof));
    let key = SharedKey::new(KEY).expect("long enough");
    let mut answer = welcome(1);
    assert_eq!(key.check(&hello(1), &answer), Err(SealError::BadProof));
    answer.proof = key.proof(&hello(1), &answer);
    assert_eq!(key.check(&hello(1), &answer), Ok(()));
    // An older version named by someone in between is noticed.
    answer.version = 0;
    assert_eq!(key.check(&hello(1), &answer), Err(SealError::BadProof));
}

#[test]
fn short_key_refused() {
    assert!(SharedKey::new("short").is_err());
    assert!(SharedKey::new("  short           \n").is_err());
}
