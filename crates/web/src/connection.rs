//! A single HTTP/1.1 connection to a server, for code that manages its own connection pool.
//!
//! A general-purpose pool hides which connection a response arrived on, whether a request was written
//! at all, and when a connection is dropped. All three matter for requests that must not run twice.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;

use crate::fair_stream::FairStream;
use crate::fair_task::FairTask;
use crate::response::is_final_status;

/// Why a connection could not be established or returned no response.
#[derive(Debug, thiserror::Error)]
pub enum ConnectionError {
    /// The server's host refused the connection, so no process listens at the address.
    #[error("the connection was refused")]
    Refused,
    /// The connection was not established within this timeout.
    #[error("no connection within {0:?}")]
    NotConnected(Duration),
    /// The connection was closed before any byte of the request was written.
    #[error("the connection was closed before the request was written")]
    Unsent,
    /// The connection failed; the request may have reached the server.
    #[error("the connection failed: {0}")]
    Broken(String),
    /// A response came whose status is none of an answer; the server may have run the request.
    #[error("a response with status {0} is no answer")]
    NoAnswer(StatusCode),
}

impl ConnectionError {
    /// Whether it is certain that the server did not receive the request.
    #[must_use]
    pub fn is_unsent(&self) -> bool {
        !matches!(self, Self::Broken(_) | Self::NoAnswer(_))
    }
}

/// An open connection, which carries one request at a time.
#[derive(Debug)]
pub struct HttpConnection {
    sender: SendRequest<Full<Bytes>>,
}

impl HttpConnection {
    /// Opens a connection within `timeout`.
    ///
    /// # Errors
    ///
    /// [`ConnectionError::Refused`] or [`ConnectionError::NotConnected`].
    pub async fn connect(address: SocketAddr, timeout: Duration) -> Result<Self, ConnectionError> {
        let connecting = TcpStream::connect(address);
        let stream = match tokio::time::timeout(timeout, connecting).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
                return Err(ConnectionError::Refused);
            }
            Ok(Err(_)) | Err(_) => return Err(ConnectionError::NotConnected(timeout)),
        };
        // If the option can't be set, the connection still works but may add latency.
        drop(stream.set_nodelay(true));
        Self::over(stream).await
    }

    /// Uses a stream that is connected to the server already.
    ///
    /// # Errors
    ///
    /// [`ConnectionError::Unsent`] if the stream is closed.
    pub async fn over<S>(stream: S) -> Result<Self, ConnectionError>
    where
        S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        let stream = FairStream::new(stream);
        let flow = stream.flow();
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|_| ConnectionError::Unsent)?;
        tokio::spawn(async move {
            // Errors of the connection are also reported to the sender of the affected request.
            drop(FairTask::new(connection, flow).await);
        });
        Ok(Self { sender })
    }

    /// Whether the connection is not known to be closed.
    #[must_use]
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Sends a request and returns the response as soon as its head arrives.
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
            Ok(response) if is_final_status(response.status()) => Ok(response),
            Ok(response) => Err(ConnectionError::NoAnswer(response.status())),
            Err(mut error) => match error.take_message() {
                Some(_) => Err(ConnectionError::Unsent),
                None => Err(ConnectionError::Broken(error.into_error().to_string())),
            },
        }
    }
}
