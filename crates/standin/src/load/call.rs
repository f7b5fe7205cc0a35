//! Sending one request and classifying its response.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::{Buf, BytesMut};
use http::{Method, Request, Response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::{Value, json};
use web::body::full_body;
use web::{ClientError, WebBody, WebClient, read_body};
use wire::client_api::{ErrorBody, ErrorDetail, ExecutionState};
use wire::service::IDEMPOTENCY_KEY_HEADER;

use super::plan::{LoadPlan, LoadRequest, RequestKind};
use crate::deployment::CallerConfig;

/// Timeout for the response headers.
const RESPONSE_TIMEOUT: Duration = Duration::from_mins(1);

/// Timeout between two frames of a response body.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// Outcome of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadOutcome {
    /// Name of the customer that sent it.
    pub customer: String,
    /// Result, by the kind of the request.
    pub result: LoadResult,
}

/// Result of a chat or of a non-repeatable call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LoadResult {
    /// Result of a streamed chat.
    Chat {
        /// How it ended.
        status: ChatStatus,
        /// Time from when the request was due until the first token; `None` without a token.
        first_token: Option<Duration>,
        /// Times between consecutive tokens.
        token_gaps: Vec<Duration>,
        /// Why it was refused or failed, as far as the client learned.
        problem: Option<String>,
    },
    /// Result of a non-repeatable call.
    Payment {
        /// Idempotency key that it was sent with.
        key: String,
        /// Execution state that the response reported.
        reported: ReportedExecution,
        /// Time from when the request was due until the response.
        time: Duration,
    },
}

/// How a chat ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChatStatus {
    /// It completed with the requested number of tokens.
    Completed,
    /// It was refused without being executed.
    Refused,
    /// It ended with an explicit error.
    Failed,
    /// It ended without an error but incomplete, or with another number of tokens. This must never
    /// happen.
    Truncated,
}

/// What a response reported about the execution of a non-repeatable call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportedExecution {
    /// The call was executed.
    Ran,
    /// The call was not executed, or not even sent.
    NotRun,
    /// Unknown, or there was no response.
    Unknown,
}

/// Sends the requests of a load.
#[derive(Debug)]
pub struct LoadCaller {
    client: WebClient,
    entries: Vec<SocketAddr>,
    callers: CallerConfig,
    key_prefix: String,
}

impl LoadCaller {
    /// Creates a caller for the entries of a plan.
    ///
    /// # Errors
    ///
    /// Returns an error if the example is malformed.
    pub fn new(plan: LoadPlan) -> eyre::Result<Self> {
        let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH)?;
        Ok(Self {
            client: WebClient::default(),
            callers: plan.deployment.callers()?,
            entries: plan.entries,
            key_prefix: format!("load-{}-{}", plan.seed, since_epoch.as_millis()),
        })
    }

    /// Sends a request and waits until its response ends. Times are measured from `due`, so that a
    /// late start of the request counts as latency.
    pub async fn send(&self, request: &LoadRequest, due: Instant) -> LoadOutcome {
        let result = match &request.kind {
            RequestKind::Chat { prompt, max_tokens } => {
                self.chat(request, prompt, *max_tokens, due).await
            }
            RequestKind::Payment { body } => self.pay(request, body, due).await,
        };
        LoadOutcome {
            customer: request.customer.name.clone(),
            result,
        }
    }

    async fn open(
        &self,
        request: &LoadRequest,
        path: &str,
        key: Option<&str>,
        body: &Value,
    ) -> Result<Response<Incoming>, ClientError> {
        let mut last_error = None;
        for offset in 0..self.entries.len() {
            let entry = self.entries[(request.entry + offset) % self.entries.len()];
            let head = caller_request(entry, path, &request.customer.key, key, body)?;
            match self.client.send(entry, head, RESPONSE_TIMEOUT).await {
                // A load balancer also tries another host if a connection fails.
                Err(error) if error.is_unsent() => last_error = Some(error),
                result => return result,
            }
        }
        Err(last_error.unwrap_or_else(|| ClientError::NotConnected(self.entries[0])))
    }

    async fn chat(
        &self,
        request: &LoadRequest,
        prompt: &str,
        max_tokens: u32,
        due: Instant,
    ) -> LoadResult {
        let body = json!({
            "model": self.callers.model, "stream": true, "max_tokens": max_tokens,
            "messages": [{ "role": "user", "content": prompt }],
        });
        let without_tokens = |status, problem: String| LoadResult::Chat {
            status,
            first_token: None,
            token_gaps: Vec::new(),
            problem: Some(problem),
        };
        let response = match self
            .open(request, "/v1/chat/completions", None, &body)
            .await
        {
            Ok(response) => response,
            Err(error) => {
                let status = if error.is_unsent() {
                    ChatStatus::Refused
                } else {
                    ChatStatus::Failed
                };
                return without_tokens(status, error.to_string());
            }
        };
        if response.status().is_success() {
            return read_chat(response.into_body(), max_tokens, due).await;
        }
        match read_error(response.into_body()).await {
            Some(error) if error.execution == ExecutionState::NotRun => {
                without_tokens(ChatStatus::Refused, error.message)
            }
            Some(error) => without_tokens(ChatStatus::Failed, error.message),
            None => without_tokens(ChatStatus::Failed, "a response without an error".to_owned()),
        }
    }

    async fn pay(&self, request: &LoadRequest, body: &Value, due: Instant) -> LoadResult {
        let key = format!("{}-{}", self.key_prefix, request.number);
        let path = self.callers.non_repeatable_path();
        let reported = match self.open(request, &path, Some(&key), body).await {
            Ok(response) if response.status().is_success() => ReportedExecution::Ran,
            Ok(response) => match read_error(response.into_body())
                .await
                .map(|error| error.execution)
            {
                Some(ExecutionState::Ran) => ReportedExecution::Ran,
                Some(ExecutionState::NotRun) => ReportedExecution::NotRun,
                Some(ExecutionState::Unknown) | None => ReportedExecution::Unknown,
            },
            Err(error) if error.is_unsent() => ReportedExecution::NotRun,
            Err(_) => ReportedExecution::Unknown,
        };
        LoadResult::Payment {
            key,
            reported,
            time: due.elapsed(),
        }
    }
}

