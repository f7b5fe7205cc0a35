//! Completions, streams and payments without faults.

use http::StatusCode;
use serde_json::json;
use standin::stack::StackPlan;

use crate::BINARY;

#[tokio::test(flavor = "multi_thread")]
async fn completion_served() {
    let stack = StackPlan::new("question", BINARY).start().await;
    let prompts = include_str!("../../examples/ndiaye/prompts.txt");
    for (index, prompt) in prompts.lines().enumerate() {
        let response = stack.complete(index % 3, prompt, 20).await;
        assert_eq!(response.status, StatusCode::OK, "{}", response.text());
        let body = response.json();
        assert_eq!(body["usage"]["completion_tokens"], 20);
        let text = body["choices"][0]["text"].as_str().expect("a text");
        assert_eq!(text.split_whitespace().count(), 20);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn chat_streamed() {
    let stack = StackPlan::new("streamed", BINARY).start().await;
    let body = json!({
        "model": "trader-help", "stream": true, "max_tokens": 8,
        "messages": [{ "role": "user", "content": "Which form renews a licence?" }],
    });
    let response = stack.call(0, "/v1/chat/completions", &[], &body).await;
    assert_eq!(response.status, StatusCode::OK);
    let text = response.text();
    let chunks = text
        .lines()
        .filter(|line| line.starts_with("data: {"))
        .count();
    assert!(
        chunks >= 9,
        "8 tokens and an end expected, not {chunks}: {text}"
    );
    assert!(text.trim_end().ends_with("data: [DONE]"), "{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn payment_idempotent() {
    let stack = StackPlan::new("payment", BINARY).start().await;
    let text = include_str!("../../examples/ndiaye/payments.json");
    let payments: serde_json::Value = serde_json::from_str(text).expect("valid JSON");
    let mut receipts = Vec::new();
    for entry in [0, 1, 2, 0] {
        let headers = [("idempotency-key", "B-14/2026-11")];
        let response = stack
            .call(
                entry,
                "/v1/services/licences/fees/pay",
                &headers,
                &payments[0],
            )
            .await;
        assert_eq!(response.status, StatusCode::OK, "{}", response.text());
        receipts.push(response.body);
    }
    assert!(
        receipts.windows(2).all(|pair| pair[0] == pair[1]),
        "the responses to one key differ"
    );
    let without_key = stack
        .call(0, "/v1/services/licences/fees/pay", &[], &payments[0])
        .await;
    assert_eq!(without_key.status, StatusCode::BAD_REQUEST);
    let reused = stack
        .call(
            1,
            "/v1/services/licences/fees/pay",
            &[("idempotency-key", "B-14/2026-11")],
            &payments[1],
        )
        .await;
    assert_eq!(reused.status, StatusCode::UNPROCESSABLE_ENTITY);
}
