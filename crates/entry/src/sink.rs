//! Where an answer's tokens go: into one text, or as events to the caller.

use std::future::Future;

use bytes::Bytes;
use tokio::sync::{mpsc, oneshot};
use wire::caller::{ERROR_EVENT, ErrorBody, RESUME_EVENT};

use crate::error::RequestError;
use crate::formatter::{ResponseFormatter, json_event, text_event};
use crate::progress::GenerationSummary;
use crate::token::{ScopeSigner, StreamOffset};

/// The caller closed its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientDisconnected;

/// Takes the tokens of an answer.
pub trait ResponseSink: Send + Sync {
    /// A new attempt feeds the answer from here on.
    fn begin_attempt(&mut self, signer: ScopeSigner, offset: StreamOffset);

    /// Takes a token; waits while the caller reads slowly.
    ///
    /// # Errors
    ///
    /// [`ClientDisconnected`].
    fn send_token(
        &mut self,
        text: String,
        offset: StreamOffset,
    ) -> impl Future<Output = Result<(), ClientDisconnected>> + Send;

    /// Completes when the caller is gone.
    fn disconnected(&self) -> impl Future<Output = ()> + Send;

    /// Whether the caller can go on with the answer at another entry.
    fn can_hand_over(&self) -> bool;
}

/// Collects the text of a whole answer.
#[derive(Debug, Default)]
pub struct TextSink {
    /// The text so far.
    pub text: String,
}

impl ResponseSink for TextSink {
    fn begin_attempt(&mut self, _: ScopeSigner, _: StreamOffset) {}

    async fn send_token(
        &mut self,
        text: String,
        _: StreamOffset,
    ) -> Result<(), ClientDisconnected> {
        self.text.push_str(&text);
        Ok(())
    }

    async fn disconnected(&self) {
        // The server drops the whole request when its caller goes.
        std::future::pending::<()>().await;
    }

    fn can_hand_over(&self) -> bool {
        false
    }
}

/// Whether a stream can be answered with a head and events, or with an error.
pub type HeadSender = oneshot::Sender<Result<(), RequestError>>;

/// Sends the events of a stream.
///
/// The answer's head is held back until the first event, so that a request that can't begin gets
/// an error with its status, which clients and balancers understand better than an event.
#[derive(Debug)]
pub struct EventSink {
    formatter: ResponseFormatter,
    events: mpsc::Sender<Bytes>,
    head: Option<HeadSender>,
    signer: Option<ScopeSigner>,
    offset: StreamOffset,
    include_usage: bool,
    opening_sent: bool,
}

impl EventSink {
    /// A sink for a stream; a caller that goes on with an earlier one got its opening already.
    #[must_use]
    pub fn new(
        formatter: ResponseFormatter,
        events: mpsc::Sender<Bytes>,
        head: HeadSender,
        include_usage: bool,
        resumed: bool,
    ) -> Self {
        Self {
            formatter,
            events,
            head: Some(head),
            signer: None,
            offset: StreamOffset::default(),
            include_usage,
            opening_sent: resumed,
        }
    }

    /// Whether the caller has the answer's head.
    #[must_use]
    pub fn has_begun(&self) -> bool {
        self.head.is_none()
    }

    fn event_id(&self) -> Option<String> {
        let signer = self.signer.as_ref()?;
        Some(signer.sign(self.offset))
    }

    async fn send(&mut self, event: Bytes) -> Result<(), ClientDisconnected> {
        if let Some(head) = self.head.take() {
            head.send(Ok(())).map_err(|_| ClientDisconnected)?;
        }
        self.events
            .send(event)
            .await
            .map_err(|_| ClientDisconnected)
    }

    async fn send_opening(&mut self, id: Option<&str>) -> Result<(), ClientDisconnected> {
        if self.opening_sent {
            return Ok(());
        }
        self.opening_sent = true;
        match self.formatter.opening_chunk() {
            Some(body) => self.send(json_event(None, id, &body)).await,
            None => Ok(()),
        }
    }

    /// Ends the stream as whole.
    ///
    /// # Errors
    ///
    /// [`ClientDisconnected`].
    pub async fn finish(&mut self, summary: &GenerationSummary) -> Result<(), ClientDisconnected> {
        let id = self.event_id();
        self.send_opening(id.as_deref()).await?;
        let finish = self.formatter.finish_chunk(summary);
        self.send(json_event(None, id.as_deref(), &finish)).await?;
        if self.include_usage {
            let usage = self.formatter.usage_chunk(summary);
            self.send(json_event(None, id.as_deref(), &usage)).await?;
        }
        self.send(text_event(None, id.as_deref(), "[DONE]")).await
    }

    /// Ends the stream in an error: as the answer itself before the first event, else as an event
    /// whose id still allows to go on.
    pub async fn fail(&mut self, error: RequestError, body: &ErrorBody) {
        if let Some(head) = self.head.take() {
            let _ = head.send(Err(error));
            return;
        }
        let id = self.event_id();
        let event = json_event(Some(ERROR_EVENT), id.as_deref(), body);
        let _ = self.send(event).await;
    }

    /// Ends the stream with the request to go on at another entry.
    pub async fn hand_over(&mut self) {
        let Some(id) = self.event_id() else { return };
        // Event sources of browsers wait as long as `retry` says before they connect again.
        let data = r#"{"resume":true}"#;
        let event = format!("event: {RESUME_EVENT}\nretry: 100\nid: {id}\ndata: {data}\n\n");
        let _ = self.send(Bytes::from(event)).await;
    }
}

impl ResponseSink for EventSink {
    fn begin_attempt(&mut self, signer: ScopeSigner, offset: StreamOffset) {
        self.signer = Some(signer);
        self.offset = offset;
    }

    async fn send_token(
        &mut self,
        text: String,
        offset: StreamOffset,
    ) -> Result<(), ClientDisconnected> {
        if !self.opening_sent {
            let id = self.event_id();
            self.send_opening(id.as_deref()).await?;
        }
        self.offset = offset;
        let id = self.event_id();
        let body = self.formatter.token_chunk(&text);
        self.send(json_event(None, id.as_deref(), &body)).await
    }

    async fn disconnected(&self) {
        self.events.closed().await;
    }

    fn can_hand_over(&self) -> bool {
        self.signer.is_some()
    }
}
