//! Answers to completions: whole, or as a stream of events.

use control::ConfigView;
use domain::RequestId;
use domain::record::CustomerRecord;
use events::{EventCode, EventSubject};
use http::{HeaderMap, HeaderValue, StatusCode, header};
use target::EngineClient;
use tokio::sync::oneshot;
use web::body::channel_body;
use web::{WebResponse, json_response};
use wire::caller::{ErrorCode, LAST_EVENT_HEADER};

use crate::completion::{CompletionResult, CompletionRun};
use crate::context::EntryContext;
use crate::error::RequestError;
use crate::formatter::ResponseFormatter;
use crate::generation::{CompletionParams, GenerationRequest, build_request};
use crate::headers::{last_event_id, request_deadline};
use crate::progress::GenerationSummary;
use crate::sink::{EventSink, TextSink};
use crate::token::ResumeToken;

/// Events that wait for a slow reader; its engine's stream is then held back.
const EVENT_BUFFER_CAPACITY: usize = 64;

/// A completion that a caller asked for.
#[derive(Debug)]
pub struct CompletionContext<'a> {
    /// The configuration in force.
    pub view: &'a ConfigView,
    /// Who calls.
    pub customer: &'a CustomerRecord,
    /// Headers of the request.
    pub headers: &'a HeaderMap,
    /// Name of the request.
    pub request: RequestId,
    /// What is asked for.
    pub ask: CompletionParams,
}

/// Answers a completion.
///
/// # Errors
///
/// [`RequestError`] when it fails before the first event of a stream, or at all when it is not
/// streamed.
pub async fn handle_completion<E: EngineClient>(
    context: &EntryContext<E>,
    call: CompletionContext<'_>,
) -> Result<WebResponse, RequestError> {
    let deadline = request_deadline(call.headers, &context.settings)?;
    let resume = verified_token(context, &call)?;
    let stream = call.ask.stream;
    let include_usage = call.ask.include_usage;
    let request = match &resume {
        Some(token) => &token.scope.request,
        None => &call.request,
    };
    let order = build_request(
        call.view,
        call.customer,
        &context.settings,
        call.ask,
        request,
        deadline,
    )?;
    if let Some(token) = &resume
        && token.scope.content != order.content()
    {
        let message = "the request differs from the one that the stream answers";
        return Err(invalid_resume(message));
    }
    let subject = request_subject(&order);
    context
        .recorder
        .note(EventCode::RequestAdmitted, subject, order.model.as_str());
    if stream {
        return respond_streaming(context, order, resume, include_usage).await;
    }
    respond_whole(context, &order).await
}

fn request_subject(order: &GenerationRequest) -> EventSubject {
    EventSubject::request(&order.request).and_customer(&order.customer)
}

fn invalid_resume(message: impl Into<String>) -> RequestError {
    RequestError::not_run(ErrorCode::InvalidResume, message)
        .at(format!("header {LAST_EVENT_HEADER}"))
}

fn verified_token<E: EngineClient>(
    context: &EntryContext<E>,
    call: &CompletionContext<'_>,
) -> Result<Option<ResumeToken>, RequestError> {
    let Some(text) = last_event_id(call.headers)? else {
        return Ok(None);
    };
    if !call.ask.stream {
        return Err(invalid_resume("only a streamed answer can be gone on with"));
    }
    let token = context
        .signer
        .verify(text)
        .map_err(|error| invalid_resume(error.to_string()))?;
    if token.scope.customer != call.customer.name {
        // The same words as for a forged one: a stranger learns nothing of whose it is.
        let message = crate::token::TokenError::InvalidSignature.to_string();
        return Err(invalid_resume(message));
    }
    Ok(Some(token))
}

async fn respond_whole<E: EngineClient>(
    context: &EntryContext<E>,
    order: &GenerationRequest,
) -> Result<WebResponse, RequestError> {
    let mut sink = TextSink::default();
    match CompletionRun::new(context, order).run(&mut sink).await {
        CompletionResult::Finished(end) => {
            record_answered(context, order, &end);
            let body = ResponseFormatter::new(order).whole(sink.text, &end);
            Ok(json_response(StatusCode::OK, &body))
        }
        CompletionResult::Failed(error) => Err(error),
        CompletionResult::ClientDisconnected | CompletionResult::HandOver => {
            let message = "the answer was left before its end";
            Err(RequestError::unknown(ErrorCode::Internal, message))
        }
    }
}

async fn respond_streaming<E: EngineClient>(
    context: &EntryContext<E>,
    order: GenerationRequest,
    resume: Option<ResumeToken>,
    include_usage: bool,
) -> Result<WebResponse, RequestError> {
    let (events, body) = channel_body(EVENT_BUFFER_CAPACITY);
    let (head, begun) = oneshot::channel();
    let frame = ResponseFormatter::new(&order);
    let sink = EventSink::new(frame, events, head, include_usage, resume.is_some());
    tokio::spawn(feed_stream(context.clone(), order, resume, sink));
    match begun.await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => return Err(error),
        Err(_) => {
            let message = "the stream ended before it began";
            return Err(RequestError::unknown(ErrorCode::Internal, message));
        }
    }
    let mut answer = http::Response::new(body);
    let headers = answer.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("text/event-stream"),
    );
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    Ok(answer)
}

async fn feed_stream<E: EngineClient>(
    context: EntryContext<E>,
    order: GenerationRequest,
    resume: Option<ResumeToken>,
    mut sink: EventSink,
) {
    let run = CompletionRun::new(&context, &order);
    let end = match &resume {
        Some(token) => run.resume(token, &mut sink).await,
        None => run.run(&mut sink).await,
    };
    let subject = request_subject(&order);
    match end {
        CompletionResult::Finished(end) => {
            if sink.finish(&end).await.is_ok() {
                record_answered(&context, &order, &end);
                return;
            }
            context
                .recorder
                .note(EventCode::CallerLeft, subject, "at the end of the answer");
        }
        CompletionResult::ClientDisconnected => {
            context
                .recorder
                .note(EventCode::CallerLeft, subject, "within the answer");
        }
        CompletionResult::HandOver => {
            context
                .recorder
                .note(EventCode::StreamHandedOver, subject, "");
            sink.hand_over().await;
        }
        CompletionResult::Failed(error) => {
            let body = error.body(&order.request);
            if sink.has_begun() {
                context
                    .recorder
                    .note(EventCode::RequestFailed, subject, error.to_string());
            }
            sink.fail(error, &body).await;
        }
    }
}

fn record_answered<E: EngineClient>(
    context: &EntryContext<E>,
    order: &GenerationRequest,
    end: &GenerationSummary,
) {
    let detail = format!("{} tokens", end.count);
    context
        .recorder
        .note(EventCode::RequestAnswered, request_subject(order), detail);
}
