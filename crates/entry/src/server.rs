//! HTTP handler of the client listener.

use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use control::{CallLedger, ConfigView};
use domain::RequestId;
use domain::record::CustomerRecord;
use events::{EventCode, EventSubject};
use http::{HeaderValue, StatusCode, Version, header};
use http_body_util::BodyExt as _;
use hyper::body::Body;
use intake::PlaceReport;
use platform::TableStore;
use target::{EngineClient, ServiceClient};
use web::{
    BodyError, ConnectionCloser, WebHandler, WebRequest, WebResponse, parse_json, text_response,
};
use wire::client_api::ErrorCode;
use wire::openai::{ChatRequest, CompletionRequest};

use crate::auth::authenticate;
use crate::completion_handler::{IncomingCompletion, handle_completion};
use crate::context::EntryContext;
use crate::error::RequestError;
use crate::generation::CompletionParams;
use crate::held_memory::{BodyFailure, HeldBody, HeldMemory, MemoryLimits, RequestRoom};
use crate::held_response::HeldResponse;
use crate::models::{list_models, show_model};
use crate::request_head::RequestHead;
use crate::routes::{Route, find_route};
use crate::services::{ServiceDispatcher, resolve_call};
use crate::shutdown::ShutdownHandle;

/// Retry delay of a request whose body found no room; other nodes may have some.
const NO_ROOM_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Retry delay while the node is shutting down or its configuration is not up to date.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Serves the client API.
#[derive(Debug)]
pub struct EntryServer<E, T: TableStore, S> {
    context: EntryContext<E>,
    services: ServiceDispatcher<T, S>,
    memory: HeldMemory,
}

impl<E: EngineClient, T: TableStore, S: ServiceClient> EntryServer<E, T, S> {
    /// Creates a server; `ledger` and `service` are used for calls of plain services.
    #[must_use]
    pub fn new(context: EntryContext<E>, ledger: CallLedger<T>, service: S) -> Self {
        let settings = Arc::clone(&context.settings);
        let services = ServiceDispatcher::new(ledger, service, context.recorder.clone(), settings);
        let settings = &context.settings;
        let memory = HeldMemory::new(MemoryLimits {
            max_bytes: settings.held_memory_bytes,
            body_timeout: settings.body_timeout(),
        });
        Self {
            context,
            services,
            memory,
        }
    }

    /// Reports clients that were cut off for others; never returns.
    pub async fn report_cuts(&self) {
        self.memory.report_cuts(&self.context.recorder).await;
    }

    /// Returns the handle that controls the shutdown of this server.
    #[must_use]
    pub fn shutdown_handle(&self) -> ShutdownHandle {
        self.context.shutdown.clone()
    }

    async fn route(
        &self,
        head: &RequestHead,
        body: impl RequestBody,
    ) -> Result<WebResponse, RequestError> {
        let route = find_route(&head.method, &head.path)?;
        let view = Arc::clone(&self.context.config.borrow());
        match route {
            Route::Health => return Ok(text_response(StatusCode::OK, "live\n")),
            Route::Ready => return self.readiness(&view),
            _ => {}
        }
        require_current_config(&view)?;
        let customer = authenticate(&view, &head.headers)?;
        match route {
            Route::Health | Route::Ready => self.readiness(&view),
            Route::Models => Ok(list_models(customer)),
            Route::Model(name) => show_model(customer, name),
            Route::Chat => {
                let (body, room): (ChatRequest, _) = self.read_json(body).await?;
                let params = body.try_into()?;
                let response = self.start_completion(&view, customer, head, params).await?;
                Ok(hold_until_sent(response, room, head))
            }
            Route::Completion => {
                let (body, room): (CompletionRequest, _) = self.read_json(body).await?;
                let params = body.try_into()?;
                let response = self.start_completion(&view, customer, head, params).await?;
                Ok(hold_until_sent(response, room, head))
            }
            Route::Service { name, call: path } => {
                let resolved = resolve_call(&view, customer, name, path)?;
                let HeldBody { bytes, room } = self.read_limited(body).await?;
                let response = self.services.call(resolved, head, bytes).await?;
                Ok(hold_until_sent(response, room, head))
            }
        }
    }

    async fn start_completion(
        &self,
        view: &ConfigView,
        customer: &CustomerRecord,
        head: &RequestHead,
        params: CompletionParams,
    ) -> Result<WebResponse, RequestError> {
        let incoming = IncomingCompletion {
            view,
            customer,
            headers: &head.headers,
            request_id: head.id.clone(),
            params,
        };
        handle_completion(&self.context, incoming).await
    }

    fn readiness(&self, view: &ConfigView) -> Result<WebResponse, RequestError> {
        if self.context.shutdown.is_stopping() {
            let message = "this node is shutting down";
            let error = RequestError::not_run(ErrorCode::NotReady, message);
            return Err(error.with_retry_after(NOT_READY_RETRY_AFTER));
        }
        require_current_config(view)?;
        Ok(text_response(StatusCode::OK, "ready\n"))
    }

