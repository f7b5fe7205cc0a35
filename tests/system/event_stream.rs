//! Reading a streamed answer event by event, as a caller does.

use bytes::BytesMut;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::{Value, json};
use standin::stack::TestStack;

/// One event.
#[derive(Debug, Clone)]
pub struct CallerEvent {
    /// Its name; none for a piece of the answer.
    pub name: Option<String>,
    /// Its id.
    pub id: Option<String>,
    /// Its data.
    pub data: String,
}

/// A streamed answer.
pub struct EventStream {
    body: Incoming,
    buffer: BytesMut,
    /// Text so far.
    pub text: String,
    /// Id of the newest event.
    pub last_id: String,
    /// Name of the closing event, `[DONE]`, or nothing while there is none.
    pub closing: String,
}

/// A question whose answer has `max_tokens` tokens, the same for the same seed.
pub fn question(seed: u64, max_tokens: u32) -> Value {
    json!({
        "model": "trader-help", "stream": true, "max_tokens": max_tokens, "seed": seed,
        "prompt": format!("Which form renews the licence of stall {seed}?"),
    })
}

/// Opens a streamed completion at an entry.
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
    let answer = stack
        .open(entry, "/v1/completions", &headers, body)
        .await
        .unwrap_or_else(|error| panic!("no stream: {error}"));
    let status = answer.status();
    let mut stream = EventStream {
        body: answer.into_body(),
        buffer: BytesMut::new(),
        text: String::new(),
        last_id: String::new(),
        closing: String::new(),
    };
    if status != StatusCode::OK {
        while stream.fill().await {}
        let text = String::from_utf8_lossy(&stream.buffer).into_owned();
        panic!("status {status}: {text}");
    }
    stream
}

impl EventStream {
    async fn fill(&mut self) -> bool {
        let Some(Ok(frame)) = self.body.frame().await else {
            return false;
        };
        if let Some(data) = frame.data_ref() {
            self.buffer.extend_from_slice(data);
        }
        true
    }

    /// The next event; none when the connection ended.
    pub async fn next(&mut self) -> Option<CallerEvent> {
        loop {
            let end = self.buffer.windows(2).position(|pair| pair == b"\n\n");
            if let Some(end) = end {
                let block = self.buffer.split_to(end + 2);
                return Some(self.take(&String::from_utf8_lossy(&block)));
            }
            if !self.fill().await {
                return None;
            }
        }
    }

    fn take(&mut self, block: &str) -> CallerEvent {
        let field = |name: &str| {
            let prefix = format!("{name}: ");
            let line = block.lines().find_map(|line| line.strip_prefix(&prefix));
            line.map(str::to_owned)
        };
        let event = CallerEvent {
            name: field("event"),
            id: field("id"),
            data: field("data").unwrap_or_default(),
        };
        if let Some(id) = &event.id {
            self.last_id.clone_from(id);
        }
        if let Some(name) = &event.name {
            self.closing.clone_from(name);
        } else if event.data == "[DONE]" {
            "[DONE]".clone_into(&mut self.closing);
        } else {
            let piece: Value = serde_json::from_str(&event.data).expect("JSON");
            if let Some(text) = piece["choices"][0]["text"].as_str() {
                self.text.push_str(text);
            }
        }
        event
    }

    /// Reads until the text has so many words, or the stream ends.
    pub async fn read_words(&mut self, count: usize) {
        while self.text.split_whitespace().count() < count {
            if self.next().await.is_none() {
                return;
            }
        }
    }

    /// Reads to the end of the connection.
    pub async fn read_all(&mut self) {
        while self.next().await.is_some() {}
    }
}

/// The text that an undisturbed system gives for a question.
pub async fn undisturbed_text(stack: &TestStack, entry: usize, body: &Value) -> String {
    let mut stream = open_stream(stack, entry, body, None).await;
    stream.read_all().await;
    assert_eq!(stream.closing, "[DONE]");
    stream.text
}
