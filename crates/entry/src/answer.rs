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

use crate::completion::{CompletionEnd, CompletionRun};
use crate::context::EntryContext;
use crate::failure::CallerFailure;
use crate::frame::AnswerFrame;
use crate::headers::{last_event, request_deadline};
use crate::order::{CompletionAsk, CompletionOrder, plan_order};
use crate::progress::AnswerEnd;
use crate::sink::{EventSink, TextSink};
use crate::token::ResumeToken;

/// Events that wait for a slow reader; its engine's stream is then held back.
const EVENT_BUFFER: usize = 64;

/// A completion that a caller asked for.
#[derive(Debug)]
pub struct CompletionCall<'a> {
    /// The configuration in force.
    pub view: &'a ConfigView,
    /// Who calls.
    pub customer: &'a CustomerRecord,
    /// Headers of the request.
    pub headers: &'a HeaderMap,
    /// Name of the request.
    pub request: RequestId,
    /// What is asked for.
    pub ask: CompletionAsk,
}

/// Answers a completion.
///
/// # Errors
///
/// [`CallerFailure`] when it fails before the first event of a stream, or at all when it is not
/// streamed.
pub async fn answer_completion<E: EngineClient>(
    context: &EntryContext<E>,
    call: CompletionCall<'_>,
) -> Result<WebResponse, CallerFailure> {
    let deadline = request_deadline(call.headers, &context.settings)?;
    let resume = opened_token(context, &call)?;
    let stream = call.ask.stream;
    let include_usage = call.ask.include_usage;
    let request = match &resume {
        Some(token) => &token.scope.request,
        None => &call.request,
    };
    let order = plan_order(
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
    let subject = order_subject(&order);
    context
        .recorder
        .note(EventCode::RequestAdmitted, subject, order.model.as_str());
    if stream {
        return answer_stream(context, order, resume, include_usage).await;
    }
    answer_whole(context, &order).await
}

fn order_subject(order: &CompletionOrder) -> EventSubject {
    EventSubject::request(&order.request).and_customer(&order.customer)
}

fn invalid_resume(message: impl Into<String>) -> CallerFailure {
    CallerFailure::not_run(ErrorCode::InvalidResume, message)
        .at(format!("header {LAST_EVENT_HEADER}"))
}

fn opened_token<E: EngineClient>(
    context: &EntryContext<E>,
    call: &CompletionCall<'_>,
) -> Result<Option<ResumeToken>, CallerFailure> {
    let Some(text) = last_event(call.headers)? else {
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

async fn answer_whole<E: EngineClient>(
    context: &EntryContext<E>,
    order: &CompletionOrder,
) -> Result<WebResponse, CallerFailure> {
    let mut sink = TextSink::default();
    match CompletionRun::new(context, order).run(&mut sink).await {
        CompletionEnd::Finished(end) => {
            note_answered(context, order, &end);
            let body = AnswerFrame::new(order).whole(sink.text, &end);
            Ok(json_response(StatusCode::OK, &body))
        }
        CompletionEnd::Failed(failure) => Err(failure),
        CompletionEnd::CallerGone | CompletionEnd::HandOver => {
            let message = "the answer was left before its end";
            Err(CallerFailure::unknown(ErrorCode::Internal, message))
        }
    }
}

async fn answer_stream<E: EngineClient>(
    context: &EntryContext<E>,
    order: CompletionOrder,
    resume: Option<ResumeToken>,
    include_usage: bool,
) -> Result<WebResponse, CallerFailure> {
    let (events, body) = channel_body(EVENT_BUFFER);
    let (head, begun) = oneshot::channel();
    let frame = AnswerFrame::new(&order);
    let sink = EventSink::new(frame, events, head, include_usage, resume.is_some());
    tokio::spawn(feed_stream(context.clone(), order, resume, sink));
    match begun.await {
        Ok(Ok(())) => {}
        Ok(Err(failure)) => return Err(failure),
        Err(_) => {
            let message = "the stream ended before it began";
            return Err(CallerFailure::unknown(ErrorCode::Internal, message));
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
    order: CompletionOrder,
    resume: Option<ResumeToken>,
    mut sink: EventSink,
) {
    let run = CompletionRun::new(&context, &order);
    let end = match &resume {
        Some(token) => run.resume(token, &mut sink).await,
        None => run.run(&mut sink).await,
    };
    let subject = order_subject(&order);
    match end {
        CompletionEnd::Finished(end) => {
            if sink.finish(&end).await.is_ok() {
                note_answered(&context, &order, &end);
                return;
            }
            context
                .recorder
                .note(EventCode::CallerLeft, subject, "at the end of the answer");
        }
        CompletionEnd::CallerGone => {
            context
                .recorder
                .note(EventCode::CallerLeft, subject, "within the answer");
        }
        CompletionEnd::HandOver => {
            context
                .recorder
                .note(EventCode::StreamHandedOver, subject, "");
            sink.hand_over().await;
        }
        CompletionEnd::Failed(failure) => {
            let body = failure.body(&order.request);
            if sink.has_begun() {
                context
                    .recorder
                    .note(EventCode::RequestFailed, subject, failure.to_string());
            }
            sink.fail(failure, &body).await;
        }
    }
}

fn note_answered<E: EngineClient>(
    context: &EntryContext<E>,
    order: &CompletionOrder,
    end: &AnswerEnd,
) {
    let detail = format!("{} tokens", end.count);
    context
        .recorder
        .note(EventCode::RequestAnswered, order_subject(order), detail);
}
