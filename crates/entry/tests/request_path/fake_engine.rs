//! Scripted engines.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use domain::AttemptId;
use target::{EngineClient, OrderOutcome, StreamStart, TokenStream};
use web::ClientError;
use wire::engine::{EngineOrder, EngineState, ResumeRequest, StreamEvent, StreamRequest};

/// Behavior of an engine for one stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineBehavior {
    /// Generates the complete response.
    Complete,
    /// Refuses the stream because it serves another replica.
    ReplicaChanged,
    /// Refuses the stream because it is full.
    Full,
    /// Refuses connections.
    Unreachable,
    /// Breaks the connection after this many tokens of the response.
    BreakAfter(u32),
    /// Stalls after this many tokens of the response.
    StallAfter(u32),
    /// Ends the stream without a final event after this many tokens of the response.
    EndAfter(u32),
}

/// Engines at any address. Without a script they generate complete responses.
#[derive(Debug, Clone, Default)]
pub struct FakeEngine {
    inner: Arc<Mutex<EngineLog>>,
}

#[derive(Debug, Default)]
struct EngineLog {
    behaviors: VecDeque<EngineBehavior>,
    requests: Vec<(SocketAddr, StreamRequest)>,
    cancelled: Vec<AttemptId>,
}

impl FakeEngine {
    fn log(&self) -> std::sync::MutexGuard<'_, EngineLog> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Queues the behaviors for the next streams, one each.
    pub fn script(&self, behaviors: &[EngineBehavior]) {
        self.log().behaviors.extend(behaviors);
    }

    /// Returns the streams that were requested, with the address of the engine.
    pub fn requests(&self) -> Vec<(SocketAddr, StreamRequest)> {
        self.log().requests.clone()
    }

    /// Returns the attempts that were cancelled.
    pub fn cancelled(&self) -> Vec<AttemptId> {
        self.log().cancelled.clone()
    }
}

/// Returns the token at an index, which is the same in every response.
pub fn word(index: u32) -> String {
    format!("w{index} ")
}

/// Returns the text of a complete response.
pub fn response_text(length: u32) -> String {
    (0..length).map(word).collect()
}

/// What follows the events of a stream.
#[derive(Debug, Clone, Copy)]
enum StreamTail {
    End,
    Break,
    Stall,
}

/// A stream of prepared events.
#[derive(Debug)]
pub struct FakeStream {
    address: SocketAddr,
    events: VecDeque<StreamEvent>,
    tail: StreamTail,
}

impl FakeStream {
    fn new(address: SocketAddr, request: &StreamRequest, behavior: EngineBehavior) -> Self {
        let from = u32::try_from(request.generated_tokens.len()).expect("a small number");
        let (until, tail) = match behavior {
            EngineBehavior::BreakAfter(count) => (count, StreamTail::Break),
            EngineBehavior::StallAfter(count) => (count, StreamTail::Stall),
            EngineBehavior::EndAfter(count) => (count, StreamTail::End),
            _ => (request.max_tokens, StreamTail::End),
        };
        let mut events = VecDeque::new();
        for index in from..until.min(request.max_tokens) {
            events.push_back(StreamEvent::Token {
                attempt: request.attempt.clone(),
                incarnation: request.incarnation,
                index,
                text: word(index),
            });
        }
        if behavior == EngineBehavior::Complete {
            events.push_back(StreamEvent::Done {
                attempt: request.attempt.clone(),
                incarnation: request.incarnation,
                count: request.max_tokens,
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
            StreamTail::Stall => {
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
        request: &StreamRequest,
        _: Duration,
    ) -> Result<StreamStart<FakeStream>, ClientError> {
        let mut log = self.log();
        log.requests.push((address, request.clone()));
        let behavior = log
            .behaviors
            .pop_front()
            .unwrap_or(EngineBehavior::Complete);
        match behavior {
            EngineBehavior::ReplicaChanged | EngineBehavior::Full => Ok(StreamStart::Refused {
                replica_changed: behavior == EngineBehavior::ReplicaChanged,
                retry_after: None,
            }),
            EngineBehavior::Unreachable => Err(ClientError::NotConnected(address)),
            _ => Ok(StreamStart::Running(FakeStream::new(
                address, request, behavior,
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
        self.log().cancelled.push(attempt.clone());
        Ok(())
    }
}
