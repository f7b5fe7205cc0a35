//! A client with a connection pool.

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

/// Largest answer that is read whole, in bytes: a whole scan of the table at letter 1's size.
pub const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Longest wait for a TCP connection; a host that is gone answers nothing at all.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Idle connections are closed after this time, before a server closes them under a request.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Why a request brought no answer.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// The connection was never made: no byte of the request reached the server.
    #[error("no connection to {0}")]
    NotConnected(SocketAddr),
    /// The server's host refused the connection: nothing listens there.
    #[error("{0} refuses connections")]
    Refused(SocketAddr),
    /// The request may have reached the server; no answer came in time.
    #[error("no answer from {0} in time")]
    TimedOut(SocketAddr),
    /// The request may have reached the server; the connection broke.
    #[error("the connection to {0} broke: {1}")]
    Broken(SocketAddr, String),
    /// The answer's body can't be used.
    #[error("the answer of {0} can't be used: {1}")]
    InvalidResponse(SocketAddr, BodyError),
}

impl ClientError {
    /// Whether it is certain that no byte of the request reached the server.
    #[must_use]
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::NotConnected(_) | Self::Refused(_))
    }
}

/// A status with its JSON body.
#[derive(Debug)]
pub struct JsonResponse<T> {
    /// The status.
    pub status: StatusCode,
    /// The body.
    pub value: T,
}

/// A client of servers on known addresses. Cheap to clone; clones share the pool.
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
    /// A client that makes a connection for each request.
    ///
    /// A server may close an idle connection at the moment at which a request is written to it.
    /// The sender can't tell then whether the request was read. For a payment that doubt would
    /// end as `unknown`, which costs the caller more than the milliseconds of a new connection.
    #[must_use]
    pub fn unpooled() -> Self {
        Self::with_idle_connections(0)
    }

    fn with_idle_connections(count: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_timer(TokioTimer::new())
            .pool_max_idle_per_host(count)
            .retry_canceled_requests(false)
            .build(connector);
        Self { client }
    }

    /// Sends a request and returns the answer's head with its body still streaming.
    ///
    /// # Errors
    ///
    /// [`ClientError`]; `NotConnected` only when no byte can have been sent.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<WebBody>,
        timeout: Duration,
    ) -> Result<Response<Incoming>, ClientError> {
        match tokio::time::timeout(timeout, self.client.request(request)).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(error)) if is_refused(&error) => Err(ClientError::Refused(address)),
            Ok(Err(error)) if error.is_connect() => Err(ClientError::NotConnected(address)),
            Ok(Err(error)) => Err(ClientError::Broken(address, error.to_string())),
            Err(_) => Err(ClientError::TimedOut(address)),
        }
    }

    /// Sends a JSON body, or none, and reads the whole answer as JSON.
    ///
    /// # Errors
    ///
    /// As [`WebClient::send`], and [`ClientError::InvalidResponse`].
    pub async fn json<Q: Serialize, A: DeserializeOwned>(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Option<&Q>,
        timeout: Duration,
    ) -> Result<JsonResponse<A>, ClientError> {
        let call = async {
            let request = json_request(method, address, path, body)?;
            let answer = self.send(address, request, timeout).await?;
            let status = answer.status();
            let bytes = read_body(answer.into_body(), MAX_RESPONSE_BYTES)
                .await
                .map_err(|error| ClientError::Broken(address, error.to_string()))?;
            let value =
                parse_json(&bytes).map_err(|error| ClientError::InvalidResponse(address, error))?;
            Ok(JsonResponse { status, value })
        };
        match tokio::time::timeout(timeout, call).await {
            Ok(result) => result,
            Err(_) => Err(ClientError::TimedOut(address)),
        }
    }
}

/// Whether the other host itself answered that nothing listens there.
fn is_refused(error: &hyper_util::client::legacy::Error) -> bool {
    if !error.is_connect() {
        return false;
    }
    let mut cause = std::error::Error::source(error);
    while let Some(source) = cause {
        let kind = source
            .downcast_ref::<std::io::Error>()
            .map(std::io::Error::kind);
        if kind == Some(std::io::ErrorKind::ConnectionRefused) {
            return true;
        }
        cause = source.source();
    }
    false
}

/// Builds a request with a JSON body, or with none.
///
/// # Errors
///
/// [`ClientError::Broken`] when the path is no URI or the value can't be written as JSON.
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
