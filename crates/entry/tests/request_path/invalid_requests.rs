//! Invalid requests: each is rejected with a 4xx status and the invalid parameter, and reaches no
//! target.

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;

use crate::fake_entry::{FakeEntry, FakeResponse, TRADERS_KEY, post};

const CHAT: &str = "/v1/chat/completions";
const TEXT: &str = "/v1/completions";
const PAY: &str = "/v1/services/licences/fees/pay";

fn assert_rejected(response: &FakeResponse, status: StatusCode, code: &str, param: &str) {
    assert_eq!(response.status, status, "{}", response.text);
    assert_eq!(response.error("code"), code, "{}", response.text);
    assert_eq!(response.error("param"), param, "{}", response.text);
    assert_eq!(response.error("execution"), "not_run", "{}", response.text);
    assert!(!response.error("message").is_empty(), "{}", response.text);
    assert!(!response.error("request").is_empty(), "{}", response.text);
}

fn assert_no_target_reached(entry: &FakeEntry) {
    assert!(
        entry.engine.requests().is_empty(),
        "an engine received a request"
    );
    assert_eq!(entry.service.send_count(), 0, "the service was called");
    assert_eq!(entry.table.commits(), 0, "a claim was written");
}

#[tokio::test]
async fn invalid_bodies() {
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
    for (path, body, param) in cases {
        let response = entry.post(path, &[], body).await;
        assert_rejected(&response, StatusCode::BAD_REQUEST, "invalid_request", param);
    }
    assert_no_target_reached(&entry);
}

#[tokio::test]
async fn oversized_bodies() {
    let entry = FakeEntry::new();
    let prompt = "x".repeat(5 << 20);
    let body = format!(r#"{{"model": "help", "prompt": "{prompt}"}}"#);
    for path in [TEXT, CHAT] {
        let response = entry.post(path, &[], &body).await;
        let status = StatusCode::PAYLOAD_TOO_LARGE;
        assert_rejected(&response, status, "body_too_large", "body");
    }
    let response = entry.post(PAY, &[("idempotency-key", "k")], &body).await;
    let status = StatusCode::PAYLOAD_TOO_LARGE;
    assert_rejected(&response, status, "body_too_large", "body");
    assert_no_target_reached(&entry);
}

#[tokio::test]
async fn invalid_keys() {
    let entry = FakeEntry::new();
    let body = r#"{"model": "help", "prompt": "p"}"#;
    let param = "header Authorization";
    for key in ["", "stranger", "traders-key2"] {
        let response = entry.send(post(key, TEXT, &[], body)).await;
        assert_rejected(&response, StatusCode::UNAUTHORIZED, "invalid_key", param);
        assert!(!response.text.contains("stranger"), "{}", response.text);
    }
    for scheme in ["Basic abc", "Bearer", "traders-key"] {
        let request = Request::builder()
            .method("POST")
            .uri(TEXT)
            .header("authorization", scheme)
            .body(Full::<Bytes>::from(body))
            .expect("a request");
        let response = entry.send(request).await;
        assert_rejected(&response, StatusCode::UNAUTHORIZED, "invalid_key", param);
    }
    assert_no_target_reached(&entry);
    for event in entry.recorder.recent() {
        let text = format!("{event:?}");
        assert!(!text.contains("stranger"), "a key in an event: {text}");
    }
}

#[tokio::test]
async fn unknown_names() {
    let entry = FakeEntry::new();
    let cases = [
        ("nothing", StatusCode::NOT_FOUND, "not_found"),
        ("secret", StatusCode::FORBIDDEN, "not_granted"),
        ("help:other", StatusCode::FORBIDDEN, "not_granted"),
    ];
    for (model, status, code) in cases {
        let body = format!(r#"{{"model": "{model}", "prompt": "p"}}"#);
        let response = entry.post(TEXT, &[], &body).await;
        assert_rejected(&response, status, code, "model");
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
        let response = entry.post(path, &[("idempotency-key", "k")], "{}").await;
        assert_rejected(&response, status, code, "path");
    }
    assert_no_target_reached(&entry);
}

#[tokio::test]
async fn disallowed_methods() {
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
        let response = entry.send(request).await;
        let status = StatusCode::METHOD_NOT_ALLOWED;
        assert_rejected(&response, status, "method_not_allowed", "method");
        assert_eq!(response.allow.as_deref(), Some(allowed), "{method} {path}");
    }
    assert_no_target_reached(&entry);
}

#[tokio::test]
async fn invalid_headers() {
    let entry = FakeEntry::new();
    let body = r#"{"model": "help", "prompt": "p"}"#;
    for value in ["soon", "0", "-1", "NaN", "1e300", "99999"] {
        let response = entry
            .post(TEXT, &[("x-request-timeout", value)], body)
            .await;
        let param = "header x-request-timeout";
        assert_rejected(&response, StatusCode::BAD_REQUEST, "invalid_request", param);
    }
    let twice = [("x-request-timeout", "1"), ("x-request-timeout", "2")];
    let response = entry.post(TEXT, &twice, body).await;
    let param = "header x-request-timeout";
    assert_rejected(&response, StatusCode::BAD_REQUEST, "invalid_request", param);
    let response = entry.post(TEXT, &[("last-event-id", "17")], body).await;
    let param = "header last-event-id";
    assert_rejected(&response, StatusCode::BAD_REQUEST, "invalid_resume", param);
    let long = "k".repeat(256);
    for key in ["", "two words", long.as_str()] {
        let response = entry.post(PAY, &[("idempotency-key", key)], "{}").await;
        let param = "header idempotency-key";
        assert_rejected(&response, StatusCode::BAD_REQUEST, "invalid_request", param);
    }
    let response = entry.post(PAY, &[], "{}").await;
    let param = "header idempotency-key";
    assert_rejected(&response, StatusCode::BAD_REQUEST, "key_required", param);
    assert_no_target_reached(&entry);
}
