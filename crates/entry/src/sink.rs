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
    fn begin(&mut self, signer: ScopeSigner, offset: StreamOffset);

    /// Takes a token; waits while the caller reads slowly.
    ///
    /// # Errors
    ///
    /// [`ClientDisconnected`].
    fn token(
        &mut self,
        text: String,
        offset: StreamOffset,
    ) -> impl Future<Output = Result<(), ClientDisconnected>> + Send;

    /// Completes when the caller is gone.
    fn gone(&self) -> impl Future<Output = ()> + Send;

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
    fn begin(&mut self, _: ScopeSigner, _: StreamOffset) {}

    async fn token(&mut self, text: String, _: StreamOffset) -> Result<(), ClientDisconnected> {
        self.text.push_str(&text);
        Ok(())
    }

    async fn gone(&self) {
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
    frame: ResponseFormatter,
    events: mpsc::Sender<Bytes>,
    head: Option<HeadSender>,
    signer: Option<ScopeSigner>,
    offset: StreamOffset,
    include_usage: bool,
    opened: bool,
}

impl EventSink {
    /// A sink for a stream; a caller that goes on with an earlier one got its opening already.
    #[must_use]
    pub fn new(
        frame: ResponseFormatter,
        events: mpsc::Sender<Bytes>,
        head: HeadSender,
        include_usage: bool,
        resumed: bool,
    ) -> Self {
        Self {
            frame,
            events,
            head: Some(head),
            signer: None,
            offset: StreamOffset::default(),
            include_usage,
            opened: resumed,
        }
    }

    /// Whether the caller has the answer's head.
    #[must_use]
    pub fn has_begun(&self) -> bool {
        self.head.is_none()
    }

    fn id(&self) -> Option<String> {
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

    async fn open(&mut self, id: Option<&str>) -> Result<(), ClientDisconnected> {
        if self.opened {
            return Ok(());
        }
        self.opened = true;
        match self.frame.opening() {
            Some(body) => self.send(json_event(None, id, &body)).await,
            None => Ok(()),
        }
    }

    /// Ends the stream as whole.
    ///
    /// # Errors
    ///
    /// [`ClientDisconnected`].
    pub async fn finish(&mut self, end: &GenerationSummary) -> Result<(), ClientDisconnected> {
        let id = self.id();
        self.open(id.as_deref()).await?;
        let finish = self.frame.finish(end);
        self.send(json_event(None, id.as_deref(), &finish)).await?;
        if self.include_usage {
            let usage = self.frame.usage(end);
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
        let id = self.id();
        let event = json_event(Some(ERROR_EVENT), id.as_deref(), body);
        let _ = self.send(event).await;
    }

    /// Ends the stream with the request to go on at another entry.
    pub async fn hand_over(&mut self) {
        let Some(id) = self.id() else { return };
        // Event sources of browsers wait as long as `retry` says before they connect again.
        let data = r#"{"resume":true}"#;
        let event = format!("event: {RESUME_EVENT}\nretry: 100\nid: {id}\ndata: {data}\n\n");
        let _ = self.send(Bytes::from(event)).await;
    }
}

impl ResponseSink for EventSink {
    fn begin(&mut self, signer: ScopeSigner, offset: StreamOffset) {
        self.signer = Some(signer);
        self.offset = offset;
    }

    async fn token(
        &mut self,
        text: String,
        offset: StreamOffset,
    ) -> Result<(), ClientDisconnected> {
        if !self.opened {
            let id = self.id();
            self.open(id.as_deref()).await?;
        }
        self.offset = offset;
        let id = self.id();
        let body = self.frame.token(&text);
        self.send(json_event(None, id.as_deref(), &body)).await
    }

    async fn gone(&self) {
        self.events.closed().await;
    }

    fn can_hand_over(&self) -> bool {
        self.signer.is_some()
    }
}
