//! What a caller wants generated, checked against its grants and the limits.

use std::time::Instant;

use control::ConfigView;
use domain::record::{CustomerRecord, ModelGrant};
use domain::{AdapterName, CustomerId, ModelName, RequestId, VersionName};
use wire::caller::ErrorCode;
use wire::openai::{ChatRequest, CompletionRequest, MessageContent, PromptText};

use crate::digest::ContentDigest;
use crate::error::RequestError;
use crate::settings::EntrySettings;

/// Shape of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseFormat {
    /// Of `/v1/chat/completions`.
    Chat,
    /// Of `/v1/completions`.
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

/// What a request's body asks for, whichever of the two calls it came by.
#[derive(Debug, Clone, PartialEq)]
pub struct CompletionParams {
    /// The model, or `model:adapter`.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// Most tokens, with the name of the field that says so.
    pub max_tokens: Option<(u32, &'static str)>,
    /// Seed, when the caller names one.
    pub seed: Option<u64>,
    /// Shape of the answer.
    pub format: ResponseFormat,
    /// Whether to stream.
    pub stream: bool,
    /// Whether a stream closes with the usage.
    pub include_usage: bool,
}

/// A checked order.
#[derive(Debug, Clone)]
pub struct GenerationRequest {
    /// The request.
    pub id: RequestId,
    /// Who asks.
    pub customer: CustomerId,
    /// Weight of the customer against others.
    pub share: u32,
    /// The model.
    pub model: ModelName,
    /// The version that the customer is pinned to.
    pub version: Option<VersionName>,
    /// The adapter.
    pub adapter: Option<AdapterName>,
    /// The prompt.
    pub prompt: String,
    /// Most tokens of the answer.
    pub max_tokens: u32,
    /// Seed, fixed for all attempts.
    pub seed: u64,
    /// Moment by which the answer shall have begun.
    pub deadline: Instant,
    /// Shape of the answer.
    pub format: ResponseFormat,
}

impl GenerationRequest {
    /// Digest of everything that decides the answer's text.
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
        "one choice is generated: leave 'n' out or send 1",
        "n",
    ))
}

impl TryFrom<ChatRequest> for CompletionParams {
    type Error = RequestError;

    fn try_from(body: ChatRequest) -> Result<Self, RequestError> {
        check_choices(body.n)?;
        if body.messages.is_empty() {
            return Err(invalid_request("send at least one message", "messages"));
        }
        let mut lines = Vec::with_capacity(body.messages.len());
        for message in &body.messages {
            let text = message
                .content
                .as_ref()
                .map_or_else(String::new, MessageContent::text);
            lines.push(format!("{}: {text}", message.role));
        }
        let newer = body
            .max_completion_tokens
            .map(|limit| (limit, "max_completion_tokens"));
        Ok(Self {
            model: body.model,
            prompt: lines.join("\n"),
            max_tokens: newer.or(body.max_tokens.map(|limit| (limit, "max_tokens"))),
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
                Err(_) => return Err(invalid_request("send exactly one prompt", "prompt")),
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

/// Checks an params against the customer's grants and the limits.
///
/// # Errors
///
/// [`RequestError`] with its place; nothing was sent anywhere.
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
        let message = format!("the customer may not use {model:?}");
        RequestError::not_run(ErrorCode::NotGranted, message)
    } else {
        let message = format!("there is no model {model:?}; GET /v1/models lists yours");
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
        "the customer may not use adapter {adapter:?} of {}, or there is none",
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
    let message = format!("{param} must be from 1 to {}", settings.max_tokens);
    Err(invalid_request(message, param))
}

/// The seed of a request that names none: the same at every entry, since the resume token carries
/// the request's id.
fn derive_seed(request_id: &RequestId) -> u64 {
    let ContentDigest(bytes) = ContentDigest::of_parts(&[request_id.as_str().as_bytes()]);
    let mut seed = [0; 8];
    seed.copy_from_slice(&bytes[..8]);
    u64::from_be_bytes(seed)
}
