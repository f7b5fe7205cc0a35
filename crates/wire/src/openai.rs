//! The supported part of the `OpenAI` protocol. Unknown fields are ignored.

use serde::{Deserialize, Serialize};

/// Body of `POST /v1/chat/completions`.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
pub struct ChatRequest {
    /// Name of the model, or `model:adapter`.
    pub model: String,
    /// Messages of the conversation, oldest first.
    pub messages: Vec<ChatMessage>,
    /// Maximum number of tokens to generate.
    #[serde(default)]
    pub max_tokens: Option<u32>,
    /// Newer name of `max_tokens` in the `OpenAI` protocol.
    #[serde(default)]
    pub max_completion_tokens: Option<u32>,
    /// Whether to send the response as an event stream.
    #[serde(default)]
    pub stream: Option<bool>,
    /// Requested number of choices; only one is generated.
    #[serde(default)]
    pub n: Option<u32>,
    /// Options of the event stream.
    #[serde(default)]
    pub stream_options: Option<StreamOptions>,
    /// Sampling seed.
    #[serde(default)]
    pub seed: Option<u64>,
}

/// Body of `POST /v1/completions`.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
pub struct CompletionRequest {
    /// Name of the model, or `model:adapter`.
    pub model: String,
    /// Prompt to complete.
    pub prompt: PromptText,
    /// Maximum number of tokens to generate.
    #[serde(default)]
    pub max_tokens: Option<u32>,
    /// Whether to send the response as an event stream.
    #[serde(default)]
    pub stream: Option<bool>,
    /// Requested number of choices; only one is generated.
    #[serde(default)]
    pub n: Option<u32>,
    /// Options of the event stream.
    #[serde(default)]
    pub stream_options: Option<StreamOptions>,
    /// Sampling seed.
    #[serde(default)]
    pub seed: Option<u64>,
}

/// Prompt of a `/v1/completions` request.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
#[serde(untagged)]
pub enum PromptText {
    /// A single prompt.
    One(String),
    /// A list of prompts, which must contain exactly one.
    Many(Vec<String>),
}

/// Options of an event stream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct StreamOptions {
    /// Whether the last event contains the token usage.
    #[serde(default)]
    pub include_usage: bool,
}

/// One message of a conversation.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
pub struct ChatMessage {
    /// `system`, `user` or `assistant`.
    pub role: String,
    /// Content of the message; none in messages that only call tools.
    #[serde(default)]
    pub content: Option<MessageContent>,
}

/// Content of a message.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
#[serde(untagged)]
pub enum MessageContent {
    /// Plain text.
    Text(String),
    /// A list of parts; only the text of each part is used.
    Parts(Vec<ContentPart>),
}

/// One part of a message's content.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
pub struct ContentPart {
    /// Type of the part: `text` for text.
    #[serde(rename = "type")]
    pub part_type: String,
    /// Text of the part; empty for parts of other types.
    #[serde(default)]
    pub text: String,
}

impl MessageContent {
    /// Returns the text, concatenated over all parts.
    #[must_use]
    pub fn text(&self) -> String {
        match self {
            Self::Text(text) => text.clone(),
            Self::Parts(parts) => parts.iter().map(|part| part.text.as_str()).collect(),
        }
    }
}

/// Token counts of a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct UsageCounts {
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Number of generated tokens.
    pub completion_tokens: u32,
    /// Sum of both.
    pub total_tokens: u32,
}

/// Response to a chat or completion request, or one event of its stream.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
pub struct CompletionResponse {
    /// Id of the request.
    pub id: String,
    /// `chat.completion`, `chat.completion.chunk` or `text_completion`.
    pub object: String,
    /// Creation time in seconds since the Unix epoch.
    pub created: u64,
    /// Name of the model that the request asked for.
    pub model: String,
    /// The only choice; empty in the final usage event.
    pub choices: Vec<CompletionChoice>,
    /// Token usage, in complete responses and final usage events.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<UsageCounts>,
}

/// One generated alternative.
#[derive(Debug, Clone, Default, PartialEq, Deserialize, Serialize)]
pub struct CompletionChoice {
    /// Index of the choice, always 0.
    pub index: u32,
    /// Text of a `/v1/completions` response or event.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub text: Option<String>,
    /// Message of a complete chat response.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub message: Option<ChoiceMessage>,
    /// New part of the message in an event of a chat stream.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delta: Option<ChoiceMessage>,
    /// Why generation ended: `stop` or `length`; none in events before the end.
    pub finish_reason: Option<String>,
}

/// A chat message of the model, or a part of it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct ChoiceMessage {
    /// `assistant`; none in stream events after the first.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<String>,
    /// Text of the message or of the new part.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
}

/// Response to `GET /v1/models`.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
pub struct ModelList {
    /// Always `list`.
    pub object: String,
    /// Models and adapters that the customer may use.
    pub data: Vec<ModelEntry>,
}

/// One model, or one model with an adapter.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
pub struct ModelEntry {
    /// Name of the model, or `model:adapter`.
    pub id: String,
    /// Always `model`.
    pub object: String,
    /// Always 0, because the creation time is not stored.
    pub created: u64,
    /// Always `bramleyspring`.
    pub owned_by: String,
}
