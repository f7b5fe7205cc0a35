//! Generation requests: parsing of both completion APIs and validation against the customer's
//! grants and the limits.

use std::time::Instant;

use control::ConfigView;
use domain::record::{CustomerRecord, ModelGrant};
use domain::{AdapterName, CustomerId, ModelName, RequestId, VersionName};
use wire::client_api::ErrorCode;
use wire::openai::{ChatRequest, CompletionRequest, MessageContent, PromptText};

use crate::digest::ContentDigest;
use crate::error::RequestError;
use crate::settings::EntrySettings;

/// Response format, determined by the API that was called.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseFormat {
    /// Chat completion of `/v1/chat/completions`.
    Chat,
    /// Text completion of `/v1/completions`.
    Text,
}

impl ResponseFormat {
    fn as_bytes(self) -> &'static [u8] {
        match self {
            Self::Chat => b"chat",
            Self::Text => b"text",
        }
    }
}

/// Parameters of a request body, common to both completion APIs.
#[derive(Debug, Clone, PartialEq)]
pub struct CompletionParams {
    /// Model name, optionally with an adapter as `model:adapter`.
    pub model: String,
    /// Prompt text; the messages of a chat are joined as `role: text` lines.
    pub prompt: String,
    /// Requested maximum number of tokens and the name of the field that set it; none for the
    /// default.
    pub max_tokens: Option<(u32, &'static str)>,
    /// Sampling seed; none to derive one from the request id.
    pub seed: Option<u64>,
    /// Format of the response.
    pub format: ResponseFormat,
    /// Whether to respond with server-sent events.
    pub stream: bool,
    /// Whether a stream ends with a chunk that reports the token usage.
    pub include_usage: bool,
}

/// A validated generation request.
#[derive(Debug, Clone)]
pub struct GenerationRequest {
    /// Request id; a resumed request keeps the id of the original one.
    pub id: RequestId,
    /// Customer that the API key belongs to.
    pub customer: CustomerId,
    /// Fair-queueing weight of the customer.
    pub share: u32,
    /// Granted model.
    pub model: ModelName,
    /// Version that the grant is pinned to; none allows any.
    pub version: Option<VersionName>,
    /// Granted adapter, if one was requested.
    pub adapter: Option<AdapterName>,
    /// Prompt text.
    pub prompt: String,
    /// Maximum number of tokens to generate, over all attempts.
    pub max_tokens: u32,
    /// Sampling seed, identical in all attempts so that they generate the same text.
    pub seed: u64,
    /// Deadline by which the response must have started.
    pub deadline: Instant,
    /// Format of the response.
    pub format: ResponseFormat,
}

impl GenerationRequest {
    /// Returns a digest of everything that determines the generated text.
    #[must_use]
    pub fn content(&self) -> ContentDigest {
        let adapter = self.adapter.as_ref().map_or("", AdapterName::as_str);
        ContentDigest::of_parts(&[
            self.format.as_bytes(),
            self.model.as_str().as_bytes(),
            adapter.as_bytes(),
            self.prompt.as_bytes(),
            &self.seed.to_be_bytes(),
            &self.max_tokens.to_be_bytes(),
        ])
    }
}

fn invalid_request(message: impl Into<String>, param: &str) -> RequestError {
    RequestError::not_run(ErrorCode::InvalidRequest, message).with_param(param)
}

fn check_choices(choices: Option<u32>) -> Result<(), RequestError> {
    if choices.is_none_or(|count| count == 1) {
        return Ok(());
    }
    Err(invalid_request(
        "only one choice is supported: omit 'n' or set it to 1",
        "n",
    ))
}

impl TryFrom<ChatRequest> for CompletionParams {
    type Error = RequestError;

    fn try_from(body: ChatRequest) -> Result<Self, RequestError> {
        check_choices(body.n)?;
        if body.messages.is_empty() {
            return Err(invalid_request(
                "at least one message is required",
                "messages",
            ));
        }
        let mut lines = Vec::with_capacity(body.messages.len());
        for message in &body.messages {
            let text = message
                .content
                .as_ref()
                .map_or_else(String::new, MessageContent::text);
            lines.push(format!("{}: {text}", message.role));
        }
        let chat_limit = body
            .max_completion_tokens
            .map(|limit| (limit, "max_completion_tokens"));
        Ok(Self {
            model: body.model,
            prompt: lines.join("\n"),
            max_tokens: chat_limit.or(body.max_tokens.map(|limit| (limit, "max_tokens"))),
            seed: body.seed,
            format: ResponseFormat::Chat,
            stream: body.stream.unwrap_or(false),
            include_usage: body.stream_options.unwrap_or_default().include_usage,
        })
    }
}

impl TryFrom<CompletionRequest> for CompletionParams {
    type Error = RequestError;