fn caller_request(
    entry: SocketAddr,
    path: &str,
    customer_key: &str,
    key: Option<&str>,
    body: &Value,
) -> Result<Request<WebBody>, ClientError> {
    let mut builder = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{entry}{path}"))
        .header("authorization", format!("Bearer {customer_key}"))
        .header("content-type", "application/json");
    if let Some(key) = key {
        builder = builder.header(IDEMPOTENCY_KEY_HEADER, key);
    }
    builder
        .body(full_body(body.to_string()))
        .map_err(|error| ClientError::Broken(entry, error.to_string()))
}

async fn read_error(body: Incoming) -> Option<ErrorDetail> {
    let bytes = read_body(body, MAX_RESPONSE_BYTES).await.ok()?;
    let error: ErrorBody = serde_json::from_slice(&bytes).ok()?;
    Some(error.error)
}

/// Reads the events of a chat until the stream ends.
async fn read_chat(mut body: Incoming, max_tokens: u32, due: Instant) -> LoadResult {
    let mut buffer = BytesMut::new();
    let mut first = None;
    let mut gaps = Vec::new();
    let mut last = due;
    let mut status = ChatStatus::Truncated;
    let mut problem = None;
    while let Ok(Some(Ok(frame))) = tokio::time::timeout(IDLE_TIMEOUT, body.frame()).await {
        let Ok(data) = frame.into_data() else {
            continue;
        };
        buffer.extend_from_slice(&data);
        while let Some(length) = buffer.iter().position(|byte| *byte == b'\n') {
            let line = buffer.split_to(length);
            buffer.advance(1);
            match parse_chat_line(&line) {
                ChatLine::Token => {
                    let now = Instant::now();
                    if first.is_none() {
                        first = Some(now.duration_since(due));
                    } else {
                        gaps.push(now.duration_since(last));
                    }
                    last = now;
                }
                ChatLine::Done => status = ChatStatus::Completed,
                ChatLine::Error => status = ChatStatus::Failed,
                ChatLine::Other if status == ChatStatus::Failed => {
                    problem = problem.or(Some(String::from_utf8_lossy(&line).into_owned()));
                }
                ChatLine::Other => {}
            }
        }
    }
    let tokens = gaps.len() + usize::from(first.is_some());
    if status == ChatStatus::Completed && tokens != max_tokens as usize {
        status = ChatStatus::Truncated;
    }
    LoadResult::Chat {
        status,
        first_token: first,
        token_gaps: gaps,
        problem,
    }
}

enum ChatLine {
    Token,
    Done,
    Error,
    Other,
}

fn parse_chat_line(line: &[u8]) -> ChatLine {
    if line == b"data: [DONE]" {
        return ChatLine::Done;
    }
    if line == b"event: error" {
        return ChatLine::Error;
    }
    let Some(json) = line.strip_prefix(b"data: ") else {
        return ChatLine::Other;
    };
    let event: Value = serde_json::from_slice(json).unwrap_or_default();
    let content = &event["choices"][0]["delta"]["content"];
    if content.as_str().is_some_and(|text| !text.is_empty()) {
        ChatLine::Token
    } else {
        ChatLine::Other
    }
}
