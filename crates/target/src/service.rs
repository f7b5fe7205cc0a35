//! Client of plain services.

use std::fmt::Write;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use domain::CustomerId;
use http::{HeaderValue, Method, Request, StatusCode, header};
use web::body::full_body;
use web::client::JsonResponse;
use web::{ClientError, WebClient, parse_json, read_body};
use wire::service::{CUSTOMER_HEADER, IDEMPOTENCY_KEY_HEADER, LookupBody, ServiceLoad};

/// Largest answer of a service, in bytes; it is kept in the ledger's row.
pub const MAX_RESPONSE_BYTES: usize = 256 << 10;

/// A call.
#[derive(Debug, Clone)]
pub struct ServiceRequest {
    /// Path with its query, with a leading slash.
    pub path: String,
    /// Idempotency key, for calls that have one.
    pub key: Option<String>,
    /// Who calls, so that a service can tell apart the keys of two customers.
    pub customer: CustomerId,
    /// Content type of the body.
    pub content_type: Option<HeaderValue>,
    /// Body.
    pub body: Bytes,
}

/// A question whether a call ran.
#[derive(Debug, Clone)]
pub struct LookupRequest {
    /// Path of the look-up, without slashes at its ends.
    pub path: String,
    /// The idempotency key: visible ASCII.
    pub key: String,
    /// Whose key it is.
    pub customer: CustomerId,
}

/// Answer of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Content type.
    pub content_type: String,
    /// Body.
    pub body: Bytes,
}

/// Why a call brought no answer.
#[derive(Debug, thiserror::Error)]
pub enum ServiceError {
    /// No byte reached the service: it truly was not run.
    #[error("the service was not reached: {0}")]
    Unsent(ClientError),
    /// It may have been run.
    #[error("the service's answer is lost: {0}")]
    ResponseLost(ClientError),
}

/// Plain services, by address.
pub trait ServiceClient: Clone + Send + Sync + 'static {
    /// Sends a call once.
    ///
    /// # Errors
    ///
    /// [`ServiceError`].
    fn call(
        &self,
        address: SocketAddr,
        order: &ServiceRequest,
        timeout: Duration,
    ) -> impl Future<Output = Result<ServiceResponse, ServiceError>> + Send;

    /// Asks a service whether a call ran.
    ///
    /// # Errors
    ///
    /// [`ClientError`].
    fn lookup(
        &self,
        address: SocketAddr,
        lookup: &LookupRequest,
        timeout: Duration,
    ) -> impl Future<Output = Result<LookupBody, ClientError>> + Send;

    /// Asks a service for its load.
    ///
    /// # Errors
    ///
    /// [`ClientError`].
    fn load(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> impl Future<Output = Result<ServiceLoad, ClientError>> + Send;
}

/// Services over HTTP. Look-ups and load reports share a pool; calls never reuse a connection.
#[derive(Debug, Clone)]
pub struct HttpServiceClient {
    client: WebClient,
    caller: WebClient,
}

impl HttpServiceClient {
    /// A client that shares a connection pool.
    #[must_use]
    pub fn new(client: WebClient) -> Self {
        Self {
            client,
            caller: WebClient::unpooled(),
        }
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        order: &ServiceRequest,
        timeout: Duration,
    ) -> Result<ServiceResponse, ClientError> {
        let request = call_request(address, order)?;
        let answer = self.caller.send(address, request, timeout).await?;
        let status = answer.status();
        let content_type = answer
            .headers()
            .get(header::CONTENT_TYPE)
            .and_then(|value| value.to_str().ok())
            .unwrap_or("application/octet-stream")
            .to_owned();
        let body = read_body(answer.into_body(), MAX_RESPONSE_BYTES)
            .await
            .map_err(|error| ClientError::Broken(address, error.to_string()))?;
        Ok(ServiceResponse {
            status,
            content_type,
            body,
        })
    }
}

fn call_request(
    address: SocketAddr,
    order: &ServiceRequest,
) -> Result<Request<web::WebBody>, ClientError> {
    let mut builder = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{address}{}", order.path));
    if let Some(key) = &order.key {
        builder = builder.header(IDEMPOTENCY_KEY_HEADER, key);
    }
    builder = builder.header(CUSTOMER_HEADER, order.customer.as_str());
    if let Some(content_type) = &order.content_type {
        builder = builder.header(header::CONTENT_TYPE, content_type);
    }
    builder
        .body(full_body(order.body.clone()))
        .map_err(|error| ClientError::Broken(address, error.to_string()))
}

fn lookup_request(
    address: SocketAddr,
    lookup: &LookupRequest,
) -> Result<Request<web::WebBody>, ClientError> {
    let key = escape_key(&lookup.key);
    Request::builder()
        .method(Method::GET)
        .uri(format!("http://{address}/{}/{key}", lookup.path))
        .header(CUSTOMER_HEADER, lookup.customer.as_str())
        .body(full_body(Bytes::new()))
        .map_err(|error| ClientError::Broken(address, error.to_string()))
}

/// Escapes what may not stand in a URI's path; slashes stay, as keys such as `B-14/2026-11` read.
fn escape_key(key: &str) -> String {
    let mut escaped = String::with_capacity(key.len());
    for byte in key.bytes() {
        let plain = byte.is_ascii_alphanumeric() || b"-._~/:@!$&'()*+,;=".contains(&byte);
        if plain {
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
        order: &ServiceRequest,
        timeout: Duration,
    ) -> Result<ServiceResponse, ServiceError> {
        match tokio::time::timeout(timeout, self.exchange(address, order, timeout)).await {
            Ok(Ok(answer)) => Ok(answer),
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
        let request = lookup_request(address, lookup)?;
        let answer = self.client.send(address, request, timeout).await?;
        let status = answer.status();
        if status != StatusCode::OK {
            let problem = format!("status {status} to a look-up");
            return Err(ClientError::Broken(address, problem));
        }
        let body = read_body(answer.into_body(), MAX_RESPONSE_BYTES)
            .await
            .map_err(|error| ClientError::Broken(address, error.to_string()))?;
        parse_json(&body).map_err(|error| ClientError::InvalidResponse(address, error))
    }

    async fn load(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<ServiceLoad, ClientError> {
        let answer: JsonResponse<ServiceLoad> = self
            .client
            .json(Method::GET, address, "/load", None::<&()>, timeout)
            .await?;
        Ok(answer.value)
    }
}
