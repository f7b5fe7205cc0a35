//! The callers' listener: routes of the `OpenAI` protocol, of plain services and of health checks.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime};

use bytes::Bytes;
use control::{CallLedger, ConfigView, TargetView};
use domain::record::CustomerRecord;
use domain::{ModelName, NodeId, RequestId};
use events::{EventCode, EventRecorder, EventSubject};
use http::{HeaderMap, HeaderValue, Method, StatusCode, header};
use platform::TableStore;
use target::{EnginePort, ServicePort};
use tokio::sync::{mpsc, watch};
use web::body::channel_body;
use web::{
    BodyError, WebAnswer, WebHandler, WebRequest, json_answer, parse_json, read_body, text_answer,
};
use wire::caller::ErrorCode;
use wire::openai::{
    ChatRequest, ChoiceMessage, CompletionBody, CompletionChoice, CompletionRequest, ModelEntry,
    ModelList, UsageCounts,
};

use crate::caller::find_customer;
use crate::completion::{AnswerStep, CompletionOrder, run_completion};
use crate::failure::CallerFailure;
use crate::services::{ServiceOrder, run_call};

/// Largest body of a caller's request, in bytes: a long conversation with room to spare.
const MAX_REQUEST_BYTES: usize = 4 << 20;

/// Tokens of an answer when the caller names no limit.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// Steps of an answer that wait for a slow reader.
const STEP_BUFFER: usize = 64;

/// When to come back to a node that does not know its configuration yet.
const NOT_READY_RETRY: Duration = Duration::from_secs(1);

/// What the request path works with.
#[derive(Debug, Clone)]
pub struct EntryParts<E> {
    /// This node.
    pub node: NodeId,
    /// The configuration in force.
    pub config: watch::Receiver<Arc<ConfigView>>,
    /// The targets.
    pub targets: watch::Receiver<Arc<TargetView>>,
    /// Engines.
    pub engine: E,
    /// Events.
    pub recorder: EventRecorder,
}

/// The callers' listener.
#[derive(Debug)]
pub struct EntryServer<E, T, S> {
    parts: EntryParts<E>,
    ledger: CallLedger<T>,
    service: S,
    next_request: AtomicU64,
}

impl<E: EnginePort, T: TableStore, S: ServicePort> EntryServer<E, T, S> {
    /// A listener.
    #[must_use]
    pub fn new(parts: EntryParts<E>, ledger: CallLedger<T>, service: S) -> Self {
        Self {
            parts,
            ledger,
            service,
            next_request: AtomicU64::new(0),
        }
    }

    fn new_request(&self) -> RequestId {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        let text = format!("{}.{number}", self.parts.node);
        text.parse()
            .unwrap_or_else(|_| unreachable!("a node's id and a number are an id"))
    }

    async fn route(&self, request: WebRequest, id: &RequestId) -> Result<WebAnswer, CallerFailure> {
        let path = request.uri().path().to_owned();
        let view = Arc::clone(&self.parts.config.borrow());
        match (request.method().clone(), path.as_str()) {
            (Method::GET, "/healthz") => return Ok(text_answer(StatusCode::OK, "live\n")),
            (Method::GET, "/readyz") => return ready(&view),
            _ => {}
        }
        ready(&view)?;
        let customer = find_customer(&view, request.headers())?;
        if let Some(rest) = path.strip_prefix("/v1/services/") {
            return self.call_service(&view, customer, rest, request, id).await;
        }
        match (request.method().clone(), path.as_str()) {
            (Method::GET, "/v1/models") => Ok(list_models(customer)),
            (Method::POST, "/v1/chat/completions") => {
                let body: ChatRequest = read_json(request).await?;
                let lines: Vec<String> = body
                    .messages
                    .iter()
                    .map(|message| format!("{}: {}", message.role, message.content.text()))
                    .collect();
                let limit = body.max_completion_tokens.or(body.max_tokens);
                let order = plan_order(
                    customer,
                    &body.model,
                    lines.join("\n"),
                    limit,
                    body.seed,
                    id,
                )?;
                self.complete(order, AnswerShape::Chat, body.stream).await
            }
            (Method::POST, "/v1/completions") => {
                let body: CompletionRequest = read_json(request).await?;
                let order = plan_order(
                    customer,
                    &body.model,
                    body.prompt,
                    body.max_tokens,
                    body.seed,
                    id,
                )?;
                self.complete(order, AnswerShape::Text, body.stream).await
            }
            _ => Err(CallerFailure::not_run(
                ErrorCode::NotFound,
                format!("no path {path}"),
            )),
        }
    }

