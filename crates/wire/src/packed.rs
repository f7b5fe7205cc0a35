//! Compressed messages between nodes.
//!
//! Tables are JSON rows that resemble each other, and take a tenth of their size in this form.

use serde::{Deserialize, Serialize};

use crate::peer::{PeerMessageError, decode_message, encode_message};

/// Size from which a message is compressed, in bytes; smaller ones gain nothing.
const MIN_PACKED_BYTES: usize = 512;

/// Compression level: the fastest, since a node has a fraction of a core.
const COMPRESSION_LEVEL: i32 = 1;

/// A message in the form in which it is sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PackedMessage {
    /// The message itself.
    Plain(Vec<u8>),
    /// The message as a Zstandard frame.
    Zstandard {
        /// Length of the message in bytes.
        length: u32,
        /// The frame.
        frame: Vec<u8>,
    },
}

impl PackedMessage {
    /// Packs an encoded message.
    ///
    /// # Errors
    ///
    /// [`PeerMessageError::Codec`] if it can't be compressed.
    pub fn pack(message: Vec<u8>) -> Result<Self, PeerMessageError> {
        if message.len() < MIN_PACKED_BYTES {
            return Ok(Self::Plain(message));
        }
        let Ok(length) = u32::try_from(message.len()) else {
            return Ok(Self::Plain(message));
        };
        let frame = zstd::bulk::compress(&message, COMPRESSION_LEVEL)
            .map_err(|error| codec_error(&error))?;
        Ok(Self::Zstandard { length, frame })
    }

    /// Returns the encoded message of at most `limit` bytes. A larger one is refused before it is
    /// unpacked, and one that is longer than it says while it is.
    ///
    /// # Errors
    ///
    /// [`PeerMessageError::Codec`] if it is too large or its frame is malformed.
    pub fn unpack(self, limit: usize) -> Result<Vec<u8>, PeerMessageError> {
        let (length, frame) = match self {
            Self::Plain(message) => return Ok(message),
            Self::Zstandard { length, frame } => (length, frame),
        };
        let length = usize::try_from(length).unwrap_or(usize::MAX);
        if length > limit {
            let reason = format!("a message of {length} bytes exceeds {limit}");
            return Err(PeerMessageError::Codec(reason));
        }
        let message =
            zstd::bulk::decompress(&frame, length).map_err(|error| codec_error(&error))?;
        if message.len() != length {
            let reason = format!("a message of {length} bytes has {}", message.len());
            return Err(PeerMessageError::Codec(reason));
        }
        Ok(message)
    }
}

fn codec_error(error: &std::io::Error) -> PeerMessageError {
    PeerMessageError::Codec(error.to_string())
}

/// Encodes and packs a message.
///
/// # Errors
///
/// [`PeerMessageError::Codec`] if it can't be encoded.
pub fn encode_packed<T: Serialize>(value: &T) -> Result<Vec<u8>, PeerMessageError> {
    encode_message(&PackedMessage::pack(encode_message(value)?)?)
}

/// Decodes a packed message of at most `LIMIT` bytes, packed and unpacked.
///
/// # Errors
///
/// [`PeerMessageError::Codec`] if it is malformed or too large.
pub fn decode_packed<T: serde::de::DeserializeOwned, const LIMIT: usize>(
    bytes: &[u8],
) -> Result<T, PeerMessageError> {
    let packed: PackedMessage = decode_message::<_, LIMIT>(bytes)?;
    decode_message::<_, LIMIT>(&packed.unpack(LIMIT)?)
}
