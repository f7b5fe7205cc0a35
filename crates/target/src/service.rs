//! Client for plain services.

use std::fmt::Write;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use domain::CustomerId;
use http::{HeaderValue, Method, Request, StatusCode, header};
use web::body::full_body;
use web::client::CONNECT_TIMEOUT;
use web::client::JsonResponse;
use web::{
    ClientError, ConnectionError, HttpConnection, WebClient, is_close_delimited, parse_json,
    read_body,
};
use wire::service::{CUSTOMER_HEADER, IDEMPOTENCY_KEY_HEADER, LookupBody, ServiceLoad};

/// Maximum size of a service's response in bytes. The ledger stores the response in a table row.
pub const MAX_RESPONSE_BYTES: usize = 256 << 10;

/// A call of a plain service.
#[derive(Debug, Clone)]
pub struct ServiceRequest {
    /// Path and query, with a leading slash.
    pub path: String,
    /// Idempotency key; none for calls without one.
    pub key: Option<String>,
    /// Customer on whose behalf the call is made, so that a service can separate the keys of customers.
    pub customer: CustomerId,
    /// `Content-Type` header; none if the request had none.
    pub content_type: Option<HeaderValue>,
    /// Request body, sent to the service unchanged.
    pub body: Bytes,
}

/// A query whether a call ran.
#[derive(Debug, Clone)]
pub struct LookupRequest {
    /// Path of the service's lookup endpoint, without leading or trailing slashes.
    pub path: String,
    /// Idempotency key of the call, which consists of visible ASCII characters.
    pub key: String,
    /// Customer that owns the key.
    pub customer: CustomerId,
}

/// Response of a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceResponse {
    /// HTTP status code, of a success or a failure.
    pub status: StatusCode,
    /// `Content-Type` header, or `application/octet-stream` if it is missing or not text.
    pub content_type: String,
    /// Complete response body, at most [`MAX_RESPONSE_BYTES`] long.
    pub body: Bytes,
}

/// Why a call has no response.
#[derive(Debug, thiserror::Error)]
pub enum ServiceError {
    /// No byte reached the service, so the call was certainly not run.
    #[error("the service could not be reached: {0}")]
    Unsent(ClientError),
    /// The call may have been run.
    #[error("the service's response was lost: {0}")]
    ResponseLost(ClientError),
}

/// Interface to plain services, whose instances are identified by address.
pub trait ServiceClient: Clone + Send + Sync + 'static {
    /// Sends a call, at most once.
    ///
    /// # Errors
    ///
    /// [`ServiceError`], which says whether the call may have been run.
    fn call(
        &self,
        address: SocketAddr,
        request: &ServiceRequest,
        timeout: Duration,
    ) -> impl Future<Output = Result<ServiceResponse, ServiceError>> + Send;

    /// Asks a service whether a call ran.
    ///
    /// # Errors
    ///
    /// [`ClientError`] if there is no valid response.
    fn lookup(
        &self,
        address: SocketAddr,
        lookup: &LookupRequest,
        timeout: Duration,
    ) -> impl Future<Output = Result<LookupBody, ClientError>> + Send;

    /// Requests the load of a service instance.
    ///
    /// # Errors
    ///
    /// [`ClientError`] if there is no valid response.
    fn load(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> impl Future<Output = Result<ServiceLoad, ClientError>> + Send;
}

/// [`ServiceClient`] over HTTP. Lookups and load queries use a connection pool, while every call opens
/// a new connection; see [`WebClient::unpooled`].
#[derive(Debug, Clone)]
pub struct HttpServiceClient {
    pooled_client: WebClient,
    unpooled_client: WebClient,
}

impl HttpServiceClient {
    /// Creates a client that uses the connection pool of `client` for lookups and load queries.
    #[must_use]
    pub fn new(client: WebClient) -> Self {
        Self {
            pooled_client: client,
            unpooled_client: WebClient::unpooled(),
        }
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        request: &ServiceRequest,
        timeout: Duration,
    ) -> Result<ServiceResponse, ClientError> {
        let http_request = call_request(address, request)?;
        let response = self
            .unpooled_client
            .send(address, http_request, timeout)
            .await?;
        let status = response.status();
        let content_type = response
            .headers()
            .get(header::CONTENT_TYPE)
            .and_then(|value| value.to_str().ok())
            .unwrap_or("application/octet-stream")
            .to_owned();
        let ends_with_connection = is_close_delimited(response.headers());
        let body = read_body(response.into_body(), MAX_RESPONSE_BYTES)
            .await
            .map_err(|error| ClientError::Broken(address, error.to_string()))?;
        if ends_with_connection && has_exited(address).await {
            let problem = "the instance exited at the end of its connection";
            return Err(ClientError::Broken(address, problem.to_owned()));
        }
        Ok(ServiceResponse {
            status,
            content_type,
            body,
        })
    }
}