    async fn call_service(
        &self,
        view: &ConfigView,
        customer: &CustomerRecord,
        rest: &str,
        request: WebRequest,
        id: &RequestId,
    ) -> Result<WebAnswer, CallerFailure> {
        let unknown =
            || CallerFailure::not_run(ErrorCode::NotFound, format!("no service call {rest}"));
        let (name, path) = rest.split_once('/').ok_or_else(unknown)?;
        let service = view
            .services
            .values()
            .find(|service| service.name.as_str() == name)
            .ok_or_else(unknown)?;
        if !customer.services.contains(&service.name) {
            let message = format!("the customer may not call {name}");
            return Err(CallerFailure::not_run(ErrorCode::NotGranted, message));
        }
        let call = service
            .calls
            .iter()
            .find(|call| call.path == path)
            .ok_or_else(unknown)?;
        let headers: HeaderMap = request.headers().clone();
        let body = read_limited(request).await?;
        let order = ServiceOrder {
            request: id.clone(),
            customer,
            service,
            call,
            headers,
            body,
        };
        run_call(&self.parts, &self.ledger, &self.service, order).await
    }

    async fn complete(
        &self,
        order: CompletionOrder,
        shape: AnswerShape,
        stream: bool,
    ) -> Result<WebAnswer, CallerFailure> {
        let subject = EventSubject::request(&order.request);
        self.parts
            .recorder
            .note(EventCode::RequestAdmitted, subject, order.model.to_string());
        let (sender, mut receiver) = mpsc::channel(STEP_BUFFER);
        let parts = self.parts.clone();
        let request = order.request.clone();
        let model = order.model.clone();
        let running = tokio::spawn(async move { run_completion(&parts, &order, &sender).await });
        let frame = AnswerFrame {
            request,
            model,
            shape,
        };
        if stream {
            return Ok(stream_answer(frame, receiver, running));
        }
        let mut text = String::new();
        let mut ended = None;
        while let Some(step) = receiver.recv().await {
            match step {
                AnswerStep::Token(token) => text.push_str(&token),
                AnswerStep::Finished {
                    prompt_tokens,
                    count,
                    finish,
                } => {
                    ended = Some((prompt_tokens, count, finish));
                }
            }
        }
        join_result(running).await?;
        let (prompt_tokens, count, finish) = ended
            .ok_or_else(|| CallerFailure::unknown(ErrorCode::Internal, "the answer has no end"))?;
        let usage = UsageCounts {
            prompt_tokens,
            completion_tokens: count,
            total_tokens: prompt_tokens + count,
        };
        Ok(json_answer(
            StatusCode::OK,
            &frame.whole(text, finish, usage),
        ))
    }
}

type CompletionTask = tokio::task::JoinHandle<Result<(), CallerFailure>>;

async fn join_result(running: CompletionTask) -> Result<(), CallerFailure> {
    match running.await {
        Ok(result) => result,
        Err(error) => Err(CallerFailure::unknown(
            ErrorCode::Internal,
            error.to_string(),
        )),
    }
}

fn stream_answer(
    frame: AnswerFrame,
    mut steps: mpsc::Receiver<AnswerStep>,
    running: CompletionTask,
) -> WebAnswer {
    let (sender, body) = channel_body(STEP_BUFFER);
    tokio::spawn(async move {
        let mut index = 0_u64;
        while let Some(step) = steps.recv().await {
            let piece = match step {
                AnswerStep::Token(text) => frame.piece(Some(text), None),
                AnswerStep::Finished { finish, .. } => frame.piece(None, Some(finish)),
            };
            let json = serde_json::to_string(&piece).unwrap_or_default();
            let event = format!("id: {index}\ndata: {json}\n\n");
            index += 1;
            if sender.send(Bytes::from(event)).await.is_err() {
                return;
            }
        }
        let closing = match join_result(running).await {
            Ok(()) => "data: [DONE]\n\n".to_owned(),
            Err(failure) => {
                let body = failure.body(&frame.request);
                let json = serde_json::to_string(&body).unwrap_or_default();
                format!("event: error\ndata: {json}\n\n")
            }
        };
        let _ = sender.send(Bytes::from(closing)).await;
    });
    let mut answer = http::Response::new(body);
    answer.headers_mut().insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("text/event-stream"),
    );
    answer
}

#[derive(Debug, Clone, Copy)]
enum AnswerShape {
    Chat,
    Text,
}

#[derive(Debug)]
struct AnswerFrame {
    request: RequestId,
    model: ModelName,
    shape: AnswerShape,
}

impl AnswerFrame {
    fn body(&self, object: &str, choice: CompletionChoice) -> CompletionBody {
        let since_epoch = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        CompletionBody {
            id: self.request.to_string(),
            object: object.to_owned(),
            created: since_epoch.as_secs(),
            model: self.model.to_string(),
            choices: vec![choice],
            usage: None,
        }
    }

