//! Formatting of responses for the OpenAI-compatible API, as complete bodies or stream chunks.

use std::time::SystemTime;

use bytes::Bytes;
use domain::{ModelName, RequestId};
use serde::Serialize;
use wire::openai::{ChoiceMessage, CompletionChoice, CompletionResponse, UsageCounts};

use crate::generation::{GenerationRequest, ResponseFormat};
use crate::progress::GenerationSummary;

/// Fields that all chunks of a response have in common.
#[derive(Debug, Clone)]
pub struct ResponseFormatter {
    request_id: RequestId,
    model: ModelName,
    format: ResponseFormat,
    created: u64,
}

impl ResponseFormatter {
    /// Creates a formatter for the response to a request.
    #[must_use]
    pub fn new(request: &GenerationRequest) -> Self {
        let since_epoch = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            request_id: request.id.clone(),
            model: request.model.clone(),
            format: request.format,
            created: since_epoch.as_secs(),
        }
    }

    fn body(&self, object: &str, choices: Vec<CompletionChoice>) -> CompletionResponse {
        CompletionResponse {
            id: self.request_id.to_string(),
            object: object.to_owned(),
            created: self.created,
            model: self.model.to_string(),
            choices,
            usage: None,
        }
    }

    /// Formats a complete response.
    #[must_use]
    pub fn complete(&self, text: String, summary: &GenerationSummary) -> CompletionResponse {
        let mut choice = CompletionChoice {
            finish_reason: Some(summary.finish_reason.clone()),
            ..CompletionChoice::default()
        };
        let object = match self.format {
            ResponseFormat::Chat => {
                choice.message = Some(ChoiceMessage {
                    role: Some("assistant".to_owned()),
                    content: Some(text),
                });
                "chat.completion"
            }
            ResponseFormat::Text => {
                choice.text = Some(text);
                "text_completion"
            }
        };
        let mut body = self.body(object, vec![choice]);
        body.usage = Some(usage_counts(summary));
        body
    }

    /// Formats the first chunk of a streamed chat, which contains only the role; none for text
    /// completions.
    #[must_use]
    pub fn opening_chunk(&self) -> Option<CompletionResponse> {
        match self.format {
            ResponseFormat::Chat => {
                let delta = ChoiceMessage {
                    role: Some("assistant".to_owned()),
                    content: Some(String::new()),
                };
                Some(self.chunk(delta, None))
            }
            ResponseFormat::Text => None,
        }
    }

    /// Formats a chunk with one token.
    #[must_use]
    pub fn token_chunk(&self, text: &str) -> CompletionResponse {
        let delta = ChoiceMessage {
            role: None,
            content: Some(text.to_owned()),
        };
        self.chunk(delta, None)
    }

    /// Formats the chunk with the finish reason.
    #[must_use]
    pub fn finish_chunk(&self, summary: &GenerationSummary) -> CompletionResponse {
        self.chunk(
            ChoiceMessage::default(),
            Some(summary.finish_reason.clone()),
        )
    }

    /// Formats the chunk with the token usage, which has no choices.
    #[must_use]
    pub fn usage_chunk(&self, summary: &GenerationSummary) -> CompletionResponse {
        let mut body = self.body(self.chunk_object(), Vec::new());
        body.usage = Some(usage_counts(summary));
        body
    }

    fn chunk_object(&self) -> &'static str {
        match self.format {
            ResponseFormat::Chat => "chat.completion.chunk",
            ResponseFormat::Text => "text_completion",
        }
    }

    fn chunk(&self, delta: ChoiceMessage, finish_reason: Option<String>) -> CompletionResponse {
        let mut choice = CompletionChoice {
            finish_reason,
            ..CompletionChoice::default()
        };
        match self.format {
            ResponseFormat::Chat => choice.delta = Some(delta),
            ResponseFormat::Text => choice.text = Some(delta.content.unwrap_or_default()),
        }
        self.body(self.chunk_object(), vec![choice])
    }
}

fn usage_counts(summary: &GenerationSummary) -> UsageCounts {
    UsageCounts {
        prompt_tokens: summary.prompt_tokens,
        completion_tokens: summary.count,
        total_tokens: summary.prompt_tokens.saturating_add(summary.count),
    }
}

/// Formats a server-sent event with JSON data.
#[must_use]
pub fn json_event<T: Serialize>(name: Option<&str>, id: Option<&str>, value: &T) -> Bytes {
    let data = serde_json::to_string(value).unwrap_or_default();
    text_event(name, id, &data)
}

/// Formats a server-sent event; `data` must not contain line breaks.
#[must_use]
pub fn text_event(name: Option<&str>, id: Option<&str>, data: &str) -> Bytes {
    let mut event = String::with_capacity(data.len() + id.map_or(0, str::len) + 32);
    for (field, value) in [("event", name), ("id", id), ("data", Some(data))] {
        let Some(value) = value else { continue };
        event.push_str(field);
        event.push_str(": ");
        event.push_str(value);
        event.push('\n');
    }
    event.push('\n');
    Bytes::from(event)
}
