//! Proof that a peer has the deployment's shared key.
//!
//! Weighed against TLS by `rustls`: what the links carry is no secret (records hold only hashes of
//! callers' keys), but a forged digest could put a configuration of the forger's into force, so
//! every message has to prove its origin. Certificates would have to be issued to hosts that have
//! no disks and are replaced a hundred times a day, and their expiry would cut all links at once
//! while nobody looks. A shared key comes with the settings that a host gets anyway. So: an HMAC
//! on each message. Who needs the links unreadable as well runs them inside a private network.
//!
//! Replay: each side contributes a nonce to the connection's key, so a frame proves nothing on
//! another connection; within one, the sequence must rise; the direction is part of the hash, so
//! a frame can't be sent back to its sender.

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use subtle::ConstantTimeEq;
use wire::peer::{
    PeerBodyError, PeerHello, PeerWelcome, SealedFrame, TAG_BYTES, decode_body, encode_body,
};

/// Shortest shared key that is accepted, in bytes.
pub const MIN_KEY_BYTES: usize = 16;

/// The deployment's shared key. Not printed by `Debug`.
#[derive(Clone)]
pub struct SharedKey(Vec<u8>);

impl std::fmt::Debug for SharedKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("SharedKey")
    }
}

/// Why a peer's message is not believed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SealError {
    /// The shared key is too short.
    #[error("the peers' key has {0} bytes: write at least {MIN_KEY_BYTES}")]
    ShortKey(usize),
    /// The sender does not have the shared key, or the frame was changed.
    #[error("the peer did not prove that it has the shared key")]
    BadProof,
    /// The frame was sent before.
    #[error("the peer's message was sent before")]
    Replayed,
    /// The message can't be read.
    #[error(transparent)]
    Body(#[from] PeerBodyError),
}

/// Who sent a frame: the side that made the connection or the other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FrameSide {
    /// The side that made the connection.
    Caller,
    /// The side that accepted it.
    Answerer,
}

impl FrameSide {
    fn label(self) -> &'static [u8] {
        match self {
            Self::Caller => b"caller",
            Self::Answerer => b"answerer",
        }
    }

    fn other(self) -> Self {
        match self {
            Self::Caller => Self::Answerer,
            Self::Answerer => Self::Caller,
        }
    }
}

impl SharedKey {
    /// A key; white space around it is dropped, so that a file may end with a line break.
    ///
    /// # Errors
    ///
    /// [`SealError::ShortKey`].
    pub fn new(text: &str) -> Result<Self, SealError> {
        let bytes = text.trim().as_bytes();
        if bytes.len() < MIN_KEY_BYTES {
            return Err(SealError::ShortKey(bytes.len()));
        }
        Ok(Self(bytes.to_vec()))
    }

    fn hash(&self, label: &[u8], hello: &PeerHello, welcome: &PeerWelcome) -> [u8; 32] {
        let mut mac = keyed(&self.0);
        mac.update(label);
        mac.update(&[hello.newest, hello.oldest, welcome.version]);
        mac.update(&hello.nonce);
        mac.update(&welcome.nonce);
        mac.update(hello.node.as_str().as_bytes());
        mac.update(&[0]);
        mac.update(welcome.node.as_str().as_bytes());
        mac.finalize().into_bytes().into()
    }

    /// The answerer's proof; the versions are part of it, so that nobody in between can talk the
    /// two into an older version.
    #[must_use]
    pub fn proof(&self, hello: &PeerHello, welcome: &PeerWelcome) -> [u8; TAG_BYTES] {
        shorten(self.hash(b"bramleyspring welcome", hello, welcome))
    }

    /// Checks the answerer's proof.
    ///
    /// # Errors
    ///
    /// [`SealError::BadProof`].
    pub fn check(&self, hello: &PeerHello, welcome: &PeerWelcome) -> Result<(), SealError> {
        let expected = self.proof(hello, welcome);
        if bool::from(expected.ct_eq(&welcome.proof)) {
            return Ok(());
        }
        Err(SealError::BadProof)
    }

    /// The seal of one side of a connection.
    #[must_use]
    pub fn seal(&self, hello: &PeerHello, welcome: &PeerWelcome, side: FrameSide) -> FrameSeal {
        FrameSeal {
            key: self.hash(b"bramleyspring frames", hello, welcome),
            version: welcome.version,
            side,
            sent: 0,
            received: 0,
        }
    }
}

fn keyed(key: &[u8]) -> Hmac<Sha256> {
    Hmac::new_from_slice(key).unwrap_or_else(|_| unreachable!("HMAC takes keys of any length"))
}

fn shorten(hash: [u8; 32]) -> [u8; TAG_BYTES] {
    let mut tag = [0; TAG_BYTES];
    tag.copy_from_slice(&hash[..TAG_BYTES]);
    tag
}

/// Seals and opens the frames of one side of one connection.
#[derive(Debug)]
pub struct FrameSeal {
    key: [u8; 32],
    version: u8,
    side: FrameSide,
    sent: u64,
    received: u64,
}

/// An opened frame.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OpenedFrame {
    /// Its sequence.
    pub sequence: u64,
    /// Its message.
    pub payload: Vec<u8>,
}

impl FrameSeal {
    fn tag(&self, side: FrameSide, version: u8, sequence: u64, payload: &[u8]) -> [u8; TAG_BYTES] {
        let mut mac = keyed(&self.key);
        mac.update(side.label());
        mac.update(&[version]);
        mac.update(&sequence.to_be_bytes());
        mac.update(payload);
        shorten(mac.finalize().into_bytes().into())
    }

    /// Sequence of the newest frame that was opened.
    #[must_use]
    pub fn received(&self) -> u64 {
        self.received
    }

    /// Sequence of the newest frame that was sealed.
    #[must_use]
    pub fn sent(&self) -> u64 {
        self.sent
    }

    /// Seals a message.
    ///
    /// # Errors
    ///
    /// [`SealError::Body`] when the frame can't be written.
    pub fn seal(&mut self, payload: Vec<u8>) -> Result<Vec<u8>, SealError> {
        self.sent += 1;
        let tag = self.tag(self.side, self.version, self.sent, &payload);
        let frame = SealedFrame {
            version: self.version,
            sequence: self.sent,
            tag,
            payload,
        };
        Ok(encode_body(&frame)?)
    }

    /// Opens a frame of the other side.
    ///
    /// # Errors
    ///
    /// [`SealError`].
    pub fn open<const LIMIT: usize>(&mut self, bytes: &[u8]) -> Result<OpenedFrame, SealError> {
        let frame: SealedFrame = decode_body::<_, LIMIT>(bytes)?;
        let side = self.side.other();
        let expected = self.tag(side, self.version, frame.sequence, &frame.payload);
        let fine = frame.version == self.version && bool::from(expected.ct_eq(&frame.tag));
        if !fine {
            return Err(SealError::BadProof);
        }
        if frame.sequence <= self.received {
            return Err(SealError::Replayed);
        }
        self.received = frame.sequence;
        Ok(OpenedFrame {
            sequence: frame.sequence,
            payload: frame.payload,
        })
    }
}
