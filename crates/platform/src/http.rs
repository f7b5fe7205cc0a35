//! HTTP clients of the platform's services.

use std::net::SocketAddr;
use std::time::Duration;

use ::http::{HeaderValue, Method, Request, StatusCode, header};
use bytes::Bytes;
use domain::RowVersion;
use web::body::full_body;
use web::client::json_request;
use web::{ClientError, WebClient, parse_json, read_body, retry_after};
use wire::hostlist::HostListBody;
use wire::table::{BatchCommitted, BatchConflict, BatchRequest, ScanPage, WRITE_TOKEN_HEADER};

use crate::error::StoreError;
use crate::hostlist::{HostEntry, HostListSource, HostListing};
use crate::objects::ObjectStore;
use crate::table::{CommitOutcome, RowConflict, RowRead, TableRow, TableStore, WriteBatch};

/// Number of rows per page of a scan.
const SCAN_PAGE_ROWS: usize = 1_000;

/// Delay before the next try when a 429 response has no `Retry-After` header.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Maximum size of a response body, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Address and timeout of a service of the platform.
#[derive(Debug, Clone)]
pub struct ServiceEndpoint {
    client: WebClient,
    address: SocketAddr,
    timeout: Duration,
}

impl ServiceEndpoint {
    /// Creates an endpoint; `timeout` covers a whole call, including the response body.
    #[must_use]
    pub fn new(client: WebClient, address: SocketAddr, timeout: Duration) -> Self {
        Self {
            client,
            address,
            timeout,
        }
    }

    async fn send(
        &self,
        request: Request<web::WebBody>,
    ) -> Result<::http::Response<Bytes>, StoreError> {
        let call = async {
            let response = self
                .client
                .send(self.address, request, self.timeout)
                .await?;
            let (head, body) = response.into_parts();
            let bytes = read_body(body, MAX_BODY_BYTES)
                .await
                .map_err(|error| ClientError::Broken(self.address, error.to_string()))?;
            Ok::<_, ClientError>(::http::Response::from_parts(head, bytes))
        };
        match tokio::time::timeout(self.timeout, call).await {
            Ok(Ok(response)) => check_status(response),
            Ok(Err(error)) => Err(StoreError::from(error)),
            Err(_) => Err(StoreError::from(ClientError::TimedOut(self.address))),
        }
    }

    async fn get_json<A: serde::de::DeserializeOwned>(&self, path: &str) -> Result<A, StoreError> {
        let request = json_request(Method::GET, self.address, path, NO_BODY)?;
        let response = self.send(request).await?;
        match response.status() {
            StatusCode::OK => parse_body(response.body()),
            status => Err(StoreError::Malformed(format!(
                "unexpected status {status} of a read"
            ))),
        }
    }
}

/// A missing body, with a type that can be serialized.
const NO_BODY: Option<&()> = None;

/// Turns the statuses that any request may get into errors.
fn check_status(response: ::http::Response<Bytes>) -> Result<::http::Response<Bytes>, StoreError> {
    match response.status() {
        StatusCode::SERVICE_UNAVAILABLE => Err(StoreError::Unavailable(
            "the service responded with 503 Service Unavailable".to_owned(),
        )),
        StatusCode::TOO_MANY_REQUESTS => {
            let retry_after = retry_after(response.headers()).unwrap_or(DEFAULT_RETRY_AFTER);
            Err(StoreError::Throttled { retry_after })
        }
        _ => Ok(response),
    }
}

impl From<ClientError> for StoreError {
    fn from(error: ClientError) -> Self {
        match error {
            ClientError::NotConnected(_) | ClientError::Refused(_) => {
                Self::Unavailable(error.to_string())
            }
            ClientError::TimedOut(_) | ClientError::Broken(..) | ClientError::NoAnswer(..) => {
                Self::ResponseLost(error.to_string())
            }
            ClientError::InvalidResponse(..) => Self::Malformed(error.to_string()),
        }
    }
}

/// Client of the table service. A row's version is its `ETag`.
#[derive(Debug, Clone)]
pub struct HttpTable {
    endpoint: ServiceEndpoint,
}

impl HttpTable {
    /// Creates a client of the service at `endpoint`.
    #[must_use]
    pub fn new(endpoint: ServiceEndpoint) -> Self {
        Self { endpoint }
    }
}

