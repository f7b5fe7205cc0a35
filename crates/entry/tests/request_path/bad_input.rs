//! Requests that can't be used: each gets a 4xx with its place, and reaches no target.

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;

use crate::fake_entry::{FakeAnswer, FakeEntry, TRADERS_KEY, post};

const CHAT: &str = "/v1/chat/completions";
const TEXT: &str = "/v1/completions";
const PAY: &str = "/v1/services/licences/fees/pay";

fn assert_refused(answer: &FakeAnswer, status: StatusCode, code: &str, place: &str) {
    assert_eq!(answer.status, status, "{}", answer.text);
    assert_eq!(answer.error("code"), code, "{}", answer.text);
    assert_eq!(answer.error("param"), place, "{}", answer.text);
    assert_eq!(answer.error("execution"), "not_run", "{}", answer.text);
    assert!(!answer.error("message").is_empty(), "{}", answer.text);
    assert!(!answer.error("request").is_empty(), "{}", answer.text);
}

fn assert_untouched(entry: &FakeEntry) {
    assert!(entry.engine.orders().is_empty(), "an engine was asked");
    assert_eq!(entry.service.sends(), 0, "the service was called");
    assert_eq!(entry.table.commits(), 0, "a claim was written");
}

#[tokio::test]
async fn bad_bodies() {
    let entry = FakeEntry::new();
    let cases = [
        (TEXT, "{", "body"),
        (TEXT, "", "body"),
        (TEXT, "[1]", "[0]"),
        (TEXT, "7", "body"),
        (TEXT, r#"{"prompt": "p"}"#, "body"),
        (TEXT, r#"{"model": 7, "prompt": "p"}"#, "model"),
        (TEXT, r#"{"model": "help", "prompt": 7}"#, "prompt"),
        (TEXT, r#"{"model": "help", "prompt": []}"#, "prompt"),
        (TEXT, r#"{"model": "help", "prompt": ["a", "b"]}"#, "prompt"),
        (TEXT, r#"{"model": "help", "prompt": "p", "n": 2}"#, "n"),
        (
            TEXT,
            r#"{"model": "help", "prompt": "p", "max_tokens": 0}"#,
            "max_tokens",
        ),
        (
            TEXT,
            r#"{"model": "help", "prompt": "p", "max_tokens": 99999999}"#,
            "max_tokens",
        ),
        (
            TEXT,
            r#"{"model": "help", "prompt": "p", "max_tokens": -1}"#,
            "max_tokens",
        ),
        (
            TEXT,
            r#"{"model": "help", "prompt": "p", "stream": "yes"}"#,
            "stream",
        ),
        (CHAT, r#"{"model": "help", "messages": []}"#, "messages"),
        (
            CHAT,
            r#"{"model": "help", "messages": [{"role": 1}]}"#,
            "messages[0].role",
        ),
        (
            CHAT,
            r#"{"model": "help", "messages": [{"role": "user"}], "max_completion_tokens": 0}"#,
            "max_completion_tokens",
        ),
    ];
    for (path, body, place) in cases {
        let answer = entry.post(path, &[], body).await;
        assert_refused(&answer, StatusCode::BAD_REQUEST, "invalid_request", place);
    }
    assert_untouched(&entry);
}

#[tokio::test]
async fn too_large() {
    let entry = FakeEntry::new();
    let prompt = "x".repeat(5 << 20);
    let body = format!(r#"{{"model": "help", "prompt": "{prompt}"}}"#);
    for path in [TEXT, CHAT] {
        let answer = entry.post(path, &[], &body).await;
        let status = StatusCode::PAYLOAD_TOO_LARGE;
        assert_refused(&answer, status, "body_too_large", "body");
    }
    let answer = entry.post(PAY, &[("idempotency-key", "k")], &body).await;
    let status = StatusCode::PAYLOAD_TOO_LARGE;
    assert_refused(&answer, status, "body_too_large", "body");
    assert_untouched(&entry);
}

#[tokio::test]
async fn wrong_keys() {
    let entry = FakeEntry::new();
    let body = r#"{"model": "help", "prompt": "p"}"#;
    let place = "header Authorization";
    for key in ["", "stranger", "traders-key2"] {
        let answer = entry.send(post(key, TEXT, &[], body)).await;
        assert_refused(&answer, StatusCode::UNAUTHORIZED, "invalid_key", place);
        assert!(!answer.text.contains("stranger"), "{}", answer.text);
    }
    for scheme in ["Basic abc", "Bearer", "traders-key"] {
        let request = Request::builder()
            .method("POST")
            .uri(TEXT)
            .header("authorization", scheme)
            .body(Full::<Bytes>::from(body))
            .expect("a request");
        let answer = entry.send(request).await;
        assert_refused(&answer, StatusCode::UNAUTHORIZED, "invalid_key", place);
    }
    assert_untouched(&entry);
    for event in entry.recorder.recent() {
        let text = format!("{event:?}");
        assert!(!text.contains("stranger"), "a key in an event: {text}");
    }
}

#[tokio::test]
async fn wrong_names() {
    let entry = FakeEntry::new();
    let cases = [
        ("nothing", StatusCode::NOT_FOUND, "not_found"),
        ("secret", StatusCode::FORBIDDEN, "not_granted"),
        ("help:other", StatusCode::FORBIDDEN, "not_granted"),
    ];
    for (model, status, code) in cases {
        let body = format!(r#"{{"model": "{model}", "prompt": "p"}}"#);
        let answer = entry.post(TEXT, &[], &body).await;
        assert_refused(&answer, status, code, "model");
    }
    let paths = [
        ("/v1/nothing", StatusCode::NOT_FOUND, "not_found"),
        ("/v1/services/nothing/x", StatusCode::NOT_FOUND, "not_found"),
        (
            "/v1/services/licences/x",
            StatusCode::NOT_FOUND,
            "not_found",
        ),
        ("/v1/services/licences", StatusCode::NOT_FOUND, "not_found"),
        (
            "/v1/services/registry/fees/pay",
            StatusCode::FORBIDDEN,
            "not_granted",
        ),
    ];
    for (path, status, code) in paths {
        let answer = entry.post(path, &[("idempotency-key", "k")], "{}").await;
        assert_refused(&answer, status, code, "path");
    }
    assert_untouched(&entry);
}

#[tokio::test]
async fn wrong_methods() {
    let entry = FakeEntry::new();
    let cases = [
        ("GET", TEXT, "POST"),
        ("DELETE", CHAT, "POST"),
        ("GET", PAY, "POST"),
        ("POST", "/v1/models", "GET"),
        ("POST", "/healthz", "GET"),
    ];
    for (method, path, allowed) in cases {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("authorization", format!("Bearer {TRADERS_KEY}"))
            .body(Full::<Bytes>::default())
            .expect("a request");
        let answer = entry.send(request).await;
        let status = StatusCode::METHOD_NOT_ALLOWED;
        assert_refused(&answer, status, "method_not_allowed", "method");
        assert_eq!(answer.allow.as_deref(), Some(allowed), "{method} {path}");
    }
    assert_untouched(&entry);
}

#[tokio::test]
async fn bad_headers() {
    let entry = FakeEntry::new();
    let body = r#"{"model": "help", "prompt": "p"}"#;
    for value in ["soon", "0", "-1", "NaN", "1e300", "99999"] {
        let answer = entry
            .post(TEXT, &[("x-request-timeout", value)], body)
            .await;
        let place = "header x-request-timeout";
        assert_refused(&answer, StatusCode::BAD_REQUEST, "invalid_request", place);
    }
    let twice = [("x-request-timeout", "1"), ("x-request-timeout", "2")];
    let answer = entry.post(TEXT, &twice, body).await;
    let place = "header x-request-timeout";
    assert_refused(&answer, StatusCode::BAD_REQUEST, "invalid_request", place);
    let answer = entry.post(TEXT, &[("last-event-id", "17")], body).await;
    let place = "header last-event-id";
    assert_refused(&answer, StatusCode::BAD_REQUEST, "invalid_resume", place);
    let long = "k".repeat(256);
    for key in ["", "two words", long.as_str()] {
        let answer = entry.post(PAY, &[("idempotency-key", key)], "{}").await;
        let place = "header idempotency-key";
        assert_refused(&answer, StatusCode::BAD_REQUEST, "invalid_request", place);
    }
    let answer = entry.post(PAY, &[], "{}").await;
    let place = "header idempotency-key";
    assert_refused(&answer, StatusCode::BAD_REQUEST, "key_required", place);
    assert_untouched(&entry);
}
