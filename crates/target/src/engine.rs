//! Client for model engines.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use domain::AttemptId;
use http::{Method, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use web::client::{JsonResponse, json_request};
use web::{ClientError, WebClient, parse_json, retry_after};
use wire::engine::{EngineOrder, EngineState, ResumeRequest, StreamEvent, StreamRequest};

/// Maximum length of a line in a stream, in bytes. A longer line means that the engine is faulty.
const MAX_LINE_BYTES: usize = 1 << 20;

/// Response of an engine to an order.
#[derive(Debug, Clone, PartialEq)]
pub enum OrderOutcome {
    /// The engine accepted the order and reports its new state.
    Done(EngineState),
    /// The engine rejected the order because of its stale fencing token, and reports its current state.
    Fenced(EngineState),
}

/// Response of an engine to the start or resumption of a stream.
#[derive(Debug)]
pub enum StreamStart<S> {
    /// The engine sends the stream.
    Running(S),
    /// The engine rejected the request, which proves that it did not run it.
    Refused {
        /// Whether the engine belongs to another replica or incarnation, or no longer has the stream. If
        /// false, it is at capacity or not ready.
        replica_changed: bool,
        /// Time after which to retry, if the engine specified it.
        retry_after: Option<Duration>,
    },
}

/// The events of a stream, in the order in which the engine sends them.
pub trait TokenStream: Send + 'static {
    /// Returns the next event; none at the end of the response, even if the engine sent no
    /// [`StreamEvent::Done`] before.
    ///
    /// # Errors
    ///
    /// [`ClientError`] if the connection failed, no data arrived within `idle_timeout`, or a line is
    /// not a valid event.
    fn next_event(
        &mut self,
        idle_timeout: Duration,
    ) -> impl Future<Output = Result<Option<StreamEvent>, ClientError>> + Send;
}

/// Interface to model engines, which are identified by address.
pub trait EngineClient: Clone + Send + Sync + 'static {
    /// Stream returned by `start` and `resume`.
    type Stream: TokenStream;

    /// Requests an engine's state.
    ///
    /// # Errors
    ///
    /// [`ClientError`] if there is no valid response.
    fn state(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> impl Future<Output = Result<EngineState, ClientError>> + Send;

    /// Sends an order to an engine. A rejection because of a stale fencing token is not an error.
    ///
    /// # Errors
    ///
    /// [`ClientError`]; the engine may have followed the order unless
    /// [`ClientError::is_unsent`].
    fn order(
        &self,
        address: SocketAddr,
        order: &EngineOrder,
        timeout: Duration,
    ) -> impl Future<Output = Result<OrderOutcome, ClientError>> + Send;

    /// Starts a stream; `timeout` limits the wait for the response head only.
    ///
    /// # Errors
    ///
    /// [`ClientError`]; the engine may have run the request unless [`ClientError::is_unsent`].
    fn start(
        &self,
        address: SocketAddr,
        request: &StreamRequest,
        timeout: Duration,
    ) -> impl Future<Output = Result<StreamStart<Self::Stream>, ClientError>> + Send;

    /// Resumes a stream whose connection was lost, while the engine retains it.
    ///
    /// # Errors
    ///
    /// [`ClientError`]; the retained stream is unchanged then.
    fn resume(
        &self,
        address: SocketAddr,
        attempt: &AttemptId,
        request: ResumeRequest,
        timeout: Duration,
    ) -> impl Future<Output = Result<StreamStart<Self::Stream>, ClientError>> + Send;

    /// Cancels a stream. An unknown attempt is not an error.
    ///
    /// # Errors
    ///
    /// [`ClientError`] if there is no response.
    fn cancel(
        &self,
        address: SocketAddr,
        attempt: &AttemptId,
        timeout: Duration,
    ) -> impl Future<Output = Result<(), ClientError>> + Send;
}

/// [`EngineClient`] over HTTP.
#[derive(Debug, Clone, Default)]
pub struct HttpEngineClient {
    client: WebClient,
}

impl HttpEngineClient {
    /// Creates a client that uses the connection pool of `client`.
    #[must_use]
    pub fn new(client: WebClient) -> Self {
        Self { client }
    }
}

const NO_BODY: Option<&()> = None;

impl EngineClient for HttpEngineClient {
    type Stream = HttpStream;

