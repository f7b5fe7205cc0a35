//! A trader's question and a trader's payment, through separate processes.

use http::StatusCode;
use serde_json::json;
use standin::stack::StackPlan;

use crate::PRODUCT;

#[tokio::test(flavor = "multi_thread")]
async fn question_answered() {
    let stack = StackPlan::new("question", PRODUCT).start().await;
    let prompts = include_str!("../../examples/ndiaye/prompts.txt");
    for (index, prompt) in prompts.lines().enumerate() {
        let answer = stack.complete(index % 3, prompt, 20).await;
        assert_eq!(answer.status, StatusCode::OK, "{}", answer.text());
        let body = answer.json();
        assert_eq!(body["usage"]["completion_tokens"], 20);
        let text = body["choices"][0]["text"].as_str().expect("a text");
        assert_eq!(text.split_whitespace().count(), 20);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn question_streamed() {
    let stack = StackPlan::new("streamed", PRODUCT).start().await;
    let body = json!({
        "model": "trader-help", "stream": true, "max_tokens": 8,
        "messages": [{ "role": "user", "content": "Which form renews a licence?" }],
    });
    let answer = stack.call(0, "/v1/chat/completions", &[], &body).await;
    assert_eq!(answer.status, StatusCode::OK);
    let text = answer.text();
    let pieces = text
        .lines()
        .filter(|line| line.starts_with("data: {"))
        .count();
    assert!(pieces >= 9, "8 tokens and an end, not {pieces}: {text}");
    assert!(text.trim_end().ends_with("data: [DONE]"), "{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn payment_once() {
    let stack = StackPlan::new("payment", PRODUCT).start().await;
    let text = include_str!("../../examples/ndiaye/payments.json");
    let payments: serde_json::Value = serde_json::from_str(text).expect("JSON");
    let mut answers = Vec::new();
    for entry in [0, 1, 2, 0] {
        let headers = [("idempotency-key", "B-14/2026-11")];
        let answer = stack
            .call(
                entry,
                "/v1/services/licences/fees/pay",
                &headers,
                &payments[0],
            )
            .await;
        assert_eq!(answer.status, StatusCode::OK, "{}", answer.text());
        answers.push(answer.body);
    }
    assert!(
        answers.windows(2).all(|pair| pair[0] == pair[1]),
        "one receipt for all"
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
