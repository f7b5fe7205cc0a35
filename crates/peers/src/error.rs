//! Errors of links.

use domain::NodeId;

use crate::auth::AuthError;

/// Why a link failed.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// The connection could not be established or failed.
    #[error("connection failed: {0}")]
    Connection(String),
    /// The peer didn't respond in time; it may be suspended or unreachable.
    #[error("the peer did not respond in time")]
    TimedOut,
    /// The peer refused a request, for example because there is no common protocol version.
    #[error("the peer refused the request with status {0}")]
    Refused(u16),
    /// A node other than the expected one responded at the address.
    #[error("unexpected node {0} at this address")]
    UnexpectedNode(NodeId),
    /// A message of the peer can't be authenticated or decoded.
    #[error(transparent)]
    Auth(#[from] AuthError),
    /// A message exceeds this size limit in bytes.
    #[error("message exceeds {0} bytes")]
    TooLarge(usize),
    /// The message was buffered too long, because this process or the peer was suspended.
    #[error("the message is too old")]
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

impl From<wire::peer::PeerMessageError> for LinkError {
    fn from(error: wire::peer::PeerMessageError) -> Self {
        Self::Auth(error.into())
    }
}