    fn try_from(body: CompletionRequest) -> Result<Self, RequestError> {
        check_choices(body.n)?;
        let prompt = match body.prompt {
            PromptText::One(text) => text,
            PromptText::Many(texts) => match <[String; 1]>::try_from(texts) {
                Ok([text]) => text,
                Err(_) => return Err(invalid_request("exactly one prompt is required", "prompt")),
            },
        };
        Ok(Self {
            model: body.model,
            prompt,
            max_tokens: body.max_tokens.map(|limit| (limit, "max_tokens")),
            seed: body.seed,
            format: ResponseFormat::Text,
            stream: body.stream.unwrap_or(false),
            include_usage: body.stream_options.unwrap_or_default().include_usage,
        })
    }
}

/// Validates request parameters against the customer's grants and the limits.
///
/// # Errors
///
/// [`RequestError`] that names the invalid parameter. Nothing has been sent to a target.
pub fn build_request(
    view: &ConfigView,
    customer: &CustomerRecord,
    settings: &EntrySettings,
    params: CompletionParams,
    request_id: &RequestId,
    deadline: Instant,
) -> Result<GenerationRequest, RequestError> {
    let (model, adapter) = match params.model.split_once(':') {
        Some((model, adapter)) => (model, Some(adapter)),
        None => (params.model.as_str(), None),
    };
    let grant = find_grant(view, customer, model)?;
    let adapter = match adapter {
        Some(adapter) => Some(find_adapter(grant, adapter)?),
        None => None,
    };
    Ok(GenerationRequest {
        id: request_id.clone(),
        customer: customer.name.clone(),
        share: customer.share,
        model: grant.model.clone(),
        version: grant.version.clone(),
        adapter,
        prompt: params.prompt,
        max_tokens: check_max_tokens(params.max_tokens, settings)?,
        seed: params.seed.unwrap_or_else(|| derive_seed(request_id)),
        deadline,
        format: params.format,
    })
}

fn find_grant<'view>(
    view: &ConfigView,
    customer: &'view CustomerRecord,
    model: &str,
) -> Result<&'view ModelGrant, RequestError> {
    for grant in &customer.grants {
        if grant.model.as_str() == model {
            return Ok(grant);
        }
    }
    let known = view.models.keys().any(|name| name.as_str() == model);
    let error = if known {
        let message = format!("the customer has no grant for model {model:?}");
        RequestError::not_run(ErrorCode::NotGranted, message)
    } else {
        let message =
            format!("model {model:?} does not exist; GET /v1/models lists the granted models");
        RequestError::not_run(ErrorCode::NotFound, message)
    };
    Err(error.with_param("model"))
}

fn find_adapter(grant: &ModelGrant, adapter: &str) -> Result<AdapterName, RequestError> {
    for granted in &grant.adapters {
        if granted.as_str() == adapter {
            return Ok(granted.clone());
        }
    }
    let message = format!(
        "adapter {adapter:?} of {} does not exist or is not granted",
        grant.model
    );
    Err(RequestError::not_run(ErrorCode::NotGranted, message).with_param("model"))
}

fn check_max_tokens(
    limit: Option<(u32, &'static str)>,
    settings: &EntrySettings,
) -> Result<u32, RequestError> {
    let Some((limit, param)) = limit else {
        return Ok(settings.default_max_tokens);
    };
    if (1..=settings.max_tokens).contains(&limit) {
        return Ok(limit);
    }
    let message = format!("{param} must be between 1 and {}", settings.max_tokens);
    Err(invalid_request(message, param))
}

/// Derives the seed of a request that has none. Every entry derives the same seed for a resumed
/// request, because the resume token carries the request id.
fn derive_seed(request_id: &RequestId) -> u64 {
    let ContentDigest(bytes) = ContentDigest::of_parts(&[request_id.as_str().as_bytes()]);
    let mut seed = [0; 8];
    seed.copy_from_slice(&bytes[..8]);
    u64::from_be_bytes(seed)
}