    async fn state(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<EngineState, ClientError> {
        let response: JsonResponse<EngineState> = self
            .client
            .json(Method::GET, address, "/state", NO_BODY, timeout)
            .await?;
        Ok(response.value)
    }

    async fn order(
        &self,
        address: SocketAddr,
        order: &EngineOrder,
        timeout: Duration,
    ) -> Result<OrderOutcome, ClientError> {
        let response: JsonResponse<EngineState> = self
            .client
            .json(Method::POST, address, "/orders", Some(order), timeout)
            .await?;
        if response.status == StatusCode::CONFLICT {
            return Ok(OrderOutcome::Fenced(response.value));
        }
        Ok(OrderOutcome::Done(response.value))
    }

    async fn start(
        &self,
        address: SocketAddr,
        request: &StreamRequest,
        timeout: Duration,
    ) -> Result<StreamStart<HttpStream>, ClientError> {
        let http_request = json_request(Method::POST, address, "/streams", Some(request))?;
        let response = self.client.send(address, http_request, timeout).await?;
        parse_stream_start(address, response)
    }

    async fn resume(
        &self,
        address: SocketAddr,
        attempt: &AttemptId,
        request: ResumeRequest,
        timeout: Duration,
    ) -> Result<StreamStart<HttpStream>, ClientError> {
        let path = format!("/streams/{attempt}/resume");
        let http_request = json_request(Method::POST, address, &path, Some(&request))?;
        let response = self.client.send(address, http_request, timeout).await?;
        parse_stream_start(address, response)
    }

    async fn cancel(
        &self,
        address: SocketAddr,
        attempt: &AttemptId,
        timeout: Duration,
    ) -> Result<(), ClientError> {
        let path = format!("/streams/{attempt}");
        let request = json_request(Method::DELETE, address, &path, NO_BODY)?;
        self.client.send(address, request, timeout).await?;
        Ok(())
    }
}

/// Interprets the head of an engine's response. Every rejection proves that nothing was run.
fn parse_stream_start(
    address: SocketAddr,
    response: Response<Incoming>,
) -> Result<StreamStart<HttpStream>, ClientError> {
    match response.status() {
        StatusCode::OK => Ok(StreamStart::Running(HttpStream {
            address,
            body: response.into_body(),
            buffer: BytesMut::new(),
            searched: 0,
        })),
        StatusCode::CONFLICT | StatusCode::NOT_FOUND => Ok(StreamStart::Refused {
            replica_changed: true,
            retry_after: None,
        }),
        StatusCode::SERVICE_UNAVAILABLE => Ok(StreamStart::Refused {
            replica_changed: false,
            retry_after: retry_after(response.headers()),
        }),
        status => Err(ClientError::Broken(
            address,
            format!("unexpected status {status} for a stream"),
        )),
    }
}

/// A stream of newline-delimited JSON over HTTP. Dropping it closes the connection.
#[derive(Debug)]
pub struct HttpStream {
    address: SocketAddr,
    body: Incoming,
    buffer: BytesMut,
    /// Bytes of the buffer that were searched for the end of a line. A search from their start at each piece
    /// would take time that grows with the square of a line that never ends.
    searched: usize,
}

impl HttpStream {
    fn next_line(&mut self) -> Option<Bytes> {
        let unsearched = self.buffer[self.searched..].iter();
        let Some(offset) = unsearched.clone().position(|byte| *byte == b'\n') else {
            self.searched = self.buffer.len();
            return None;
        };
        let end = std::mem::take(&mut self.searched) + offset;
        let line = self.buffer.split_to(end).freeze();
        self.buffer.advance(1);
        Some(line)
    }

    fn broken(&self, reason: impl Into<String>) -> ClientError {
        ClientError::Broken(self.address, reason.into())
    }
}

impl TokenStream for HttpStream {
    async fn next_event(
        &mut self,
        idle_timeout: Duration,
    ) -> Result<Option<StreamEvent>, ClientError> {
        loop {
            if let Some(line) = self.next_line() {
                let event = parse_json(&line)
                    .map_err(|error| ClientError::InvalidResponse(self.address, error))?;
                return Ok(Some(event));
            }
            if self.buffer.len() > MAX_LINE_BYTES {
                return Err(self.broken("the line is too long"));
            }
            let frame = match tokio::time::timeout(idle_timeout, self.body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(error))) => return Err(self.broken(error.to_string())),
                Ok(None) if self.buffer.is_empty() => return Ok(None),
                Ok(None) => return Err(self.broken("the stream ended within a line")),
                Err(_) => return Err(ClientError::TimedOut(self.address)),
            };
            if let Some(data) = frame.data_ref() {
                self.buffer.extend_from_slice(data);
            }
        }
    }
}
