//! Why a link ended.

use domain::NodeId;

use crate::auth::AuthError;

/// Why a link ended.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// The connection could not be made or broke.
    #[error("the connection failed: {0}")]
    Connection(String),
    /// The peer took too long; it may be frozen or behind a broken network.
    #[error("no answer in time")]
    TimedOut,
    /// The peer refused: too many links, or no common version.
    #[error("the peer refused with status {0}")]
    Refused(u16),
    /// Another node answers at the address: the expected one was replaced.
    #[error("node {0} answers there")]
    UnexpectedNode(NodeId),
    /// The peer's message is not believed or can't be read.
    #[error(transparent)]
    Seal(#[from] AuthError),
    /// A message is larger than allowed.
    #[error("a message of more than {0} bytes")]
    TooLarge(usize),
    /// This process was frozen; what lies in the buffers is too old to go by.
    #[error("the message lay too long")]
    Stale,
}

impl From<h2::Error> for LinkError {
    fn from(error: h2::Error) -> Self {
        Self::Connection(error.to_string())
    }
}

impl From<std::io::Error> for LinkError {
    fn from(error: std::io::Error) -> Self {
        Self::Connection(error.to_string())
    }
}

impl From<http::Error> for LinkError {
    fn from(error: http::Error) -> Self {
        Self::Connection(error.to_string())
    }
}

impl From<wire::peer::PeerBodyError> for LinkError {
    fn from(error: wire::peer::PeerBodyError) -> Self {
        Self::Seal(error.into())
    }
}
