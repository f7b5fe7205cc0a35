//! Message bodies: size-limited reading, JSON parsing that reports the path of an error, streaming.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use hyper::body::{Body, Frame};
use serde::de::DeserializeOwned;
use tokio::sync::mpsc;

/// Body of a server's response or a client's request.
pub type WebBody = UnsyncBoxBody<Bytes, Infallible>;

/// Why a body could not be read or parsed.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// The body exceeds the reader's limit, given in bytes.
    #[error("the body exceeds {0} bytes")]
    TooLarge(usize),
    /// The connection failed before the end of the body.
    #[error("incomplete body: {0}")]
    Incomplete(String),
    /// The body is not JSON of the expected type.
    #[error("at {place}: {problem}")]
    Json {
        /// Path of the invalid value within the JSON document.
        place: String,
        /// Description of the error, with line and column.
        problem: String,
    },
}

/// Creates a body from bytes that are available at once.
#[must_use]
pub fn full_body(bytes: impl Into<Bytes>) -> WebBody {
    Full::new(bytes.into()).boxed_unsync()
}

/// Creates a body that streams the chunks sent to a channel. The body ends when the sender is
/// dropped.
#[must_use]
pub fn channel_body(capacity: usize) -> (mpsc::Sender<Bytes>, WebBody) {
    let (sender, receiver) = mpsc::channel(capacity);
    (sender, ChannelBody { receiver }.boxed_unsync())
}

struct ChannelBody {
    receiver: mpsc::Receiver<Bytes>,
}

impl Body for ChannelBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.receiver
            .poll_recv(context)
            .map(|chunk| chunk.map(|bytes| Ok(Frame::data(bytes))))
    }
}

/// Smallest piece in which a body is gathered, in bytes.
const PIECE_BYTES: usize = 4 << 10;

/// A body that is being gathered.
///
/// What has come is kept in pieces of some kilobytes until the body is complete. A piece of each frame would take many
/// times its size if a body comes byte by byte; one buffer that grows takes up to twice what has come, and leaves holes
/// of many sizes when it is given up.
#[derive(Debug, Default)]
pub struct BodyPieces {
    pieces: Vec<BytesMut>,
    length: usize,
}

impl BodyPieces {
    /// Number of bytes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether nothing has come yet.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Adds bytes at the end.
    pub fn push(&mut self, mut bytes: &[u8]) {
        self.length += bytes.len();
        if let Some(last) = self.pieces.last_mut() {
            let fitting = bytes.len().min(last.capacity() - last.len());
            last.extend_from_slice(&bytes[..fitting]);
            bytes = &bytes[fitting..];
        }
        if !bytes.is_empty() {
            let mut piece = BytesMut::with_capacity(bytes.len().max(PIECE_BYTES));
            piece.extend_from_slice(bytes);
            self.pieces.push(piece);
        }
    }

    /// The whole body.
    #[must_use]
    pub fn into_bytes(mut self) -> Bytes {
        if self.pieces.len() < 2 {
            return self.pieces.pop().unwrap_or_default().freeze();
        }
        let mut whole = BytesMut::with_capacity(self.length);
        for piece in self.pieces {
            whole.extend_from_slice(&piece);
        }
        whole.freeze()
    }
}

/// Reads a complete body of at most `limit` bytes.
///
/// # Errors
///
/// [`BodyError::TooLarge`] or [`BodyError::Incomplete`].
pub async fn read_body<B>(body: B, limit: usize) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let mut body = std::pin::pin!(body);
    let mut bytes = BodyPieces::default();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| BodyError::Incomplete(error.into().to_string()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if data.len() > limit - bytes.len() {
            return Err(BodyError::TooLarge(limit));
        }
        if bytes.is_empty() && body.is_end_stream() {
            return Ok(data);
        }
        bytes.push(&data);
    }
    Ok(bytes.into_bytes())
}

/// Parses a complete JSON document.
///
/// # Errors
///
/// [`BodyError::Json`] with the path of the first invalid value.
pub fn parse_json<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, BodyError> {
    let mut source = serde_json::Deserializer::from_slice(bytes);
    let value = serde_path_to_error::deserialize(&mut source).map_err(|error| BodyError::Json {
        place: error.path().to_string(),
        problem: error.inner().to_string(),
    })?;
    source.end().map_err(|error| BodyError::Json {
        place: ".".to_owned(),
        problem: error.to_string(),
    })?;
    Ok(value)
}
