//! Client of model engines.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use domain::AttemptId;
use http::{Method, Response, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use web::client::{JsonResponse, json_request};
use web::{ClientError, WebClient, parse_json};
use wire::engine::{EngineOrder, EngineState, ResumeRequest, StreamEvent, StreamRequest};

/// Largest line of a stream, in bytes; a longer one means that the engine is broken.
const MAX_LINE_BYTES: usize = 1 << 20;

/// Answer of an engine to an order.
#[derive(Debug, Clone, PartialEq)]
pub enum OrderOutcome {
    /// The engine follows it; its state now.
    Done(EngineState),
    /// The engine refused it for its old fencing number; its state now.
    Fenced(EngineState),
}

/// How a stream began.
#[derive(Debug)]
pub enum StreamStart<S> {
    /// It runs.
    Running(S),
    /// The engine proved that it did not run it.
    Refused {
        /// Whether the replica or incarnation is another; otherwise the engine is full.
        replica_changed: bool,
        /// When to come back, where the engine said so.
        retry_after: Option<Duration>,
    },
}

/// A stream of tokens.
pub trait TokenStream: Send + 'static {
    /// The next event; none at the end of the connection, with or without a final mark before.
    ///
    /// # Errors
    ///
    /// [`ClientError`] when the connection broke, stayed silent for `silence`, or carried
    /// something else than events.
    fn next_event(
        &mut self,
        silence: Duration,
    ) -> impl Future<Output = Result<Option<StreamEvent>, ClientError>> + Send;
}

/// Model engines, by address.
pub trait EngineClient: Clone + Send + Sync + 'static {
    /// A running stream.
    type Stream: TokenStream;

    /// Asks an engine for its state.
    ///
    /// # Errors
    ///
    /// [`ClientError`].
    fn state(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> impl Future<Output = Result<EngineState, ClientError>> + Send;

    /// Gives an engine an order.
    ///
    /// # Errors
    ///
    /// [`ClientError`]; the order may have been followed unless it is unsent.
    fn order(
        &self,
        address: SocketAddr,
        order: &EngineOrder,
        timeout: Duration,
    ) -> impl Future<Output = Result<OrderOutcome, ClientError>> + Send;

    /// Starts a stream.
    ///
    /// # Errors
    ///
    /// [`ClientError`]; the request may have run unless it is unsent.
    fn start(
        &self,
        address: SocketAddr,
        order: &StreamRequest,
        timeout: Duration,
    ) -> impl Future<Output = Result<StreamStart<Self::Stream>, ClientError>> + Send;

    /// Goes on with a stream whose connection was lost, as long as the engine keeps it.
    ///
    /// # Errors
    ///
    /// [`ClientError`]; the kept stream is then as it was.
    fn resume(
        &self,
        address: SocketAddr,
        attempt: &AttemptId,
        order: ResumeRequest,
        timeout: Duration,
    ) -> impl Future<Output = Result<StreamStart<Self::Stream>, ClientError>> + Send;

    /// Cancels a stream; an unknown one is no error.
    ///
    /// # Errors
    ///
    /// [`ClientError`].
    fn cancel(
        &self,
        address: SocketAddr,
        attempt: &AttemptId,
        timeout: Duration,
    ) -> impl Future<Output = Result<(), ClientError>> + Send;
}

/// Engines over HTTP.
#[derive(Debug, Clone, Default)]
pub struct HttpEngineClient {
    client: WebClient,
}

impl HttpEngineClient {
    /// A client that shares a connection pool.
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
        let answer: JsonResponse<EngineState> = self
            .client
            .json(Method::GET, address, "/state", NO_BODY, timeout)
            .await?;
        Ok(answer.value)
    }

    async fn order(
        &self,
        address: SocketAddr,
        order: &EngineOrder,
        timeout: Duration,
    ) -> Result<OrderOutcome, ClientError> {
        let answer: JsonResponse<EngineState> = self
            .client
            .json(Method::POST, address, "/orders", Some(order), timeout)
            .await?;
        if answer.status == StatusCode::CONFLICT {
            return Ok(OrderOutcome::Fenced(answer.value));
        }
        Ok(OrderOutcome::Done(answer.value))
    }

    async fn start(
        &self,
        address: SocketAddr,
        order: &StreamRequest,
        timeout: Duration,
    ) -> Result<StreamStart<HttpStream>, ClientError> {
        let request = json_request(Method::POST, address, "/streams", Some(order))?;
        let answer = self.client.send(address, request, timeout).await?;
        stream_start(address, answer)
    }

    async fn resume(
        &self,
        address: SocketAddr,
        attempt: &AttemptId,
        order: ResumeRequest,
        timeout: Duration,
    ) -> Result<StreamStart<HttpStream>, ClientError> {
        let path = format!("/streams/{attempt}/resume");
        let request = json_request(Method::POST, address, &path, Some(&order))?;
        let answer = self.client.send(address, request, timeout).await?;
        stream_start(address, answer)
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

/// Reads an engine's head of an answer. Each refusal is a proof that nothing was run.
fn stream_start(
    address: SocketAddr,
    answer: Response<Incoming>,
) -> Result<StreamStart<HttpStream>, ClientError> {
    match answer.status() {
        StatusCode::OK => Ok(StreamStart::Running(HttpStream {
            address,
            body: answer.into_body(),
            buffer: BytesMut::new(),
        })),
        StatusCode::CONFLICT | StatusCode::NOT_FOUND => Ok(StreamStart::Refused {
            replica_changed: true,
            retry_after: None,
        }),
        StatusCode::SERVICE_UNAVAILABLE => Ok(StreamStart::Refused {
            replica_changed: false,
            retry_after: retry_after(&answer),
        }),
        status => Err(ClientError::Broken(
            address,
            format!("status {status} to a stream"),
        )),
    }
}

fn retry_after(answer: &Response<Incoming>) -> Option<Duration> {
    let text = answer.headers().get(header::RETRY_AFTER)?.to_str().ok()?;
    text.parse().ok().map(Duration::from_secs)
}

/// A stream over HTTP: lines of JSON. Dropping it closes the connection.
#[derive(Debug)]
pub struct HttpStream {
    address: SocketAddr,
    body: Incoming,
    buffer: BytesMut,
}

impl HttpStream {
    fn take_line(&mut self) -> Option<Bytes> {
        let end = self.buffer.iter().position(|byte| *byte == b'\n')?;
        let line = self.buffer.split_to(end).freeze();
        self.buffer.advance(1);
        Some(line)
    }

    fn broken(&self, problem: impl Into<String>) -> ClientError {
        ClientError::Broken(self.address, problem.into())
    }
}

impl TokenStream for HttpStream {
    async fn next_event(&mut self, silence: Duration) -> Result<Option<StreamEvent>, ClientError> {
        loop {
            if let Some(line) = self.take_line() {
                let event = parse_json(&line)
                    .map_err(|error| ClientError::InvalidResponse(self.address, error))?;
                return Ok(Some(event));
            }
            if self.buffer.len() > MAX_LINE_BYTES {
                return Err(self.broken("a line without an end"));
            }
            let frame = match tokio::time::timeout(silence, self.body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(error))) => return Err(self.broken(error.to_string())),
                Ok(None) if self.buffer.is_empty() => return Ok(None),
                Ok(None) => return Err(self.broken("the stream ended inside a line")),
                Err(_) => return Err(ClientError::TimedOut(self.address)),
            };
            if let Some(data) = frame.data_ref() {
                self.buffer.extend_from_slice(data);
            }
        }
    }
}
