//! HTTP client with a connection pool.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::body::{BodyError, WebBody, full_body, parse_json, read_body};
use crate::response::is_final_status;

/// Maximum size of a response body in bytes, which allows a complete scan of the table at the deployment
/// size that the system is designed for.
pub const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Timeout for a TCP connection. A host that is down doesn't even refuse the connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Idle connections are closed after this time, before the server closes them while a request is
/// being sent.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Why a request has no usable response.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// The connection was not established, so no byte of the request reached the server.
    #[error("failed to connect to {0}")]
    NotConnected(SocketAddr),
    /// The server's host refused the connection, so no process listens at the address.
    #[error("{0} refuses connections")]
    Refused(SocketAddr),
    /// There was no response within the timeout; the request may have reached the server.
    #[error("{0} did not respond in time")]
    TimedOut(SocketAddr),
    /// The connection failed; the request may have reached the server.
    #[error("the connection to {0} failed: {1}")]
    Broken(SocketAddr, String),
    /// A response came whose status is none of an answer; the server may have run the request.
    #[error("{0} sent a response with status {1}, which is no answer")]
    NoAnswer(SocketAddr, StatusCode),
    /// The response body is malformed.
    #[error("invalid response from {0}: {1}")]
    InvalidResponse(SocketAddr, BodyError),
}

impl ClientError {
    /// Whether it is certain that no byte of the request reached the server.
    #[must_use]
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::NotConnected(_) | Self::Refused(_))
    }
}

/// A response with a JSON body.
#[derive(Debug)]
pub struct JsonResponse<T> {
    /// HTTP status code.
    pub status: StatusCode,
    /// Parsed body.
    pub value: T,
}

/// An HTTP client for servers with known addresses. Cheap to clone; clones share the connection pool.
#[derive(Debug, Clone)]
pub struct WebClient {
    client: Client<HttpConnector, WebBody>,
}

impl Default for WebClient {
    fn default() -> Self {
        Self::with_idle_connections(usize::MAX)
    }
}

impl WebClient {
    /// Creates a client that opens a new connection for each request.
    ///
    /// A server may close an idle connection while a request is being written to it. The sender
    /// can't tell then whether the server read the request. A payment would end with execution
    /// state `unknown`, which costs the client more than the milliseconds of a new connection.
    #[must_use]
    pub fn unpooled() -> Self {
        Self::with_idle_connections(0)
    }

    fn with_idle_connections(max_idle: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_timer(TokioTimer::new())
            .pool_max_idle_per_host(max_idle)
            .retry_canceled_requests(false)
            .build(connector);
        Self { client }
    }

    /// Sends a request and returns the response as soon as its head arrives.
    ///
    /// # Errors
    ///
    /// [`ClientError`]; [`ClientError::NotConnected`] only if no byte was sent.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<WebBody>,
        timeout: Duration,
    ) -> Result<Response<Incoming>, ClientError> {
        match tokio::time::timeout(timeout, self.client.request(request)).await {
            Ok(Ok(response)) if is_final_status(response.status()) => Ok(response),
            Ok(Ok(response)) => Err(ClientError::NoAnswer(address, response.status())),
            Ok(Err(error)) if is_refused(&error) => Err(ClientError::Refused(address)),
            Ok(Err(error)) if error.is_connect() => Err(ClientError::NotConnected(address)),
            Ok(Err(error)) => Err(ClientError::Broken(address, error.to_string())),
            Err(_) => Err(ClientError::TimedOut(address)),
        }
    }

    /// Sends a JSON body, or none, and reads the complete response as JSON.
    ///
    /// # Errors
    ///
    /// The errors of [`WebClient::send`], and [`ClientError::InvalidResponse`].
    pub async fn json<Q: Serialize, R: DeserializeOwned>(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Option<&Q>,
        timeout: Duration,
    ) -> Result<JsonResponse<R>, ClientError> {
        let exchange = async {
            let request = json_request(method, address, path, body)?;
            let response = self.send(address, request, timeout).await?;
            let status = response.status();
            let bytes = read_body(response.into_body(), MAX_RESPONSE_BYTES)
                .await
                .map_err(|error| ClientError::Broken(address, error.to_string()))?;
            let value =
                parse_json(&bytes).map_err(|error| ClientError::InvalidResponse(address, error))?;
            Ok(JsonResponse { status, value })
        };
        match tokio::time::timeout(timeout, exchange).await {
            Ok(result) => result,
            Err(_) => Err(ClientError::TimedOut(address)),
        }
    }
}

/// Whether the server's host refused the connection.
fn is_refused(error: &hyper_util::client::legacy::Error) -> bool {
    if !error.is_connect() {
        return false;
    }
    let mut next = std::error::Error::source(error);
    while let Some(source) = next {
        let kind = source
            .downcast_ref::<std::io::Error>()
            .map(std::io::Error::kind);
        if kind == Some(std::io::ErrorKind::ConnectionRefused) {
            return true;
        }
        next = source.source();
    }
    false
}

/// Builds a request with a JSON body, or with an empty one.
///
/// # Errors
///
/// [`ClientError::Broken`] if the path is not a valid URI or the value can't be serialized.
pub fn json_request<Q: Serialize>(
    method: Method,
    address: SocketAddr,
    path: &str,
    body: Option<&Q>,
) -> Result<Request<WebBody>, ClientError> {
    let bytes = match body {
        Some(value) => serde_json::to_vec(value)
            .map_err(|error| ClientError::Broken(address, error.to_string()))?,
        None => Vec::new(),
    };
    Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(full_body(Bytes::from(bytes)))
        .map_err(|error| ClientError::Broken(address, error.to_string()))
}
