//! Helpers that send orders and stream requests to engines directly, without an entry node.

use std::time::Duration;

use standin::stack::{TestStack, WAIT_TIMEOUT};
use target::engine::HttpStream;
use target::{EngineClient, HttpEngineClient, StreamStart, TokenStream};
use wire::engine::{EngineAddress, EngineAssignment, EngineOrder, StreamEvent, StreamRequest};

/// Timeout of a single event or response of an engine.
pub const EVENT_TIMEOUT: Duration = Duration::from_secs(20);

/// Forms one replica `r1` of `trader-help` from all engines of the stack.
pub async fn form_replica(stack: &TestStack) -> EngineAssignment {
    let hosts: Vec<EngineAddress> = stack
        .engines
        .iter()
        .map(|engine| EngineAddress {
            host: engine.name.parse().expect("a host"),
            address: engine.address,
        })
        .collect();
    let assignment = EngineAssignment {
        replica: "r1".parse().expect("an id"),
        incarnation: domain::IncarnationNumber(1),
        epoch: domain::LeaseEpoch(1),
        hosts,
        rank: 0,
        model: "trader-help".parse().expect("an id"),
        version: "v1".parse().expect("an id"),
        adapters: Vec::new(),
        role: domain::replica::ReplicaRole::Both,
    };
    for rank in 0..assignment.hosts.len() {
        assign_rank(stack, &assignment, rank).await;
    }
    assignment
}

/// Assigns its rank to one engine of an assignment.
pub async fn assign_rank(stack: &TestStack, assignment: &EngineAssignment, rank: usize) {
    let order = EngineOrder {
        epoch: assignment.epoch,
        assignment: Some(EngineAssignment {
            rank: u32::try_from(rank).expect("a rank"),
            ..assignment.clone()
        }),
    };
    let engine = HttpEngineClient::default();
    engine
        .order(assignment.hosts[rank].address, &order, WAIT_TIMEOUT)
        .await
        .unwrap_or_else(|error| panic!("{}: {error}", stack.engines[rank].name));
}

/// A request for a stream of at most `max_tokens` tokens with a fixed prompt.
pub fn stream_request(
    assignment: &EngineAssignment,
    attempt: &str,
    max_tokens: u32,
) -> StreamRequest {
    StreamRequest {
        attempt: attempt.parse().expect("an id"),
        replica: assignment.replica.clone(),
        incarnation: assignment.incarnation,
        model: assignment.model.clone(),
        adapter: None,
        prompt: "Which form renews a licence for a stall of four metres at the Sandaga market?"
            .to_owned(),
        max_tokens,
        seed: 7,
        priority: 0,
        generated_tokens: Vec::new(),
    }
}

/// Starts a stream at the leader; none when it is refused.
pub async fn start_stream(
    assignment: &EngineAssignment,
    request: &StreamRequest,
) -> Option<HttpStream> {
    let address = assignment.hosts[0].address;
    let started = HttpEngineClient::default()
        .start(address, request, WAIT_TIMEOUT)
        .await;
    match started.expect("a response") {
        StreamStart::Running(stream) => Some(stream),
        StreamStart::Refused { .. } => None,
    }
}

/// Reads up to `count` tokens; if the stream ends before, also returns its last event, if any.
pub async fn read_tokens(
    stream: &mut HttpStream,
    count: usize,
) -> (Vec<String>, Option<StreamEvent>) {
    let mut tokens = Vec::new();
    while tokens.len() < count {
        match stream.next_event(EVENT_TIMEOUT).await.expect("an event") {
            Some(StreamEvent::Token { text, .. }) => tokens.push(text),
            end => return (tokens, end),
        }
    }
    (tokens, None)
}
