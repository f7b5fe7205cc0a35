//! Authentication of peers and their messages with the deployment's shared key.
//!
//! Every message carries an HMAC. The alternative was TLS with `rustls`. The links carry no secrets
//! (records contain only hashes of clients' keys), but a forged digest could put an attacker's
//! configuration into force, so the origin of every message must be verified. Certificates would
//! have to be issued to diskless hosts that are replaced a hundred times a day, and their expiry
//! could break all links at once without warning. A shared key is delivered with the settings that
//! a host receives anyway. Deployments that also need confidentiality run the links inside a
//! private network.
//!
//! Replay protection: both sides contribute a nonce to the key of the connection, so a frame is not
//! valid on another connection; within a connection the sequence number must increase; and the
//! direction is part of the HMAC, so a frame can't be reflected to its sender.

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use subtle::ConstantTimeEq;
use wire::peer::{
    AuthenticatedFrame, PeerHello, PeerMessageError, PeerWelcome, TAG_BYTES, decode_message,
    encode_message,
};

/// Minimum length of the shared key in bytes.
pub const MIN_KEY_BYTES: usize = 16;

/// The deployment's shared key. Its `Debug` output omits the key.
#[derive(Clone)]
pub struct SharedKey(Vec<u8>);

impl std::fmt::Debug for SharedKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("SharedKey")
    }
}

/// Why a shared key or a peer's message was rejected.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum AuthError {
    /// The shared key is shorter than [`MIN_KEY_BYTES`].
    #[error("the shared key of the peers has {0} bytes, at least {MIN_KEY_BYTES} are required")]
    KeyTooShort(usize),
    /// The sender doesn't have the shared key, or the message was modified.
    #[error("authentication with the shared key failed")]
    InvalidProof,
    /// The sequence number of the frame is not higher than the last one.
    #[error("replayed message")]
    Replayed,
    /// The message can't be encoded or decoded.
    #[error(transparent)]
    Body(#[from] PeerMessageError),
}

/// The side of a connection that sent a frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FrameSide {
    /// The side that opened the connection.
    Initiator,
    /// The side that accepted the connection.
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
    /// Creates a key. Surrounding whitespace is trimmed, so a key file may end with a newline.
    ///
    /// # Errors
    ///
    /// [`AuthError::KeyTooShort`] if fewer than [`MIN_KEY_BYTES`] remain.
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

    /// Computes the responder's proof that it has the key. It covers the protocol versions, which
    /// prevents a downgrade by a man in the middle.
    #[must_use]
    pub fn proof(&self, hello: &PeerHello, welcome: &PeerWelcome) -> [u8; TAG_BYTES] {
        truncate_tag(self.hash(b"bramleyspring welcome", hello, welcome))
    }

    /// Verifies the responder's proof in constant time.
    ///
    /// # Errors
    ///
    /// [`AuthError::InvalidProof`] if it doesn't match.
    pub fn verify_proof(&self, hello: &PeerHello, welcome: &PeerWelcome) -> Result<(), AuthError> {
        let expected = self.proof(hello, welcome);
        if bool::from(expected.ct_eq(&welcome.proof)) {
            return Ok(());
        }
        Err(AuthError::InvalidProof)
    }

    /// Returns the frame authenticator for one side of a connection.
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

/// Signs and verifies frames on one side of a connection.
#[derive(Debug)]
pub struct FrameAuthenticator {
    key: [u8; 32],
    version: u8,
    side: FrameSide,
    last_sent: u64,
    last_received: u64,
}

/// A frame whose tag and sequence number were verified.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VerifiedFrame {
    /// Sequence number of the frame.
    pub sequence: u64,
    /// Encoded message.
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

    /// Returns the sequence number of the last frame that was verified, 0 if none.
    #[must_use]
    pub fn last_received(&self) -> u64 {
        self.last_received
    }

    /// Returns the sequence number of the last frame that was signed, 0 if none.
    #[must_use]
    pub fn last_sent(&self) -> u64 {
        self.last_sent
    }

    /// Signs a message and returns the encoded frame.
    ///
    /// # Errors
    ///
    /// [`AuthError::Body`] if the frame can't be encoded.
    pub fn sign(&mut self, payload: Vec<u8>) -> Result<Vec<u8>, AuthError> {
        self.last_sent += 1;
        let tag = self.tag(self.side, self.version, self.last_sent, &payload);
        let frame = AuthenticatedFrame {
            version: self.version,
            sequence: self.last_sent,
            tag,
            payload,
        };
        Ok(encode_message(&frame)?)
    }

    /// Decodes a frame from the other side and verifies its tag and sequence number.
    ///
    /// # Errors
    ///
    /// [`AuthError::Body`] if it can't be decoded, [`AuthError::InvalidProof`] if the tag or
    /// version is wrong, [`AuthError::Replayed`] if the sequence number did not increase.
    pub fn verify<const LIMIT: usize>(&mut self, bytes: &[u8]) -> Result<VerifiedFrame, AuthError> {
        let frame: AuthenticatedFrame = decode_message::<_, LIMIT>(bytes)?;
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
