//! Destinations of a response's tokens: a buffer for a complete response, or server-sent events.

use std::future::Future;

use bytes::Bytes;
use tokio::sync::{mpsc, oneshot};
use wire::client_api::{ERROR_EVENT, ErrorBody, RESUME_EVENT};

use crate::error::RequestError;
use crate::formatter::{ResponseFormatter, json_event, text_event};
use crate::progress::GenerationSummary;
use crate::token::{ScopeSigner, StreamOffset};

/// The client closed its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientDisconnected;

/// Receives the tokens of a response.
pub trait ResponseSink: Send + Sync {
    /// Starts an attempt: later tokens belong to it, and `signer` signs its resume tokens.
    fn begin_attempt(&mut self, signer: ScopeSigner, offset: StreamOffset);

    /// Delivers a token, waiting while the client reads slowly.
    ///
    /// # Errors
    ///
    /// [`ClientDisconnected`] if the client has closed the connection.
    fn send_token(
        &mut self,
        text: String,
        offset: StreamOffset,
    ) -> impl Future<Output = Result<(), ClientDisconnected>> + Send;

    /// Completes when the client has disconnected.
    fn disconnected(&self) -> impl Future<Output = ()> + Send;

    /// Returns whether the client can resume the response at another entry.
    fn can_hand_over(&self) -> bool;
}

/// Collects the text of a response that is not streamed.
#[derive(Debug, Default)]
pub struct TextSink {
    /// Text received so far.
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
        // The server drops the whole request when its client disconnects.
        std::future::pending::<()>().await;
    }

    fn can_hand_over(&self) -> bool {
        false
    }
}

/// Sends the decision whether a stream starts with a 200 head or is answered with an error.
pub type HeadSender = oneshot::Sender<Result<(), RequestError>>;

/// Sends a stream as server-sent events.
///
/// The response head is withheld until the first event, so that a request that can't start receives
/// an error status. Clients and load balancers handle a status better than an error event.
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
    /// Creates a sink. A client that resumes a stream has already received its opening chunk.
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

    /// Returns whether the response head has been sent.
    #[must_use]
    pub fn head_sent(&self) -> bool {
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

    /// Completes the stream with the finish reason and the usage, if requested.
    ///
    /// # Errors
    ///
    /// [`ClientDisconnected`] if the client has closed the connection.
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

    /// Ends the stream with an error: as the response itself if no event has been sent, otherwise
    /// as an event with an id that the client can resume from.
    pub async fn fail(&mut self, error: RequestError, body: &ErrorBody) {
        if let Some(head) = self.head.take() {
            let _ = head.send(Err(error));
            return;
        }
        let id = self.event_id();
        let event = json_event(Some(ERROR_EVENT), id.as_deref(), body);
        let _ = self.send(event).await;
    }

    /// Ends the stream with an event that asks the client to resume at another entry.
    pub async fn hand_over(&mut self) {
        let Some(id) = self.event_id() else { return };
        // `EventSource` in browsers waits for `retry` milliseconds before it reconnects.
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
