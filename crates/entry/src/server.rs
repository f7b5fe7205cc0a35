//! The callers' listener: from a request to the part that answers it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use control::{CallLedger, ConfigView};
use domain::RequestId;
use domain::record::CustomerRecord;
use events::{EventCode, EventSubject};
use http::{HeaderValue, StatusCode, Version, header};
use hyper::body::Body;
use platform::TableStore;
use target::{EngineClient, ServiceClient};
use web::{BodyError, WebHandler, WebRequest, WebResponse, parse_json, read_body, text_response};
use wire::caller::ErrorCode;
use wire::openai::{ChatRequest, CompletionRequest};

use crate::answer::{CompletionCall, answer_completion};
use crate::auth::authenticate;
use crate::call::CallerCall;
use crate::context::EntryContext;
use crate::failure::CallerFailure;
use crate::models::{list_models, show_model};
use crate::order::CompletionAsk;
use crate::routes::{CallerRoute, find_route};
use crate::services::{ServiceDispatcher, find_call};
use crate::shutdown::ShutdownHandle;

/// When to come back to a node that does not know its configuration yet, or that stops.
const NOT_READY_RETRY: Duration = Duration::from_secs(1);

/// The callers' listener.
#[derive(Debug)]
pub struct EntryServer<E, T: TableStore, S> {
    context: EntryContext<E>,
    services: ServiceDispatcher<T, S>,
}

impl<E: EngineClient, T: TableStore, S: ServiceClient> EntryServer<E, T, S> {
    /// A listener.
    #[must_use]
    pub fn new(context: EntryContext<E>, ledger: CallLedger<T>, service: S) -> Self {
        let settings = Arc::clone(&context.settings);
        let services = ServiceDispatcher::new(ledger, service, context.recorder.clone(), settings);
        Self { context, services }
    }

    /// The switch that stops it.
    #[must_use]
    pub fn shutdown_handle(&self) -> ShutdownHandle {
        self.context.shutdown.clone()
    }

    async fn route(
        &self,
        call: &CallerCall,
        body: impl RequestBody,
    ) -> Result<WebResponse, CallerFailure> {
        let route = find_route(&call.method, &call.path)?;
        let view = Arc::clone(&self.context.config.borrow());
        match route {
            CallerRoute::Health => return Ok(text_response(StatusCode::OK, "live\n")),
            CallerRoute::Ready => return self.ready(&view),
            _ => {}
        }
        known_config(&view)?;
        let customer = authenticate(&view, &call.headers)?;
        match route {
            CallerRoute::Health | CallerRoute::Ready => self.ready(&view),
            CallerRoute::Models => Ok(list_models(customer)),
            CallerRoute::Model(name) => show_model(customer, name),
            CallerRoute::Chat => {
                let body: ChatRequest = self.read_json(body).await?;
                self.complete(&view, customer, call, body.try_into()?).await
            }
            CallerRoute::Completion => {
                let body: CompletionRequest = self.read_json(body).await?;
                self.complete(&view, customer, call, body.try_into()?).await
            }
            CallerRoute::Service { name, call: path } => {
                let found = find_call(&view, customer, name, path)?;
                let bytes = self.read_limited(body).await?;
                self.services.call(found, call, bytes).await
            }
        }
    }

    async fn complete(
        &self,
        view: &ConfigView,
        customer: &CustomerRecord,
        call: &CallerCall,
        ask: CompletionAsk,
    ) -> Result<WebResponse, CallerFailure> {
        let completion = CompletionCall {
            view,
            customer,
            headers: &call.headers,
            request: call.request.clone(),
            ask,
        };
        answer_completion(&self.context, completion).await
    }

    fn ready(&self, view: &ConfigView) -> Result<WebResponse, CallerFailure> {
        if self.context.shutdown.is_stopping() {
            let message = "this node stops";
            let failure = CallerFailure::not_run(ErrorCode::NotReady, message);
            return Err(failure.retry(NOT_READY_RETRY));
        }
        known_config(view)?;
        Ok(text_response(StatusCode::OK, "ready\n"))
    }

    async fn read_limited(&self, body: impl RequestBody) -> Result<Bytes, CallerFailure> {
        read_body(body, self.context.settings.max_body_bytes)
            .await
            .map_err(body_failure)
    }

    async fn read_json<R: serde::de::DeserializeOwned>(
        &self,
        body: impl RequestBody,
    ) -> Result<R, CallerFailure> {
        let bytes = self.read_limited(body).await?;
        parse_json(&bytes).map_err(body_failure)
    }

    /// Answers one request, whatever its body is read from.
    pub async fn answer_parts<B: RequestBody>(&self, request: http::Request<B>) -> WebResponse {
        let (head, body) = request.into_parts();
        let call = CallerCall {
            request: self.context.ids.request(),
            method: head.method,
            path: head.uri.path().to_owned(),
            headers: head.headers,
        };
        let mut answer = match self.route(&call, body).await {
            Ok(answer) => answer,
            Err(failure) => self.fail(&call.request, &failure),
        };
        if self.context.shutdown.is_stopping() && head.version < Version::HTTP_2 {
            // The client must not send its next request on a connection that is about to close.
            let value = HeaderValue::from_static("close");
            answer.headers_mut().insert(header::CONNECTION, value);
        }
        answer
    }

    fn fail(&self, request: &RequestId, failure: &CallerFailure) -> WebResponse {
        let subject = EventSubject::request(request);
        let code = match failure.code {
            ErrorCode::Overloaded => EventCode::RequestRefused,
            _ => EventCode::RequestFailed,
        };
        self.context
            .recorder
            .note(code, subject, failure.to_string());
        failure.answer(request)
    }
}

/// Bodies that requests come with.
pub trait RequestBody:
    Body<Data = Bytes, Error: Into<Box<dyn std::error::Error + Send + Sync>>> + Send
{
}

impl<B> RequestBody for B where
    B: Body<Data = Bytes, Error: Into<Box<dyn std::error::Error + Send + Sync>>> + Send
{
}

fn known_config(view: &ConfigView) -> Result<(), CallerFailure> {
    if view.revision.0 > 0 && view.gate.is_open(Instant::now()) {
        return Ok(());
    }
    let message = "this node does not know the configuration in force";
    Err(CallerFailure::not_run(ErrorCode::NotReady, message).retry(NOT_READY_RETRY))
}

/// Place of a parse error as a caller writes it: a body that breaks off inside a field is given
/// with that field, one that can't be read at all as a whole.
fn body_place(path: &str) -> &str {
    match path.trim_end_matches(['.', '?']) {
        "" => "body",
        place => place,
    }
}

fn body_failure(error: BodyError) -> CallerFailure {
    let message = error.to_string();
    match error {
        BodyError::TooLarge(_) => {
            CallerFailure::not_run(ErrorCode::BodyTooLarge, message).at("body")
        }
        BodyError::Broken(_) => {
            CallerFailure::not_run(ErrorCode::InvalidRequest, message).at("body")
        }
        BodyError::Json { place, .. } => {
            CallerFailure::not_run(ErrorCode::InvalidRequest, message).at(body_place(&place))
        }
    }
}

impl<E: EngineClient, T: TableStore, S: ServiceClient> WebHandler for EntryServer<E, T, S> {
    async fn handle(&self, request: WebRequest) -> WebResponse {
        self.answer_parts(request).await
    }
}
