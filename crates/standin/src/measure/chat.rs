//! Streams through an entry or directly from an engine, with the times of their tokens.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use domain::replica::ReplicaRole;
use eyre::{OptionExt, bail};
use http::{Method, Request, Response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::json;
use web::body::full_body;
use web::client::json_request;
use wire::engine::{EngineState, StreamRequest};

use crate::stack::{CUSTOMER_KEY, TestStack, WAIT_TIMEOUT};

const PROMPT: &str = "Which form renews a licence for a stall of four metres at Sandaga?";

/// Times of one stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamTimes {
    /// Time to first token.
    pub first: Duration,
    /// Mean time between two tokens.
    pub gap: Duration,
    /// Number of tokens received.
    pub tokens: u32,
}

/// Opens a completion stream through an entry.
///
/// # Errors
///
/// Returns an error if the request fails or is refused.
pub async fn open_entry_stream(
    stack: &TestStack,
    entry: SocketAddr,
    max_tokens: u32,
) -> eyre::Result<Response<Incoming>> {
    let body = json!({
        "model": "trader-help", "prompt": PROMPT, "max_tokens": max_tokens, "stream": true,
    });
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{entry}/v1/completions"))
        .header("authorization", format!("Bearer {CUSTOMER_KEY}"))
        .body(full_body(body.to_string()))?;
    ensure_success(stack.client.send(entry, request, WAIT_TIMEOUT).await?).await
}

/// Opens a stream directly at the rank 0 engine of a replica.
///
/// # Errors
///
/// Returns an error if the engine is idle or not rank 0, or if the request fails or is refused.
pub async fn open_engine_stream(
    stack: &TestStack,
    engine: &EngineState,
    attempt: &str,
    max_tokens: u32,
) -> eyre::Result<Response<Incoming>> {
    let assignment = engine
        .assignment
        .as_ref()
        .ok_or_eyre("the engine has no assignment")?;
    eyre::ensure!(assignment.rank == 0 && assignment.role == ReplicaRole::Both);
    let stream_request = StreamRequest {
        attempt: attempt.parse()?,
        replica: assignment.replica.clone(),
        incarnation: assignment.incarnation,
        model: assignment.model.clone(),
        adapter: None,
        prompt: PROMPT.to_owned(),
        max_tokens,
        seed: 0,
        priority: 0,
        generated_tokens: Vec::new(),
    };
    let address = assignment.hosts[0].address;
    let request = json_request(Method::POST, address, "/streams", Some(&stream_request))?;
    ensure_success(stack.client.send(address, request, WAIT_TIMEOUT).await?).await
}

async fn ensure_success(response: Response<Incoming>) -> eyre::Result<Response<Incoming>> {
    let status = response.status();
    if status.is_success() {
        return Ok(response);
    }
    let body = response.into_body().collect().await?.to_bytes();
    bail!("{status}: {}", String::from_utf8_lossy(&body))
}

/// Reads a stream to its end; `marker` occurs exactly once in the event of every token.
///
/// # Errors
///
/// Returns an error if the connection fails or not exactly `max_tokens` tokens arrive.
pub async fn read_stream_times(
    response: Response<Incoming>,
    marker: &str,
    max_tokens: u32,
    started: Instant,
) -> eyre::Result<StreamTimes> {
    let mut body = response.into_body();
    let mut tokens = 0;
    let mut first = None;
    let mut last = started;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        // Events are written as a whole, so a marker is never split between two frames.
        let text = String::from_utf8_lossy(&data);
        let found = u32::try_from(text.matches(marker).count())?;
        if found == 0 {
            continue;
        }
        tokens += found;
        last = Instant::now();
        first.get_or_insert(last);
    }
    eyre::ensure!(
        tokens == max_tokens,
        "received {tokens} of {max_tokens} tokens"
    );
    let first = first.ok_or_eyre("received no token")?;
    Ok(StreamTimes {
        first: first.duration_since(started),
        gap: last.duration_since(first) / (tokens - 1).max(1),
        tokens,
    })
}
