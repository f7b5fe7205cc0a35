//! One stream, through an entry or straight from an engine, with the times of its tokens.

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
    /// Until the first token.
    pub first: Duration,
    /// Between two tokens on average.
    pub gap: Duration,
    /// Tokens.
    pub tokens: u32,
}

/// Opens a stream through an entry.
///
/// # Errors
///
/// When it is refused.
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

/// Opens a stream at the leading engine of a replica.
///
/// # Errors
///
/// When it is refused.
pub async fn open_engine_stream(
    stack: &TestStack,
    engine: &EngineState,
    attempt: &str,
    max_tokens: u32,
) -> eyre::Result<Response<Incoming>> {
    let assignment = engine.assignment.as_ref().ok_or_eyre("an idle engine")?;
    eyre::ensure!(assignment.rank == 0 && assignment.role == ReplicaRole::Both);
    let order = StreamRequest {
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
    let request = json_request(Method::POST, address, "/streams", Some(&order))?;
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

/// Reads a stream to its end; `marker` stands once in every token's line.
///
/// # Errors
///
/// When the connection breaks or not all tokens come.
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
        // An event is written whole, so that no marker is split between two frames.
        let text = String::from_utf8_lossy(&data);
        let found = u32::try_from(text.matches(marker).count())?;
        if found == 0 {
            continue;
        }
        tokens += found;
        last = Instant::now();
        first.get_or_insert(last);
    }
    eyre::ensure!(tokens == max_tokens, "{tokens} of {max_tokens} tokens");
    let first = first.ok_or_eyre("no token")?;
    Ok(StreamTimes {
        first: first.duration_since(started),
        gap: last.duration_since(first) / (tokens - 1).max(1),
        tokens,
    })
}
