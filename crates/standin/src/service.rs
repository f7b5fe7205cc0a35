//! Stand-in for a plain service: licence records and payments, or a badge registry.
//!
//! It counts executions of every call by idempotency key, so that a test can tell lost and
//! doubled payments. It never deduplicates: running a call twice is the harm that is looked for.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use http::{Method, StatusCode};
use serde_json::{Value, json};
use web::{WebAnswer, WebHandler, WebRequest, json_answer, parse_json, read_body, text_answer};
use wire::service::{IDEMPOTENCY_HEADER, LookupBody, ServiceLoad};

use crate::options::TableOptions;
use crate::serve_standin;

const MAX_CALL_BYTES: usize = 1 << 20;

/// Runs the service.
///
/// # Errors
///
/// When the address can't be bound.
pub async fn run(options: TableOptions) -> eyre::Result<()> {
    serve_standin("service", options.listen, PlainService::default()).await
}

/// The service.
#[derive(Debug, Default)]
pub struct PlainService {
    executions: Mutex<BTreeMap<String, LookupBody>>,
}

impl PlainService {
    fn book(&self) -> MutexGuard<'_, BTreeMap<String, LookupBody>> {
        self.executions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn lookup(&self, key: &str) -> WebAnswer {
        let absent = LookupBody {
            key: key.to_owned(),
            executions: 0,
            answer: None,
        };
        let entry = self.book().get(key).cloned().unwrap_or(absent);
        json_answer(StatusCode::OK, &entry)
    }

    async fn execute(&self, path: &str, request: WebRequest) -> WebAnswer {
        let key = request
            .headers()
            .get(IDEMPOTENCY_HEADER)
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned);
        let bytes = match read_body(request.into_body(), MAX_CALL_BYTES).await {
            Ok(bytes) => bytes,
            Err(error) => return text_answer(StatusCode::BAD_REQUEST, &error.to_string()),
        };
        let input: Value = parse_json(&bytes).unwrap_or(Value::Null);
        let receipt = json!({ "call": path, "key": key, "input": input, "done": true });
        if let Some(key) = key {
            let mut book = self.book();
            let entry = book.entry(key.clone()).or_insert_with(|| LookupBody {
                key,
                executions: 0,
                answer: None,
            });
            entry.executions += 1;
            entry.answer = Some(receipt.clone());
        }
        json_answer(StatusCode::OK, &receipt)
    }
}

impl WebHandler for PlainService {
    async fn answer(&self, request: WebRequest) -> WebAnswer {
        let path = request.uri().path().to_owned();
        if let Some(key) = path.strip_prefix("/executions/") {
            return self.lookup(key);
        }
        match (request.method().clone(), path.as_str()) {
            (Method::GET, "/load") => json_answer(
                StatusCode::OK,
                &ServiceLoad {
                    running: 0,
                    slots: 64,
                },
            ),
            (Method::GET, "/executions") => {
                let entries: Vec<LookupBody> = self.book().values().cloned().collect();
                json_answer(StatusCode::OK, &entries)
            }
            (Method::POST, _) => self.execute(&path, request).await,
            _ => text_answer(StatusCode::NOT_FOUND, "no such call"),
        }
    }
}