    fn whole(&self, text: String, finish: String, usage: UsageCounts) -> CompletionBody {
        let finish_reason = Some(finish);
        let mut body = match self.shape {
            AnswerShape::Chat => {
                let message = ChoiceMessage {
                    role: Some("assistant".to_owned()),
                    content: Some(text),
                };
                let choice = CompletionChoice {
                    message: Some(message),
                    finish_reason,
                    ..CompletionChoice::default()
                };
                self.body("chat.completion", choice)
            }
            AnswerShape::Text => {
                let choice = CompletionChoice {
                    text: Some(text),
                    finish_reason,
                    ..CompletionChoice::default()
                };
                self.body("text_completion", choice)
            }
        };
        body.usage = Some(usage);
        body
    }

    fn piece(&self, text: Option<String>, finish_reason: Option<String>) -> CompletionBody {
        match self.shape {
            AnswerShape::Chat => {
                let delta = Some(ChoiceMessage {
                    role: None,
                    content: text,
                });
                let choice = CompletionChoice {
                    delta,
                    finish_reason,
                    ..CompletionChoice::default()
                };
                self.body("chat.completion.chunk", choice)
            }
            AnswerShape::Text => {
                let text = Some(text.unwrap_or_default());
                let choice = CompletionChoice {
                    text,
                    finish_reason,
                    ..CompletionChoice::default()
                };
                self.body("text_completion", choice)
            }
        }
    }
}

fn ready(view: &ConfigView) -> Result<WebAnswer, CallerFailure> {
    if view.revision.0 == 0 || !view.gate.is_open(Instant::now()) {
        let message = "this node does not know the configuration in force";
        return Err(CallerFailure::not_run(ErrorCode::NotReady, message).retry(NOT_READY_RETRY));
    }
    Ok(text_answer(StatusCode::OK, "ready\n"))
}

fn list_models(customer: &CustomerRecord) -> WebAnswer {
    let mut data = Vec::new();
    for grant in &customer.grants {
        let mut names = vec![grant.model.to_string()];
        names.extend(
            grant
                .adapters
                .iter()
                .map(|adapter| format!("{}:{adapter}", grant.model)),
        );
        for id in names {
            data.push(ModelEntry {
                id,
                object: "model".to_owned(),
                created: 0,
                owned_by: "bramleyspring".to_owned(),
            });
        }
    }
    json_answer(
        StatusCode::OK,
        &ModelList {
            object: "list".to_owned(),
            data,
        },
    )
}

fn plan_order(
    customer: &CustomerRecord,
    name: &str,
    prompt: String,
    limit: Option<u32>,
    seed: Option<u64>,
    request: &RequestId,
) -> Result<CompletionOrder, CallerFailure> {
    let (model, adapter) = match name.split_once(':') {
        Some((model, adapter)) => (model, Some(adapter)),
        None => (name, None),
    };
    let refused = || {
        let message = format!("the customer may not use {name:?}, or there is no such model");
        CallerFailure::not_run(ErrorCode::NotGranted, message).at("model")
    };
    let grant = customer
        .grants
        .iter()
        .find(|grant| grant.model.as_str() == model)
        .ok_or_else(refused)?;
    let adapter = match adapter {
        Some(adapter) => Some(
            grant
                .adapters
                .iter()
                .find(|granted| granted.as_str() == adapter)
                .cloned()
                .ok_or_else(refused)?,
        ),
        None => None,
    };
    Ok(CompletionOrder {
        request: request.clone(),
        model: grant.model.clone(),
        version: grant.version.clone(),
        adapter,
        prompt,
        max_tokens: limit.unwrap_or(DEFAULT_MAX_TOKENS),
        seed: seed.unwrap_or(0),
    })
}

async fn read_limited(request: WebRequest) -> Result<Bytes, CallerFailure> {
    read_body(request.into_body(), MAX_REQUEST_BYTES)
        .await
        .map_err(|error| {
            let code = match error {
                BodyError::TooLarge(_) => ErrorCode::BodyTooLarge,
                BodyError::Broken(_) | BodyError::Json { .. } => ErrorCode::InvalidRequest,
            };
            CallerFailure::not_run(code, error.to_string())
        })
}

async fn read_json<R: serde::de::DeserializeOwned>(
    request: WebRequest,
) -> Result<R, CallerFailure> {
    let bytes = read_limited(request).await?;
    parse_json(&bytes).map_err(|error| {
        let place = match &error {
            BodyError::Json { place, .. } => place.clone(),
            BodyError::TooLarge(_) | BodyError::Broken(_) => "body".to_owned(),
        };
        CallerFailure::not_run(ErrorCode::InvalidRequest, error.to_string()).at(place)
    })
}

impl<E: EnginePort, T: TableStore, S: ServicePort> WebHandler for EntryServer<E, T, S> {
    async fn answer(&self, request: WebRequest) -> WebAnswer {
        let id = self.new_request();
        match self.route(request, &id).await {
            Ok(answer) => answer,
            Err(failure) => {
                let subject = EventSubject::request(&id);
                self.parts
                    .recorder
                    .note(EventCode::RequestFailed, subject, failure.to_string());
                failure.answer(&id)
            }
        }
    }
}
