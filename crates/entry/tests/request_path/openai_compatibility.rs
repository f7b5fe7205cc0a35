//! Compatibility of responses with existing `OpenAI` clients.

use http::StatusCode;
use serde_json::{Value, json};

use crate::fake_engine::response_text;
use crate::fake_entry::FakeEntry;

const CHAT: &str = "/v1/chat/completions";
const TEXT: &str = "/v1/completions";

fn chat(stream: bool) -> String {
    json!({
        "model": "help:wolof", "stream": stream, "max_tokens": 3, "temperature": 0.2,
        "stream_options": { "include_usage": true, "unknown": 1 }, "tools": [],
        "messages": [
            { "role": "system", "content": "Be brief.", "name": "dispatcher" },
            { "role": "user", "content": [{ "type": "text", "text": "Which form?" }] },
        ],
    })
    .to_string()
}

fn chunks(data: &[String]) -> Vec<Value> {
    data.iter()
        .filter(|text| *text != "[DONE]")
        .map(|text| serde_json::from_str(text).expect("JSON"))
        .collect()
}

#[tokio::test]
async fn complete_chat() {
    let entry = FakeEntry::new();
    let response = entry.post(CHAT, &[], &chat(false)).await;
    assert_eq!(response.status, StatusCode::OK, "{}", response.text);
    let body = response.json();
    assert_eq!(body["object"], "chat.completion");
    let choice = &body["choices"][0];
    assert_eq!(choice["message"]["role"], "assistant");
    assert_eq!(choice["message"]["content"], response_text(3));
    assert_eq!(choice["finish_reason"], "length");
    let usage = json!({ "prompt_tokens": 5, "completion_tokens": 3, "total_tokens": 8 });
    assert_eq!(body["usage"], usage);
    let (_, request) = entry.engine.requests().remove(0);
    assert_eq!(request.prompt, "system: Be brief.\nuser: Which form?");
    assert_eq!(request.adapter.expect("one").as_str(), "wolof");
}

#[tokio::test]
async fn streamed_chat() {
    let entry = FakeEntry::new();
    let response = entry.post(CHAT, &[], &chat(true)).await;
    let data = response.data();
    assert_eq!(data.last().map(String::as_str), Some("[DONE]"));
    let chunks = chunks(&data);
    assert_eq!(chunks.len(), 1 + 3 + 1 + 1, "{}", response.text);
    let opening = &chunks[0]["choices"][0]["delta"];
    assert_eq!(*opening, json!({ "role": "assistant", "content": "" }));
    let mut text = String::new();
    for chunk in &chunks[1..4] {
        assert_eq!(chunk["object"], "chat.completion.chunk");
        assert_eq!(chunk["id"], chunks[0]["id"]);
        assert_eq!(chunk["created"], chunks[0]["created"]);
        assert!(chunk["choices"][0]["finish_reason"].is_null());
        text.push_str(
            chunk["choices"][0]["delta"]["content"]
                .as_str()
                .expect("text"),
        );
    }
    assert_eq!(text, response_text(3));
    assert_eq!(chunks[4]["choices"][0]["finish_reason"], "length");
    assert_eq!(chunks[5]["choices"], json!([]));
    assert_eq!(chunks[5]["usage"]["completion_tokens"], 3);
    let ids = response
        .text
        .lines()
        .filter(|line| line.starts_with("id: "));
    assert_eq!(ids.count(), data.len(), "an id on every event");
}

#[tokio::test]
async fn streamed_text_completion() {
    let entry = FakeEntry::new();
    let body = json!({ "model": "help", "prompt": ["Which?"], "stream": true, "max_tokens": 2 });
    let response = entry.post(TEXT, &[], &body.to_string()).await;
    let chunks = chunks(&response.data());
    assert_eq!(chunks.len(), 3, "no usage unless it is asked for");
    let texts: Vec<&str> = chunks
        .iter()
        .map(|chunk| chunk["choices"][0]["text"].as_str().expect("text"))
        .collect();
    assert_eq!(texts, ["w0 ", "w1 ", ""]);
    assert_eq!(chunks[0]["object"], "text_completion");
}

#[tokio::test]
async fn model_list() {
    let entry = FakeEntry::new();
    let get = |path: &str| {
        http::Request::builder()
            .uri(path)
            .header("authorization", "bearer traders-key")
            .body(http_body_util::Full::default())
            .expect("a request")
    };
    let listed = entry.send(get("/v1/models")).await.json();
    assert_eq!(listed["data"][0]["id"], "help");
    assert_eq!(listed["data"][1]["id"], "help:wolof");
    assert_eq!(listed["data"].as_array().map(Vec::len), Some(2));
    let one = entry.send(get("/v1/models/help")).await;
    assert_eq!(one.json()["object"], "model");
    let none = entry.send(get("/v1/models/secret")).await;
    assert_eq!(none.status, StatusCode::NOT_FOUND);
}

/// Requests without a seed get one derived from their id, so that attempts of the same request
/// generate the same text and other requests do not.
#[tokio::test]
async fn seed_per_request() {
    let entry = FakeEntry::new();
    let body = json!({ "model": "help", "prompt": "p", "max_tokens": 1 }).to_string();
    for _ in 0..2 {
        entry.post(TEXT, &[], &body).await;
    }
    let seeds: Vec<u64> = entry
        .engine
        .requests()
        .iter()
        .map(|(_, request)| request.seed)
        .collect();
    assert_ne!(seeds[0], seeds[1], "each request has a seed of its own");
}
