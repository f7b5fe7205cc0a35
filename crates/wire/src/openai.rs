//! The part of the `OpenAI` protocol that callers use. Unknown fields are tolerated.

use serde::{Deserialize, Serialize};

/// Body of `POST /v1/chat/completions`.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
pub struct ChatRequest {
    /// The model, or `model:adapter`.
    pub model: String,
    /// The conversation.
    pub messages: Vec<ChatMessage>,
    /// Most tokens to generate.
    #[serde(default)]
    pub max_tokens: Option<u32>,
    /// Newer name of `max_tokens`.
    #[serde(default)]
    pub max_completion_tokens: Option<u32>,
    /// Whether to stream.
    #[serde(default)]
    pub stream: Option<bool>,
    /// Choices wanted; only one is generated.
    #[serde(default)]
    pub n: Option<u32>,
    /// Options of a stream.
    #[serde(default)]
    pub stream_options: Option<StreamOptions>,
    /// Seed of the sampling.
    #[serde(default)]
    pub seed: Option<u64>,
}

/// Body of `POST /v1/completions`.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
pub struct CompletionRequest {
    /// The model, or `model:adapter`.
    pub model: String,
    /// The prompt.
    pub prompt: PromptText,
    /// Most tokens to generate.
    #[serde(default)]
    pub max_tokens: Option<u32>,
    /// Whether to stream.
    #[serde(default)]
    pub stream: Option<bool>,
    /// Choices wanted; only one is generated.
    #[serde(default)]
    pub n: Option<u32>,
    /// Options of a stream.
    #[serde(default)]
    pub stream_options: Option<StreamOptions>,
    /// Seed of the sampling.
    #[serde(default)]
    pub seed: Option<u64>,
}

/// Prompt of a plain completion.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
#[serde(untagged)]
pub enum PromptText {
    /// A text.
    One(String),
    /// A list, of which exactly one text is taken.
    Many(Vec<String>),
}

/// Options of a stream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct StreamOptions {
    /// Whether the last event carries the usage.
    #[serde(default)]
    pub include_usage: bool,
}

/// One message of a conversation.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
pub struct ChatMessage {
    /// `system`, `user` or `assistant`.
    pub role: String,
    /// Its text, or parts of it; none in messages that only call tools.
    #[serde(default)]
    pub content: Option<MessageContent>,
}

/// Content of a message.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
#[serde(untagged)]
pub enum MessageContent {
    /// Plain text.
    Text(String),
    /// Parts; only those of text count.
    Parts(Vec<ContentPart>),
}

/// One part of a message.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
pub struct ContentPart {
    /// `text` for text.
    #[serde(rename = "type")]
    pub part_type: String,
    /// The text.
    #[serde(default)]
    pub text: String,
}

impl MessageContent {
    /// The text of the content.
    #[must_use]
    pub fn text(&self) -> String {
        match self {
            Self::Text(text) => text.clone(),
            Self::Parts(parts) => parts.iter().map(|part| part.text.as_str()).collect(),
        }
    }
}

/// Counts of tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct UsageCounts {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the answer.
    pub completion_tokens: u32,
    /// Their sum.
    pub total_tokens: u32,
}

/// Whole answer of a chat or completion, or one event of its stream.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
pub struct CompletionResponse {
    /// The request's id.
    pub id: String,
    /// `chat.completion`, `chat.completion.chunk` or `text_completion`.
    pub object: String,
    /// Seconds since 1970.
    pub created: u64,
    /// The model.
    pub model: String,
    /// The one choice; none in a closing usage event.
    pub choices: Vec<CompletionChoice>,
    /// Counts, in whole answers and closing events.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<UsageCounts>,
}

/// One choice.
#[derive(Debug, Clone, Default, PartialEq, Deserialize, Serialize)]
pub struct CompletionChoice {
    /// Always 0.
    pub index: u32,
    /// Text of a plain completion.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub text: Option<String>,
    /// Message of a whole chat answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub message: Option<ChoiceMessage>,
    /// Piece of a streamed chat answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delta: Option<ChoiceMessage>,
    /// Why it ended: `stop` or `length`.
    pub finish_reason: Option<String>,
}

/// Text of a choice.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct ChoiceMessage {
    /// `assistant`, in the first piece.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<String>,
    /// The text.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
}

/// Answer of `GET /v1/models`.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
pub struct ModelList {
    /// `list`.
    pub object: String,
    /// The models.
    pub data: Vec<ModelEntry>,
}

/// One model.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
pub struct ModelEntry {
    /// Its name, or `model:adapter`.
    pub id: String,
    /// `model`.
    pub object: String,
    /// Seconds since 1970; 0, since it is not kept.
    pub created: u64,
    /// `bramleyspring`.
    pub owned_by: String,
}
