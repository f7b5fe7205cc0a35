//! Measures what callers feel: the time to the first token, and between two tokens.

use std::time::Instant;

use domain::ModelName;
use events::{EventRecorder, NodeMetrics};

use crate::sink::{ClientDisconnected, ResponseSink};
use crate::token::{ScopeSigner, StreamOffset};

/// A sink that notes when tokens reach the one behind it.
pub struct LatencySink<'a, A> {
    sink: &'a mut A,
    metrics: Option<NodeMetrics>,
    model: &'a ModelName,
    began: Instant,
    last: Option<Instant>,
}

impl<'a, A: ResponseSink> LatencySink<'a, A> {
    /// A sink before `sink`; the time to the first token counts from now.
    pub fn new(sink: &'a mut A, recorder: &EventRecorder, model: &'a ModelName) -> Self {
        Self {
            sink,
            metrics: recorder.metrics().cloned(),
            model,
            began: Instant::now(),
            last: None,
        }
    }

    fn note_token(&mut self) {
        let now = Instant::now();
        let last = self.last.replace(now);
        let Some(metrics) = &self.metrics else { return };
        match last {
            Some(last) => metrics.record_token_gap(self.model.as_str(), now - last),
            None => metrics.record_first_token(self.model.as_str(), now - self.began),
        }
    }
}

impl<A: ResponseSink> ResponseSink for LatencySink<'_, A> {
    fn begin(&mut self, signer: ScopeSigner, offset: StreamOffset) {
        self.sink.begin(signer, offset);
    }

    async fn token(
        &mut self,
        text: String,
        offset: StreamOffset,
    ) -> Result<(), ClientDisconnected> {
        self.note_token();
        self.sink.token(text, offset).await
    }

    async fn gone(&self) {
        self.sink.gone().await;
    }

    fn can_hand_over(&self) -> bool {
        self.sink.can_hand_over()
    }
}
