//! Calling a system's entries as the example customer.

use std::time::Instant;

use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use serde_json::{Value, json};
use web::body::full_body;
use web::{ClientError, read_body};

use super::{POLL_INTERVAL, TestStack, WAIT_TIMEOUT};

const MAX_BODY_BYTES: usize = 16 << 20;

/// Bearer key of the example customer.
pub const CUSTOMER_KEY: &str = "ndiaye-sandaga-desk";

/// An answer read whole.
#[derive(Debug)]
pub struct CallerResponse {
    /// Its status.
    pub status: StatusCode,
    /// When to come back.
    pub retry_after: Option<String>,
    /// Its body.
    pub body: Vec<u8>,
}

impl CallerResponse {
    /// The body as JSON; null when it is none.
    #[must_use]
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    /// The body as text.
    #[must_use]
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

impl TestStack {
    /// Sends a call to an entry as the example customer; the answer's body is still streaming.
    ///
    /// # Errors
    ///
    /// [`ClientError`] when there is no answer, as from an entry that dies.
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
            .expect("a request");
        self.client.send(address, request, WAIT_TIMEOUT).await
    }

    /// Calls an entry as the example customer and reads the whole answer.
    ///
    /// # Errors
    ///
    /// [`ClientError`] when there is no whole answer.
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

    /// Calls an entry as the example customer; the answer must come whole.
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

    /// Asks an entry for a completion, not streamed.
    pub async fn complete(&self, entry: usize, prompt: &str, max_tokens: u32) -> CallerResponse {
        let body =
            json!({ "model": self.callers.model, "prompt": prompt, "max_tokens": max_tokens });
        self.call(entry, "/v1/completions", &[], &body).await
    }

    /// Waits until an entry answers completions.
    pub async fn wait_until_serving(&self, entry: usize) {
        let started = Instant::now();
        loop {
            let response = self.complete(entry, "ready?", 1).await;
            if response.status == StatusCode::OK {
                return;
            }
            assert!(
                started.elapsed() < WAIT_TIMEOUT,
                "entry {entry} serves not: {}",
                response.text()
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}