impl TableStore for HttpTable {
    async fn read(&self, key: &str, known: Option<RowVersion>) -> Result<RowRead, StoreError> {
        let path = format!("/rows/{key}");
        let mut request = json_request(Method::GET, self.endpoint.address, &path, NO_BODY)?;
        if let Some(version) = known
            && let Ok(value) = HeaderValue::from_str(&format!("\"{version}\""))
        {
            request.headers_mut().insert(header::IF_NONE_MATCH, value);
        }
        let response = self.endpoint.send(request).await?;
        match response.status() {
            StatusCode::NOT_FOUND => Ok(RowRead::Absent),
            StatusCode::NOT_MODIFIED => Ok(RowRead::Unchanged),
            StatusCode::OK => Ok(RowRead::Found(row_from_response(key, &response)?)),
            status => Err(StoreError::Malformed(format!(
                "unexpected status {status} of a read"
            ))),
        }
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<TableRow>, StoreError> {
        let mut rows: Vec<TableRow> = Vec::new();
        loop {
            let after = rows.last().map_or("", |row| row.key.as_str());
            let page = self.scan_page(prefix, after, SCAN_PAGE_ROWS).await?;
            let is_full = page.len() == SCAN_PAGE_ROWS;
            rows.extend(page);
            if !is_full {
                return Ok(rows);
            }
        }
    }

    async fn scan_page(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<TableRow>, StoreError> {
        let path = format!("/scan?prefix={prefix}&after={after}&limit={limit}");
        let page: ScanPage = self.endpoint.get_json(&path).await?;
        Ok(page.rows.into_iter().map(TableRow::from).collect())
    }

    async fn commit(&self, batch: &WriteBatch) -> Result<CommitOutcome, StoreError> {
        let body = BatchRequest::from(batch);
        let request = json_request(Method::POST, self.endpoint.address, "/batch", Some(&body))?;
        let response = self.endpoint.send(request).await?;
        match response.status() {
            StatusCode::OK => {
                let committed: BatchCommitted = parse_body(response.body())?;
                Ok(CommitOutcome::Committed(RowVersion(committed.version)))
            }
            StatusCode::PRECONDITION_FAILED => {
                let refused: BatchConflict = parse_body(response.body())?;
                Ok(CommitOutcome::Conflict(
                    refused
                        .conflicts
                        .into_iter()
                        .map(RowConflict::from)
                        .collect(),
                ))
            }
            status => Err(StoreError::Malformed(format!(
                "unexpected status {status} of a batch"
            ))),
        }
    }
}

fn parse_body<A: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<A, StoreError> {
    parse_json(bytes).map_err(|error| StoreError::Malformed(error.to_string()))
}

fn row_from_response(
    key: &str,
    response: &::http::Response<Bytes>,
) -> Result<TableRow, StoreError> {
    let version = response
        .headers()
        .get(header::ETAG)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.trim_matches('"').parse().ok())
        .ok_or_else(|| {
            StoreError::Malformed("the response to a row read has no ETag".to_owned())
        })?;
    let token = response
        .headers()
        .get(WRITE_TOKEN_HEADER)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default();
    Ok(TableRow {
        key: key.to_owned(),
        version: RowVersion(version),
        token: token.to_owned(),
        value: parse_body(response.body())?,
    })
}

/// Client of the object store. It sends `GET` and `PUT /objects/{key}`, the latter with
/// `If-None-Match: *`.
#[derive(Debug, Clone)]
pub struct HttpObjects {
    endpoint: ServiceEndpoint,
}

impl HttpObjects {
    /// Creates a client of the service at `endpoint`.
    #[must_use]
    pub fn new(endpoint: ServiceEndpoint) -> Self {
        Self { endpoint }
    }
}

impl ObjectStore for HttpObjects {
    async fn get(&self, key: &str) -> Result<Option<Bytes>, StoreError> {
        let path = format!("/objects/{key}");
        let request = json_request(Method::GET, self.endpoint.address, &path, NO_BODY)?;
        let response = self.endpoint.send(request).await?;
        match response.status() {
            StatusCode::NOT_FOUND => Ok(None),
            StatusCode::OK => Ok(Some(response.into_body())),
            status => Err(StoreError::Malformed(format!(
                "unexpected status {status} of a read"
            ))),
        }
    }

    async fn put_if_absent(&self, key: &str, bytes: Bytes) -> Result<bool, StoreError> {
        let path = format!("/objects/{key}");
        let mut request = json_request(Method::PUT, self.endpoint.address, &path, NO_BODY)?;
        *request.body_mut() = full_body(bytes);
        request
            .headers_mut()
            .insert(header::IF_NONE_MATCH, HeaderValue::from_static("*"));
        let response = self.endpoint.send(request).await?;
        match response.status() {
            StatusCode::OK | StatusCode::CREATED => Ok(true),
            StatusCode::PRECONDITION_FAILED => Ok(false),
            status => Err(StoreError::Malformed(format!(
                "unexpected status {status} of a write"
            ))),
        }
    }
}

/// Client of the host list. The list's revision is its `ETag`.
#[derive(Debug, Clone)]
pub struct HttpHostList {
    endpoint: ServiceEndpoint,
}

impl HttpHostList {
    /// Creates a client of the service at `endpoint`.
    #[must_use]
    pub fn new(endpoint: ServiceEndpoint) -> Self {
        Self { endpoint }
    }
}

impl HostListSource for HttpHostList {
    async fn list(&self) -> Result<HostListing, StoreError> {
        let body: HostListBody = self.endpoint.get_json("/hosts").await?;
        Ok(HostListing::from(body))
    }

    async fn list_if_changed(&self, known: Option<u64>) -> Result<Option<HostListing>, StoreError> {
        let mut request = json_request(Method::GET, self.endpoint.address, "/hosts", NO_BODY)?;
        if let Some(revision) = known
            && let Ok(value) = HeaderValue::from_str(&format!("\"{revision}\""))
        {
            request.headers_mut().insert(header::IF_NONE_MATCH, value);
        }
        let response = self.endpoint.send(request).await?;
        match response.status() {
            StatusCode::NOT_MODIFIED => Ok(None),
            StatusCode::OK => {
                let body: HostListBody = parse_body(response.body())?;
                Ok(Some(HostListing::from(body)))
            }
            status => Err(StoreError::Malformed(format!(
                "unexpected status {status} of a read"
            ))),
        }
    }
}

impl From<HostListBody> for HostListing {
    fn from(body: HostListBody) -> Self {
        let hosts = body
            .hosts
            .into_iter()
            .map(|host| HostEntry {
                host: host.host,
                address: host.address,
                fabric: host.fabric,
                domain: host.domain,
                region: host.region,
                leaving: host.leaving,
            })
            .collect();
        Self {
            revision: body.revision,
            hosts,
        }
    }
}
