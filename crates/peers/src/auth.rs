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
pub enum AuthError {
    /// The shared key is too short.
    #[error("the peers' key has {0} bytes: write at least {MIN_KEY_BYTES}")]
    KeyTooShort(usize),
    /// The sender does not have the shared key, or the frame was changed.
    #[error("the peer did not prove that it has the shared key")]
    InvalidProof,
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
    Initiator,
    /// The side that accepted it.
    Responder,
}

impl FrameSide {
    fn label(self) -> &'static [u8] {
        match self {
            Self::Initiator => b"caller",
            Self::Responder => b"answerer",
        }
    }

    fn opposite(self) -> Self {
        match self {
            Self::Initiator => Self::Responder,
            Self::Responder => Self::Initiator,
        }
    }
}

impl SharedKey {
    /// A key; white space around it is dropped, so that a file may end with a line break.
    ///
    /// # Errors
    ///
    /// [`AuthError::KeyTooShort`].
    pub fn new(text: &str) -> Result<Self, AuthError> {
        let bytes = text.trim().as_bytes();
        if bytes.len() < MIN_KEY_BYTES {
            return Err(AuthError::KeyTooShort(bytes.len()));
        }
        Ok(Self(bytes.to_vec()))
    }

    fn hash(&self, label: &[u8], hello: &PeerHello, welcome: &PeerWelcome) -> [u8; 32] {
        let mut mac = new_mac(&self.0);
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
        truncate_tag(self.hash(b"bramleyspring welcome", hello, welcome))
    }

    /// Checks the answerer's proof.
    ///
    /// # Errors
    ///
    /// [`AuthError::InvalidProof`].
    pub fn verify_proof(&self, hello: &PeerHello, welcome: &PeerWelcome) -> Result<(), AuthError> {
        let expected = self.proof(hello, welcome);
        if bool::from(expected.ct_eq(&welcome.proof)) {
            return Ok(());
        }
        Err(AuthError::InvalidProof)
    }

    /// The seal of one side of a connection.
    #[must_use]
    pub fn authenticator(
        &self,
        hello: &PeerHello,
        welcome: &PeerWelcome,
        side: FrameSide,
    ) -> FrameAuthenticator {
        FrameAuthenticator {
            key: self.hash(b"bramleyspring frames", hello, welcome),
            version: welcome.version,
            side,
            last_sent: 0,
            last_received: 0,
        }
    }
}

fn new_mac(key: &[u8]) -> Hmac<Sha256> {
    Hmac::new_from_slice(key).unwrap_or_else(|_| unreachable!("HMAC takes keys of any length"))
}

fn truncate_tag(hash: [u8; 32]) -> [u8; TAG_BYTES] {
    let mut tag = [0; TAG_BYTES];
    tag.copy_from_slice(&hash[..TAG_BYTES]);
    tag
}

/// Seals and opens the frames of one side of one connection.
#[derive(Debug)]
pub struct FrameAuthenticator {
    key: [u8; 32],
    version: u8,
    side: FrameSide,
    last_sent: u64,
    last_received: u64,
}

/// An opened frame.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VerifiedFrame {
    /// Its sequence.
    pub sequence: u64,
    /// Its message.
    pub payload: Vec<u8>,
}

impl FrameAuthenticator {
    fn tag(&self, side: FrameSide, version: u8, sequence: u64, payload: &[u8]) -> [u8; TAG_BYTES] {
        let mut mac = new_mac(&self.key);
        mac.update(side.label());
        mac.update(&[version]);
        mac.update(&sequence.to_be_bytes());
        mac.update(payload);
        truncate_tag(mac.finalize().into_bytes().into())
    }

    /// Sequence of the newest frame that was opened.
    #[must_use]
    pub fn last_received(&self) -> u64 {
        self.last_received
    }

    /// Sequence of the newest frame that was sealed.
    #[must_use]
    pub fn last_sent(&self) -> u64 {
        self.last_sent
    }

    /// Seals a message.
    ///
    /// # Errors
    ///
    /// [`AuthError::Body`] when the frame can't be written.
    pub fn sign(&mut self, payload: Vec<u8>) -> Result<Vec<u8>, AuthError> {
        self.last_sent += 1;
        let tag = self.tag(self.side, self.version, self.last_sent, &payload);
        let frame = SealedFrame {
            version: self.version,
            sequence: self.last_sent,
            tag,
            payload,
        };
        Ok(encode_body(&frame)?)
    }

    /// Opens a frame of the other side.
    ///
    /// # Errors
    ///
    /// [`AuthError`].
    pub fn verify<const LIMIT: usize>(&mut self, bytes: &[u8]) -> Result<VerifiedFrame, AuthError> {
        let frame: SealedFrame = decode_body::<_, LIMIT>(bytes)?;
        let side = self.side.opposite();
        let expected = self.tag(side, self.version, frame.sequence, &frame.payload);
        let valid = frame.version == self.version && bool::from(expected.ct_eq(&frame.tag));
        if !valid {
            return Err(AuthError::InvalidProof);
        }
        if frame.sequence <= self.last_received {
            return Err(AuthError::Replayed);
        }
        self.last_received = frame.sequence;
        Ok(VerifiedFrame {
            sequence: frame.sequence,
            payload: frame.payload,
        })
    }
}
