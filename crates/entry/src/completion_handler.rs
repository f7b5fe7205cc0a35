//! HTTP handling of completions, as complete responses or event streams.

use control::ConfigView;
use domain::RequestId;
use domain::record::CustomerRecord;
use events::{EventCode, EventSubject};
use http::{HeaderMap, HeaderValue, StatusCode, header};
use target::EngineClient;
use tokio::sync::oneshot;
use web::body::channel_body;
use web::{WebResponse, json_response};
use wire::client_api::{ErrorCode, LAST_EVENT_ID_HEADER};

use crate::completion::{CompletionResult, CompletionRun};
use crate::context::EntryContext;
use crate::error::RequestError;
use crate::formatter::ResponseFormatter;
use crate::generation::{CompletionParams, GenerationRequest, build_request};
use crate::headers::{last_event_id, request_deadline};
use crate::progress::GenerationSummary;
use crate::sink::{EventSink, TextSink};
use crate::token::ResumeToken;

/// Number of events buffered for a slow client. When the buffer is full, the engine's stream is
/// throttled.
const EVENT_BUFFER_CAPACITY: usize = 64;

/// A completion request with its authenticated customer.
#[derive(Debug)]
pub struct IncomingCompletion<'a> {
    /// Configuration to validate the request against.
    pub view: &'a ConfigView,
    /// Customer that the API key belongs to.
    pub customer: &'a CustomerRecord,
    /// Headers with the timeout and the resume token.
    pub headers: &'a HeaderMap,
    /// Id for the request, unless it resumes an earlier one.
    pub request_id: RequestId,
    /// Parsed body.
    pub params: CompletionParams,
}

/// Handles a completion request.
///
/// # Errors
///
/// [`RequestError`] if the request fails before the first event of a stream or, if it is not
/// streamed, at any time.
pub async fn handle_completion<E: EngineClient>(
    context: &EntryContext<E>,
    incoming: IncomingCompletion<'_>,
) -> Result<WebResponse, RequestError> {
    let deadline = request_deadline(incoming.headers, &context.settings)?;
    let resume_token = verified_token(context, &incoming)?;
    let stream = incoming.params.stream;
    let include_usage = incoming.params.include_usage;
    let request_id = match &resume_token {
        Some(token) => &token.scope.request,
        None => &incoming.request_id,
    };
    let request = build_request(
        incoming.view,
        incoming.customer,
        &context.settings,
        incoming.params,
        request_id,
        deadline,
    )?;
    if let Some(token) = &resume_token
        && token.scope.content != request.content()
    {
        let message = "the request differs from the one that started the stream";
        return Err(invalid_resume(message));
    }
    let subject = request_subject(&request);
    context
        .recorder
        .record(EventCode::RequestAdmitted, subject, request.model.as_str());
    if stream {
        return respond_streaming(context, request, resume_token, include_usage).await;
    }
    respond_complete(context, &request).await
}

fn request_subject(request: &GenerationRequest) -> EventSubject {
    EventSubject::request(&request.id).with_customer(&request.customer)
}

fn invalid_resume(message: impl Into<String>) -> RequestError {
    RequestError::not_run(ErrorCode::InvalidResume, message)
        .with_param(format!("header {LAST_EVENT_ID_HEADER}"))
}

fn verified_token<E: EngineClient>(
    context: &EntryContext<E>,
    incoming: &IncomingCompletion<'_>,
) -> Result<Option<ResumeToken>, RequestError> {
    let Some(text) = last_event_id(incoming.headers)? else {
        return Ok(None);
    };
    if !incoming.params.stream {
        return Err(invalid_resume("only streamed responses can be resumed"));
    }
    let token = context
        .signer
        .verify(text)
        .map_err(|error| invalid_resume(error.to_string()))?;
    if token.scope.customer != incoming.customer.name {
        // Same message as for an invalid signature, so that nothing is revealed about the owner.
        let message = crate::token::TokenError::InvalidSignature.to_string();
        return Err(invalid_resume(message));
    }
    Ok(Some(token))
}

async fn respond_complete<E: EngineClient>(
    context: &EntryContext<E>,
    request: &GenerationRequest,
) -> Result<WebResponse, RequestError> {
    let mut sink = TextSink::default();
    match CompletionRun::new(context, request).run(&mut sink).await {
        CompletionResult::Finished(summary) => {
            record_completed(context, request, &summary);
            let body = ResponseFormatter::new(request).complete(sink.text, &summary);
            Ok(json_response(StatusCode::OK, &body))
        }
        CompletionResult::Failed(error) => Err(error),
        CompletionResult::ClientDisconnected | CompletionResult::HandOver => {
            let message = "the response was abandoned before it was complete";
            Err(RequestError::unknown(ErrorCode::Internal, message))
        }
    }
}

async fn respond_streaming<E: EngineClient>(
    context: &EntryContext<E>,
    request: GenerationRequest,
    resume_token: Option<ResumeToken>,
    include_usage: bool,
) -> Result<WebResponse, RequestError> {
    let (events, body) = channel_body(EVENT_BUFFER_CAPACITY);
    let (head, head_result) = oneshot::channel();
    let formatter = ResponseFormatter::new(&request);
    let sink = EventSink::new(
        formatter,
        events,
        head,
        include_usage,
        resume_token.is_some(),
    );
    tokio::spawn(run_stream(context.clone(), request, resume_token, sink));
    match head_result.await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => return Err(error),
        Err(_) => {
            let message = "the stream ended before its first event";
            return Err(RequestError::unknown(ErrorCode::Internal, message));
        }
    }
    let mut response = http::Response::new(body);
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("text/event-stream"),
    );
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    Ok(response)
}

async fn run_stream<E: EngineClient>(
    context: EntryContext<E>,
    request: GenerationRequest,
    resume_token: Option<ResumeToken>,
    mut sink: EventSink,
) {
    let run = CompletionRun::new(&context, &request);
    let result = match &resume_token {
        Some(token) => run.resume(token, &mut sink).await,
        None => run.run(&mut sink).await,
    };
    let subject = request_subject(&request);
    match result {
        CompletionResult::Finished(summary) => {
            if sink.finish(&summary).await.is_ok() {
                record_completed(&context, &request, &summary);
                return;
            }
            context
                .recorder
                .record(EventCode::CallerLeft, subject, "at the end of the response");
        }
        CompletionResult::ClientDisconnected => {
            context
                .recorder
                .record(EventCode::CallerLeft, subject, "during the response");
        }
        CompletionResult::HandOver => {
            context
                .recorder
                .record(EventCode::StreamHandedOver, subject, "");
            sink.hand_over().await;
        }
        CompletionResult::Failed(error) => {
            let body = error.body(&request.id);
            if sink.head_sent() {
                context
                    .recorder
                    .record(EventCode::RequestFailed, subject, error.to_string());
            }
            sink.fail(error, &body).await;
        }
    }
}

fn record_completed<E: EngineClient>(
    context: &EntryContext<E>,
    request: &GenerationRequest,
    summary: &GenerationSummary,
) {
    let detail = format!("{} tokens", summary.count);
    context
        .recorder
        .record(EventCode::RequestAnswered, request_subject(request), detail);
}
