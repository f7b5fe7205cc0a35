//! Calls to a system's entries as the example customer.

use std::time::Instant;

use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use serde_json::{Value, json};
use web::body::full_body;
use web::{ClientError, read_body};

use super::{POLL_INTERVAL, TestStack, WAIT_TIMEOUT};

const MAX_BODY_BYTES: usize = 16 << 20;

/// Bearer token of the example customer.
pub const CUSTOMER_KEY: &str = "ndiaye-sandaga-desk";

/// A response with its complete body.
#[derive(Debug)]
pub struct CallerResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Value of the `retry-after` header, if present.
    pub retry_after: Option<String>,
    /// Raw body.
    pub body: Vec<u8>,
}

impl CallerResponse {
    /// Parses the body as JSON; null if it is not valid JSON.
    #[must_use]
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    /// Returns the body as text; invalid UTF-8 is replaced.
    #[must_use]
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

impl TestStack {
    /// Sends a request to an entry as the example customer, and returns once the response headers
    /// have arrived.
    ///
    /// # Errors
    ///
    /// Returns a [`ClientError`] if there is no response, for example because the entry crashed.
    pub async fn open(
        &self,
        entry: usize,
        path: &str,
        headers: &[(&str, &str)],
        body: &Value,
    ) -> Result<http::Response<Incoming>, ClientError> {
        let address = self.entries[entry].address;
        let mut builder = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{address}{path}"))
            .header(
                "authorization",
                format!("Bearer {}", self.callers.customers[0].key),
            );
        for (name, value) in headers {
            builder = builder.header(*name, *value);
        }
        let request = builder
            .body(full_body(body.to_string()))
            .expect("valid request");
        self.client.send(address, request, WAIT_TIMEOUT).await
    }

    /// Calls an entry as the example customer and reads the complete response.
    ///
    /// # Errors
    ///
    /// Returns a [`ClientError`] if the response is missing or incomplete.
    pub async fn try_call(
        &self,
        entry: usize,
        path: &str,
        headers: &[(&str, &str)],
        body: &Value,
    ) -> Result<CallerResponse, ClientError> {
        let response = self.open(entry, path, headers, body).await?;
        let status = response.status();
        let retry_after = response
            .headers()
            .get("retry-after")
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned);
        let address = self.entries[entry].address;
        let body = read_body(response.into_body(), MAX_BODY_BYTES)
            .await
            .map_err(|error| ClientError::InvalidResponse(address, error))?;
        Ok(CallerResponse {
            status,
            retry_after,
            body: body.to_vec(),
        })
    }

    /// Calls an entry as the example customer; panics without a complete response.
    pub async fn call(
        &self,
        entry: usize,
        path: &str,
        headers: &[(&str, &str)],
        body: &Value,
    ) -> CallerResponse {
        self.try_call(entry, path, headers, body)
            .await
            .unwrap_or_else(|error| panic!("{path}: {error}"))
    }

    /// Requests a completion from an entry without streaming.
    pub async fn complete(&self, entry: usize, prompt: &str, max_tokens: u32) -> CallerResponse {
        let body =
            json!({ "model": self.callers.model, "prompt": prompt, "max_tokens": max_tokens });
        self.call(entry, "/v1/completions", &[], &body).await
    }

    /// Waits until an entry completes a request of one token.
    pub async fn wait_until_serving(&self, entry: usize) {
        let started = Instant::now();
        loop {
            let response = self.complete(entry, "ready?", 1).await;
            if response.status == StatusCode::OK {
                return;
            }
            assert!(
                started.elapsed() < WAIT_TIMEOUT,
                "entry {entry} is not serving: {}",
                response.text()
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}
