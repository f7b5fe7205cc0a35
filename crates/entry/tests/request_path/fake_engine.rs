//! Engines that follow a script.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use domain::AttemptId;
use target::{EngineClient, OrderOutcome, StreamStart, TokenStream};
use web::ClientError;
use wire::engine::{EngineOrder, EngineState, ResumeRequest, StreamEvent, StreamRequest};

/// What an engine does with one stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineScript {
    /// Answers whole.
    Whole,
    /// Proves that it ran nothing, being another replica by now.
    Moved,
    /// Proves that it ran nothing, being full.
    Full,
    /// Is not there at all.
    Unreached,
    /// Breaks off behind some tokens.
    BreakAfter(u32),
    /// Falls silent behind some tokens.
    SilentAfter(u32),
    /// Ends without a final mark behind some tokens.
    EndAfter(u32),
}

/// Engines, by address; without a script they answer whole.
#[derive(Debug, Clone, Default)]
pub struct FakeEngine {
    inner: Arc<Mutex<EngineBook>>,
}

#[derive(Debug, Default)]
struct EngineBook {
    scripts: VecDeque<EngineScript>,
    orders: Vec<(SocketAddr, StreamRequest)>,
    cancelled: Vec<AttemptId>,
}

impl FakeEngine {
    fn book(&self) -> std::sync::MutexGuard<'_, EngineBook> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Lets the next streams go by these scripts, one each.
    pub fn script(&self, scripts: &[EngineScript]) {
        self.book().scripts.extend(scripts);
    }

    /// The streams that were asked for.
    pub fn orders(&self) -> Vec<(SocketAddr, StreamRequest)> {
        self.book().orders.clone()
    }

    /// The attempts that were cancelled.
    pub fn cancelled(&self) -> Vec<AttemptId> {
        self.book().cancelled.clone()
    }
}

/// The word at an index of every answer.
pub fn word(index: u32) -> String {
    format!("w{index} ")
}

/// The whole answer.
pub fn answer_text(length: u32) -> String {
    (0..length).map(word).collect()
}

/// What comes behind a stream's events.
#[derive(Debug, Clone, Copy)]
enum StreamTail {
    End,
    Break,
    Silence,
}

/// A stream of prepared events.
#[derive(Debug)]
pub struct FakeStream {
    address: SocketAddr,
    events: VecDeque<StreamEvent>,
    tail: StreamTail,
}

impl FakeStream {
    fn new(address: SocketAddr, order: &StreamRequest, script: EngineScript) -> Self {
        let from = u32::try_from(order.generated_tokens.len()).expect("few");
        let (until, tail) = match script {
            EngineScript::BreakAfter(count) => (count, StreamTail::Break),
            EngineScript::SilentAfter(count) => (count, StreamTail::Silence),
            EngineScript::EndAfter(count) => (count, StreamTail::End),
            _ => (order.max_tokens, StreamTail::End),
        };
        let mut events = VecDeque::new();
        for index in from..until.min(order.max_tokens) {
            events.push_back(StreamEvent::Token {
                attempt: order.attempt.clone(),
                incarnation: order.incarnation,
                index,
                text: word(index),
            });
        }
        if script == EngineScript::Whole {
            events.push_back(StreamEvent::Done {
                attempt: order.attempt.clone(),
                incarnation: order.incarnation,
                count: order.max_tokens,
                prompt_tokens: 5,
                cached_tokens: 0,
                finish_reason: "length".to_owned(),
            });
        }
        Self {
            address,
            events,
            tail,
        }
    }
}

impl TokenStream for FakeStream {
    async fn next_event(&mut self, silence: Duration) -> Result<Option<StreamEvent>, ClientError> {
        if let Some(event) = self.events.pop_front() {
            return Ok(Some(event));
        }
        match self.tail {
            StreamTail::End => Ok(None),
            StreamTail::Break => Err(ClientError::Broken(self.address, "reset".to_owned())),
            StreamTail::Silence => {
                tokio::time::sleep(silence).await;
                Err(ClientError::TimedOut(self.address))
            }
        }
    }
}

impl EngineClient for FakeEngine {
    type Stream = FakeStream;

    async fn state(&self, address: SocketAddr, _: Duration) -> Result<EngineState, ClientError> {
        Err(ClientError::NotConnected(address))
    }

    async fn order(
        &self,
        address: SocketAddr,
        _: &EngineOrder,
        _: Duration,
    ) -> Result<OrderOutcome, ClientError> {
        Err(ClientError::NotConnected(address))
    }

    async fn start(
        &self,
        address: SocketAddr,
        order: &StreamRequest,
        _: Duration,
    ) -> Result<StreamStart<FakeStream>, ClientError> {
        let mut book = self.book();
        book.orders.push((address, order.clone()));
        let script = book.scripts.pop_front().unwrap_or(EngineScript::Whole);
        match script {
            EngineScript::Moved | EngineScript::Full => Ok(StreamStart::Refused {
                replica_changed: script == EngineScript::Moved,
                retry_after: None,
            }),
            EngineScript::Unreached => Err(ClientError::NotConnected(address)),
            _ => Ok(StreamStart::Running(FakeStream::new(
                address, order, script,
            ))),
        }
    }

    async fn resume(
        &self,
        _: SocketAddr,
        _: &AttemptId,
        _: ResumeRequest,
        _: Duration,
    ) -> Result<StreamStart<FakeStream>, ClientError> {
        Ok(StreamStart::Refused {
            replica_changed: true,
            retry_after: None,
        })
    }

    async fn cancel(
        &self,
        _: SocketAddr,
        attempt: &AttemptId,
        _: Duration,
    ) -> Result<(), ClientError> {
        self.book().cancelled.push(attempt.clone());
        Ok(())
    }
}
