//! Answers in the shape that `OpenAI` clients expect: whole, or as events of a stream.

use std::time::SystemTime;

use bytes::Bytes;
use domain::{ModelName, RequestId};
use serde::Serialize;
use wire::openai::{ChoiceMessage, CompletionBody, CompletionChoice, UsageCounts};

use crate::generation::{GenerationRequest, ResponseFormat};
use crate::progress::GenerationSummary;

/// What all pieces of one answer have in common.
#[derive(Debug, Clone)]
pub struct ResponseFormatter {
    request: RequestId,
    model: ModelName,
    shape: ResponseFormat,
    created: u64,
}

impl ResponseFormatter {
    /// The frame of an order's answer.
    #[must_use]
    pub fn new(order: &GenerationRequest) -> Self {
        let since_epoch = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            request: order.request.clone(),
            model: order.model.clone(),
            shape: order.shape,
            created: since_epoch.as_secs(),
        }
    }

    fn body(&self, object: &str, choices: Vec<CompletionChoice>) -> CompletionBody {
        CompletionBody {
            id: self.request.to_string(),
            object: object.to_owned(),
            created: self.created,
            model: self.model.to_string(),
            choices,
            usage: None,
        }
    }

    /// A whole answer.
    #[must_use]
    pub fn whole(&self, text: String, end: &GenerationSummary) -> CompletionBody {
        let mut choice = CompletionChoice {
            finish_reason: Some(end.finish_reason.clone()),
            ..CompletionChoice::default()
        };
        let object = match self.shape {
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
        body.usage = Some(usage_counts(end));
        body
    }

    /// The piece that opens a streamed chat; a plain completion has none.
    #[must_use]
    pub fn opening(&self) -> Option<CompletionBody> {
        match self.shape {
            ResponseFormat::Chat => {
                let delta = ChoiceMessage {
                    role: Some("assistant".to_owned()),
                    content: Some(String::new()),
                };
                Some(self.piece(delta, None))
            }
            ResponseFormat::Text => None,
        }
    }

    /// A piece with one token.
    #[must_use]
    pub fn token(&self, text: &str) -> CompletionBody {
        let delta = ChoiceMessage {
            role: None,
            content: Some(text.to_owned()),
        };
        self.piece(delta, None)
    }

    /// The piece that says why the answer ended.
    #[must_use]
    pub fn finish(&self, end: &GenerationSummary) -> CompletionBody {
        self.piece(ChoiceMessage::default(), Some(end.finish_reason.clone()))
    }

    /// The piece with the counts, for callers that asked for it.
    #[must_use]
    pub fn usage(&self, end: &GenerationSummary) -> CompletionBody {
        let mut body = self.body(self.piece_object(), Vec::new());
        body.usage = Some(usage_counts(end));
        body
    }

    fn piece_object(&self) -> &'static str {
        match self.shape {
            ResponseFormat::Chat => "chat.completion.chunk",
            ResponseFormat::Text => "text_completion",
        }
    }

    fn piece(&self, delta: ChoiceMessage, finish_reason: Option<String>) -> CompletionBody {
        let mut choice = CompletionChoice {
            finish_reason,
            ..CompletionChoice::default()
        };
        match self.shape {
            ResponseFormat::Chat => choice.delta = Some(delta),
            ResponseFormat::Text => choice.text = Some(delta.content.unwrap_or_default()),
        }
        self.body(self.piece_object(), vec![choice])
    }
}

fn usage_counts(end: &GenerationSummary) -> UsageCounts {
    UsageCounts {
        prompt_tokens: end.prompt_tokens,
        completion_tokens: end.count,
        total_tokens: end.prompt_tokens.saturating_add(end.count),
    }
}

/// One server-sent event with a JSON value.
#[must_use]
pub fn json_event<T: Serialize>(name: Option<&str>, id: Option<&str>, value: &T) -> Bytes {
    let data = serde_json::to_string(value).unwrap_or_default();
    text_event(name, id, &data)
}

/// One server-sent event; `data` has no line breaks.
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
