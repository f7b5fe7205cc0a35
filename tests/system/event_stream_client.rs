//! Client that reads a streamed completion event by event.

use bytes::BytesMut;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::{Value, json};
use standin::stack::TestStack;

/// One server-sent event.
#[derive(Debug, Clone)]
pub struct ServerSentEvent {
    /// The `event` field; none for a chunk of the completion.
    pub name: Option<String>,
    /// The `id` field, with which the stream can be resumed.
    pub id: Option<String>,
    /// The `data` field; empty when absent.
    pub data: String,
}

/// A streamed completion.
pub struct EventStream {
    body: Incoming,
    buffer: BytesMut,
    /// Text received so far.
    pub text: String,
    /// Id of the last event; empty before the first one.
    pub last_id: String,
    /// Name of the last event that is no chunk, or `[DONE]`; empty before one was received.
    pub final_event: String,
}

/// Body of a streamed completion of `max_tokens` tokens; the text depends only on the seed.
pub fn completion_request(seed: u64, max_tokens: u32) -> Value {
    json!({
        "model": "trader-help", "stream": true, "max_tokens": max_tokens, "seed": seed,
        "prompt": format!("Which form renews the licence of stall {seed}?"),
    })
}

/// Opens a streamed completion at an entry node, or resumes one after `last_id`.
pub async fn open_stream(
    stack: &TestStack,
    entry: usize,
    body: &Value,
    last_id: Option<&str>,
) -> EventStream {
    let mut headers = Vec::new();
    if let Some(id) = last_id {
        headers.push(("last-event-id", id));
    }
    let response = stack
        .open(entry, "/v1/completions", &headers, body)
        .await
        .unwrap_or_else(|error| panic!("the stream does not open: {error}"));
    let status = response.status();
    let mut stream = EventStream {
        body: response.into_body(),
        buffer: BytesMut::new(),
        text: String::new(),
        last_id: String::new(),
        final_event: String::new(),
    };
    if status != StatusCode::OK {
        while stream.fill().await {}
        let text = String::from_utf8_lossy(&stream.buffer).into_owned();
        panic!("status {status}: {text}");
    }
    stream
}

impl EventStream {
    /// Reads one frame into the buffer; false at the end of the connection.
    async fn fill(&mut self) -> bool {
        let Some(Ok(frame)) = self.body.frame().await else {
            return false;
        };
        if let Some(data) = frame.data_ref() {
            self.buffer.extend_from_slice(data);
        }
        true
    }

    /// Reads the next event; none at the end of the connection.
    pub async fn next(&mut self) -> Option<ServerSentEvent> {
        loop {
            let end = self.buffer.windows(2).position(|pair| pair == b"\n\n");
            if let Some(end) = end {
                let block = self.buffer.split_to(end + 2);
                return Some(self.handle_event(&String::from_utf8_lossy(&block)));
            }
            if !self.fill().await {
                return None;
            }
        }
    }

    /// Parses an event and adds it to the state of the stream.
    fn handle_event(&mut self, block: &str) -> ServerSentEvent {
        let field = |name: &str| {
            let prefix = format!("{name}: ");
            let line = block.lines().find_map(|line| line.strip_prefix(&prefix));
            line.map(str::to_owned)
        };
        let event = ServerSentEvent {
            name: field("event"),
            id: field("id"),
            data: field("data").unwrap_or_default(),
        };
        if let Some(id) = &event.id {
            self.last_id.clone_from(id);
        }
        if let Some(name) = &event.name {
            self.final_event.clone_from(name);
        } else if event.data == "[DONE]" {
            "[DONE]".clone_into(&mut self.final_event);
        } else {
            let chunk: Value = serde_json::from_str(&event.data).expect("valid JSON");
            if let Some(text) = chunk["choices"][0]["text"].as_str() {
                self.text.push_str(text);
            }
        }
        event
    }

    /// Reads until the text has `count` words or the connection ends.
    pub async fn read_words(&mut self, count: usize) {
        while self.text.split_whitespace().count() < count {
            if self.next().await.is_none() {
                return;
            }
        }
    }

    /// Reads until the connection ends.
    pub async fn read_all(&mut self) {
        while self.next().await.is_some() {}
    }
}

/// The text of a complete stream, with which interrupted ones are compared.
pub async fn complete_text(stack: &TestStack, entry: usize, body: &Value) -> String {
    let mut stream = open_stream(stack, entry, body, None).await;
    stream.read_all().await;
    assert_eq!(stream.final_event, "[DONE]");
    stream.text
}
