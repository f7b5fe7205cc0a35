//! One HTTP/1.1 connection to a server, for callers that keep their own pool.
//!
//! A general pool hides which connection an answer came on, whether a request was written at all,
//! and when a connection is dropped. Where a request must not run twice, all three matter.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Why a connection brought no answer.
#[derive(Debug, thiserror::Error)]
pub enum ConnectionError {
    /// Nothing listens at the address.
    #[error("the connection was refused")]
    Refused,
    /// No connection within the limit.
    #[error("no connection within {0:?}")]
    NotConnected(Duration),
    /// The connection had ended before a byte of the request was written.
    #[error("the connection had ended before the request was written")]
    Unsent,
    /// The request may have reached the server; the connection broke.
    #[error("the connection broke: {0}")]
    Broken(String),
}

impl ConnectionError {
    /// Whether it is certain that the server did not get the request.
    #[must_use]
    pub fn is_unsent(&self) -> bool {
        !matches!(self, Self::Broken(_))
    }
}

/// One connection. It carries one request at a time.
#[derive(Debug)]
pub struct HttpConnection {
    sender: SendRequest<Full<Bytes>>,
}

impl HttpConnection {
    /// Connects.
    ///
    /// # Errors
    ///
    /// [`ConnectionError::Refused`] or [`ConnectionError::NotConnected`].
    pub async fn connect(address: SocketAddr, limit: Duration) -> Result<Self, ConnectionError> {
        let connecting = TcpStream::connect(address);
        let stream = match tokio::time::timeout(limit, connecting).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
                return Err(ConnectionError::Refused);
            }
            Ok(Err(_)) | Err(_) => return Err(ConnectionError::NotConnected(limit)),
        };
        // Only a delay is lost where the option can't be set.
        drop(stream.set_nodelay(true));
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|_| ConnectionError::NotConnected(limit))?;
        tokio::spawn(async move {
            // Its end shows at the sender, with the request that it concerns.
            drop(connection.await);
        });
        Ok(Self { sender })
    }

    /// Whether the connection still stands, as far as is known.
    #[must_use]
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Sends a request and returns the answer's head.
    ///
    /// # Errors
    ///
    /// [`ConnectionError`]; see [`ConnectionError::is_unsent`].
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, ConnectionError> {
        if self.sender.ready().await.is_err() {
            return Err(ConnectionError::Unsent);
        }
        match self.sender.try_send_request(request).await {
            Ok(answer) => Ok(answer),
            Err(mut error) => match error.take_message() {
                Some(_) => Err(ConnectionError::Unsent),
                None => Err(ConnectionError::Broken(error.into_error().to_string())),
            },
        }
    }
}
