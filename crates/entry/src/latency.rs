//! Latency metrics: time to first token and time between tokens.

use std::time::Instant;

use domain::ModelName;
use events::{EventRecorder, NodeMetrics};

use crate::sink::{ClientDisconnected, ResponseSink};
use crate::token::{ScopeSigner, StreamOffset};

/// Sink that records the latency of tokens before passing them on.
pub struct LatencySink<'a, A> {
    sink: &'a mut A,
    metrics: Option<NodeMetrics>,
    model: &'a ModelName,
    started: Instant,
    last_token: Option<Instant>,
}

impl<'a, A: ResponseSink> LatencySink<'a, A> {
    /// Wraps `sink`; the time to first token is measured from this call.
    pub fn new(sink: &'a mut A, recorder: &EventRecorder, model: &'a ModelName) -> Self {
        Self {
            sink,
            metrics: recorder.metrics().cloned(),
            model,
            started: Instant::now(),
            last_token: None,
        }
    }

    fn record_token(&mut self) {
        let now = Instant::now();
        let last_token = self.last_token.replace(now);
        let Some(metrics) = &self.metrics else { return };
        match last_token {
            Some(last_token) => metrics.record_token_gap(self.model.as_str(), now - last_token),
            None => metrics.record_first_token(self.model.as_str(), now - self.started),
        }
    }
}

impl<A: ResponseSink> ResponseSink for LatencySink<'_, A> {
    fn begin_attempt(&mut self, signer: ScopeSigner, offset: StreamOffset) {
        self.sink.begin_attempt(signer, offset);
    }

    async fn send_token(
        &mut self,
        text: String,
        offset: StreamOffset,
    ) -> Result<(), ClientDisconnected> {
        self.record_token();
        self.sink.send_token(text, offset).await
    }

    async fn disconnected(&self) {
        self.sink.disconnected().await;
    }

    fn can_hand_over(&self) -> bool {
        self.sink.can_hand_over()
    }
}
