//! Orders and streams to engines without an entry between.

use std::time::Duration;

use standin::stack::{PATIENCE, TestStack};
use target::engine::HttpStream;
use target::{EngineClient, HttpEngineClient, StreamStart, TokenStream};
use wire::engine::{EngineAddress, EngineAssignment, EngineOrder, StreamEvent, StreamRequest};

/// Longest silence that a test takes for a stream that goes on.
pub const SILENCE: Duration = Duration::from_secs(20);

/// Makes the stack's engines one replica `r1` of `trader-help`.
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
        order_rank(stack, &assignment, rank).await;
    }
    assignment
}

/// Gives one engine its rank of an assignment.
pub async fn order_rank(stack: &TestStack, assignment: &EngineAssignment, rank: usize) {
    let order = EngineOrder {
        epoch: assignment.epoch,
        assignment: Some(EngineAssignment {
            rank: u32::try_from(rank).expect("a rank"),
            ..assignment.clone()
        }),
    };
    let engine = HttpEngineClient::default();
    engine
        .order(assignment.hosts[rank].address, &order, PATIENCE)
        .await
        .unwrap_or_else(|error| panic!("{}: {error}", stack.engines[rank].name));
}

/// An order to generate.
pub fn stream_order(
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

/// Starts a stream; none when it is refused.
pub async fn start(assignment: &EngineAssignment, order: &StreamRequest) -> Option<HttpStream> {
    let address = assignment.hosts[0].address;
    let started = HttpEngineClient::default()
        .start(address, order, PATIENCE)
        .await;
    match started.expect("an answer") {
        StreamStart::Running(stream) => Some(stream),
        StreamStart::Refused { .. } => None,
    }
}

/// Reads tokens until the stream ends or `count` of them came; the end event, if any, comes too.
pub async fn read_tokens(
    stream: &mut HttpStream,
    count: usize,
) -> (Vec<String>, Option<StreamEvent>) {
    let mut tokens = Vec::new();
    while tokens.len() < count {
        match stream.next_event(SILENCE).await.expect("an event") {
            Some(StreamEvent::Token { text, .. }) => tokens.push(text),
            end => return (tokens, end),
        }
    }
    (tokens, None)
}