    async fn read_limited(&self, body: impl RequestBody) -> Result<HeldBody, RequestError> {
        let reading = self.memory.read(body, self.context.settings.max_body_bytes);
        reading.await.map_err(|failure| match failure {
            BodyFailure::Unreadable(error) => body_error(error),
            BodyFailure::NoRoom => {
                let message = "this node holds as much for its clients as it may";
                let error = RequestError::not_run(ErrorCode::Overloaded, message);
                error.with_retry_after(NO_ROOM_RETRY_AFTER)
            }
            BodyFailure::Late => {
                let message = "the request body came too slowly";
                RequestError::not_run(ErrorCode::BodyLate, message).with_param("body")
            }
        })
    }

    async fn read_json<R: serde::de::DeserializeOwned>(
        &self,
        body: impl RequestBody,
    ) -> Result<(R, RequestRoom), RequestError> {
        let HeldBody { bytes, room } = self.read_limited(body).await?;
        let parsed = parse_json(&bytes).map_err(body_error)?;
        Ok((parsed, room))
    }

    /// Handles one request with any body type. Errors become responses.
    pub async fn handle_request<B: RequestBody>(&self, request: http::Request<B>) -> WebResponse {
        let (mut request_parts, body) = request.into_parts();
        let closer = request_parts.extensions.remove::<ConnectionCloser>();
        let head = RequestHead {
            id: self.context.ids.request_id(),
            method: request_parts.method,
            path: request_parts.uri.path().to_owned(),
            headers: request_parts.headers,
            // Without a connection there is nothing to close.
            closer: closer.unwrap_or_default(),
        };
        let mut response = match self.route(&head, body).await {
            Ok(response) => response,
            Err(error) => self.error_response(&head.id, &error),
        };
        if self.context.shutdown.is_stopping() && request_parts.version < Version::HTTP_2 {
            // The client must not send another request on a connection that is about to be closed.
            let value = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, value);
        }
        response
    }

    fn error_response(&self, request_id: &RequestId, error: &RequestError) -> WebResponse {
        let subject = EventSubject::request(request_id);
        let code = match error.code {
            ErrorCode::Overloaded => EventCode::RequestRefused,
            _ => EventCode::RequestFailed,
        };
        self.context
            .recorder
            .record(code, subject, error.to_string());
        error.response(request_id)
    }
}

/// Keeps the room of a request until its client has taken the response.
fn hold_until_sent(response: WebResponse, room: RequestRoom, head: &RequestHead) -> WebResponse {
    response.map(|body| HeldResponse::new(body, room, head.closer.clone()).boxed_unsync())
}

/// Request bodies that the server accepts.
pub trait RequestBody:
    Body<Data = Bytes, Error: Into<Box<dyn std::error::Error + Send + Sync>>> + Send
{
}

impl<B> RequestBody for B where
    B: Body<Data = Bytes, Error: Into<Box<dyn std::error::Error + Send + Sync>>> + Send
{
}

fn require_current_config(view: &ConfigView) -> Result<(), RequestError> {
    if view.revision.0 > 0 && view.gate.is_open(Instant::now()) {
        return Ok(());
    }
    let message = "the configuration of this node is not up to date";
    Err(RequestError::not_run(ErrorCode::NotReady, message).with_retry_after(NOT_READY_RETRY_AFTER))
}

/// Converts the location of a JSON error for `param`: the field if the error is inside one,
/// otherwise `body`.
fn body_param(path: &str) -> &str {
    match path.trim_end_matches(['.', '?']) {
        "" => "body",
        param => param,
    }
}

fn body_error(error: BodyError) -> RequestError {
    let message = error.to_string();
    match error {
        BodyError::TooLarge(_) => {
            RequestError::not_run(ErrorCode::BodyTooLarge, message).with_param("body")
        }
        BodyError::Incomplete(_) => {
            RequestError::not_run(ErrorCode::InvalidRequest, message).with_param("body")
        }
        BodyError::Json { place, .. } => {
            RequestError::not_run(ErrorCode::InvalidRequest, message).with_param(body_param(&place))
        }
    }
}

impl<E: EngineClient, T: TableStore, S: ServiceClient> WebHandler for EntryServer<E, T, S> {
    async fn handle(&self, request: WebRequest) -> WebResponse {
        self.handle_request(request).await
    }

    fn refuse(&self) -> WebResponse {
        let message = "this node handles as many requests as it may at once";
        let error = RequestError::not_run(ErrorCode::Overloaded, message);
        let error = error.with_retry_after(NO_ROOM_RETRY_AFTER);
        self.error_response(&self.context.ids.request_id(), &error)
    }

    fn record_displaced(&self, report: PlaceReport) {
        let recorder = &self.context.recorder;
        let subject = EventSubject::default();
        recorder.record(EventCode::ConnectionsDisplaced, subject, report.to_string());
    }

    fn record_accept_failure(&self, error: &io::Error) {
        let recorder = &self.context.recorder;
        let subject = EventSubject::default();
        recorder.record(EventCode::AcceptFailed, subject, error.to_string());
    }
}