/// Time between the end of a connection and the question whether its instance has exited: a process that
/// dies may close its connections a little before it stops listening.
const EXIT_SETTLE_TIME: Duration = Duration::from_millis(30);

/// Whether nothing listens at the address any more.
async fn has_exited(address: SocketAddr) -> bool {
    tokio::time::sleep(EXIT_SETTLE_TIME).await;
    let connected = HttpConnection::connect(address, CONNECT_TIMEOUT).await;
    matches!(connected, Err(ConnectionError::Refused))
}

fn call_request(
    address: SocketAddr,
    request: &ServiceRequest,
) -> Result<Request<web::WebBody>, ClientError> {
    let mut builder = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{address}{}", request.path));
    if let Some(key) = &request.key {
        builder = builder.header(IDEMPOTENCY_KEY_HEADER, key);
    }
    builder = builder.header(CUSTOMER_HEADER, request.customer.as_str());
    if let Some(content_type) = &request.content_type {
        builder = builder.header(header::CONTENT_TYPE, content_type);
    }
    builder
        .body(full_body(request.body.clone()))
        .map_err(|error| ClientError::Broken(address, error.to_string()))
}

fn lookup_request(
    address: SocketAddr,
    lookup: &LookupRequest,
) -> Result<Request<web::WebBody>, ClientError> {
    let key = percent_encode_key(&lookup.key);
    Request::builder()
        .method(Method::GET)
        .uri(format!("http://{address}/{}/{key}", lookup.path))
        .header(CUSTOMER_HEADER, lookup.customer.as_str())
        .body(full_body(Bytes::new()))
        .map_err(|error| ClientError::Broken(address, error.to_string()))
}

/// Percent-encodes the characters that are not allowed in a URI path. Slashes are kept, because keys
/// such as `B-14/2026-11` contain them.
fn percent_encode_key(key: &str) -> String {
    let mut escaped = String::with_capacity(key.len());
    for byte in key.bytes() {
        let is_allowed = byte.is_ascii_alphanumeric() || b"-._~/:@!$&'()*+,;=".contains(&byte);
        if is_allowed {
            escaped.push(char::from(byte));
            continue;
        }
        let _ = write!(escaped, "%{byte:02X}");
    }
    escaped
}

impl ServiceClient for HttpServiceClient {
    async fn call(
        &self,
        address: SocketAddr,
        request: &ServiceRequest,
        timeout: Duration,
    ) -> Result<ServiceResponse, ServiceError> {
        match tokio::time::timeout(timeout, self.exchange(address, request, timeout)).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(error)) if error.is_unsent() => Err(ServiceError::Unsent(error)),
            Ok(Err(error)) => Err(ServiceError::ResponseLost(error)),
            Err(_) => Err(ServiceError::ResponseLost(ClientError::TimedOut(address))),
        }
    }

    async fn lookup(
        &self,
        address: SocketAddr,
        lookup: &LookupRequest,
        timeout: Duration,
    ) -> Result<LookupBody, ClientError> {
        let http_request = lookup_request(address, lookup)?;
        let response = self
            .pooled_client
            .send(address, http_request, timeout)
            .await?;
        let status = response.status();
        if status != StatusCode::OK {
            let problem = format!("unexpected status {status} for a lookup");
            return Err(ClientError::Broken(address, problem));
        }
        let body = read_body(response.into_body(), MAX_RESPONSE_BYTES)
            .await
            .map_err(|error| ClientError::Broken(address, error.to_string()))?;
        parse_json(&body).map_err(|error| ClientError::InvalidResponse(address, error))
    }

    async fn load(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<ServiceLoad, ClientError> {
        let response: JsonResponse<ServiceLoad> = self
            .pooled_client
            .json(Method::GET, address, "/load", None::<&()>, timeout)
            .await?;
        Ok(response.value)
    }
}
