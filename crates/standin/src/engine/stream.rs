//! One stream: its generated tokens and the reader that they are sent to.

use std::time::{Duration, Instant};

use bytes::Bytes;
use tokio::sync::mpsc;
use web::body::channel_body;
use web::{WebResponse, text_response};
use wire::engine::{StreamEvent, StreamRequest};

/// Events buffered for a slow reader's connection; further ones stay in the stream.
const READER_BUFFER_EVENTS: usize = 64;

/// Vocabulary of the generated tokens.
const WORDS: [&str; 12] = [
    "the", "licence", "form", "needs", "a", "stall", "number", "and", "fee", "receipt", "from",
    "Sandaga",
];

/// Phase of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamPhase {
    /// Waiting for a batch slot.
    Waiting,
    /// Processing the prompt, with the number of remaining tokens.
    Prefill(u64),
    /// Generating one token per step.
    Decode,
    /// Completed or failed.
    Ended,
}

/// A stream. It outlives its connection for the linger time, so that it can be resumed.
#[derive(Debug)]
pub struct EngineStream {
    /// The request that started it.
    pub request: StreamRequest,
    /// Sequence number of its arrival; orders waiting streams of one priority.
    pub arrival: u64,
    /// Current phase.
    pub phase: StreamPhase,
    /// Number of prompt tokens, counted as words.
    pub prompt_tokens: u32,
    /// Prompt tokens found in the prefix cache or an imported KV cache, which skip prefill.
    pub cached_tokens: u32,
    tokens: Vec<String>,
    end: Option<StreamEvent>,
    next_event: usize,
    reader: Option<mpsc::Sender<Bytes>>,
    detached_since: Instant,
}

impl EngineStream {
    /// Creates a waiting stream without a reader.
    #[must_use]
    pub fn new(request: StreamRequest, arrival: u64, now: Instant) -> Self {
        let words = request.prompt.split_whitespace().count();
        let tokens = request.generated_tokens.clone();
        Self {
            arrival,
            phase: StreamPhase::Waiting,
            prompt_tokens: u32::try_from(words).unwrap_or(u32::MAX),
            cached_tokens: 0,
            next_event: tokens.len(),
            tokens,
            end: None,
            reader: None,
            detached_since: now,
            request,
        }
    }

    /// Responds with the events from token index `from` on; an earlier reader gets no more events.
    pub fn attach(&mut self, from: u32, now: Instant) -> WebResponse {
        if from as usize > self.tokens.len() {
            return text_response(http::StatusCode::NOT_FOUND, "no such token yet");
        }
        let (sender, body) = channel_body(READER_BUFFER_EVENTS);
        self.next_event = from as usize;
        self.reader = Some(sender);
        self.flush(now);
        http::Response::new(body)
    }

    /// Returns whether it has tokens to generate or a reader to send to.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        self.phase != StreamPhase::Ended || self.reader.is_some()
    }

    /// Returns whether it has had no reader for at least `linger`.
    #[must_use]
    pub fn is_abandoned(&self, linger: Duration, now: Instant) -> bool {
        self.reader.is_none() && now.duration_since(self.detached_since) >= linger
    }

    /// Returns whether tokens remain to be generated; otherwise the next step ends the stream.
    fn has_tokens_left(&self) -> bool {
        let count = u32::try_from(self.tokens.len()).unwrap_or(u32::MAX);
        count < self.request.max_tokens
    }

    /// Generates one token, and ends the stream after the last one.
    pub fn advance(&mut self) {
        if self.has_tokens_left() {
            let index = u32::try_from(self.tokens.len()).unwrap_or(u32::MAX);
            self.tokens.push(token_text(&self.request, index));
        }
        if !self.has_tokens_left() {
            self.finish(StreamEvent::Done {
                attempt: self.request.attempt.clone(),
                incarnation: self.request.incarnation,
                count: u32::try_from(self.tokens.len()).unwrap_or(u32::MAX),
                prompt_tokens: self.prompt_tokens,
                cached_tokens: self.cached_tokens,
                finish_reason: "length".to_owned(),
            });
        }
    }

    /// Ends the stream with an error, unless it has already ended.
    pub fn fail(&mut self, reason: &str) {
        if self.phase == StreamPhase::Ended {
            return;
        }
        self.finish(StreamEvent::Failed {
            attempt: self.request.attempt.clone(),
            reason: reason.to_owned(),
        });
    }

    fn finish(&mut self, event: StreamEvent) {
        self.phase = StreamPhase::Ended;
        self.end = Some(event);
    }

    /// Sends pending events until the reader's buffer is full.
    pub fn flush(&mut self, now: Instant) {
        let Some(reader) = self.reader.take() else {
            return;
        };
        self.detached_since = now;
        loop {
            let Some(event) = self.event_at(self.next_event) else {
                self.reader = Some(reader);
                break;
            };
            let last = self.next_event == self.tokens.len();
            match reader.try_send(encode_event(&event)) {
                Ok(()) if last => return,
                Ok(()) => self.next_event += 1,
                Err(mpsc::error::TrySendError::Full(_)) => {
                    self.reader = Some(reader);
                    return;
                }
                Err(mpsc::error::TrySendError::Closed(_)) => return,
            }
        }
        if self.reader.as_ref().is_some_and(mpsc::Sender::is_closed) {
            self.reader = None;
        }
    }

    fn event_at(&self, index: usize) -> Option<StreamEvent> {
        let Some(text) = self.tokens.get(index) else {
            return self.end.clone();
        };
        Some(StreamEvent::Token {
            attempt: self.request.attempt.clone(),
            incarnation: self.request.incarnation,
            index: u32::try_from(index).unwrap_or(u32::MAX),
            text: text.clone(),
        })
    }
}

/// Returns the token at an index; it depends only on prompt and seed, so every replica generates
/// the same.
fn token_text(request: &StreamRequest, index: u32) -> String {
    let mut state = request.seed ^ (u64::from(index) << 20);
    for byte in request.prompt.bytes() {
        state = state.rotate_left(5) ^ u64::from(byte);
        state = state.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    }
    let choice = usize::try_from(state >> 40).unwrap_or(0) % WORDS.len();
    format!("{} ", WORDS[choice])
}

fn encode_event(event: &StreamEvent) -> Bytes {
    let mut line = serde_json::to_vec(event).unwrap_or_default();
    line.push(b'\n');
    Bytes::from(line)
}
