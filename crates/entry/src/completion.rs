//! Chats and completions: from a parsed request to a stream of tokens.

use std::sync::Arc;
use std::time::{Duration, Instant};

use control::ReplicaView;
use domain::{AdapterName, AttemptId, FastSet, ModelName, RequestId, VersionName};
use events::{EventCode, EventSubject};
use target::{EnginePort, StreamStart, TokenStream};
use tokio::sync::mpsc;
use wire::caller::ErrorCode;
use wire::engine::{StreamEvent, StreamOrder};

use crate::failure::CallerFailure;
use crate::place::choose_replica;
use crate::server::EntryParts;

/// Longest wait for an engine to take a stream.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest silence within a stream before the replica counts as lost.
const SILENCE_LIMIT: Duration = Duration::from_secs(5);

/// Attempts of one request before it is given up.
const MAX_ATTEMPTS: usize = 4;

/// When to come back while no whole replica serves a model.
const NO_REPLICA_RETRY: Duration = Duration::from_secs(2);

/// What a caller wants generated.
#[derive(Debug, Clone)]
pub struct CompletionOrder {
    /// The request.
    pub request: RequestId,
    /// The model.
    pub model: ModelName,
    /// The version that the customer is pinned to.
    pub version: Option<VersionName>,
    /// The adapter.
    pub adapter: Option<AdapterName>,
    /// The prompt.
    pub prompt: String,
    /// Most tokens of the answer.
    pub max_tokens: u32,
    /// Seed.
    pub seed: u64,
}

/// One step of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerStep {
    /// A token.
    Token(String),
    /// The whole answer was given.
    Finished {
        /// Tokens of the prompt.
        prompt_tokens: u32,
        /// Tokens of the answer.
        count: u32,
        /// Why it ended.
        finish: String,
    },
}

/// Runs an order and feeds its steps to `steps`; goes on elsewhere when a replica is lost.
///
/// # Errors
///
/// [`CallerFailure`] when no replica could finish the answer.
pub async fn run_completion<E: EnginePort>(
    parts: &EntryParts<E>,
    order: &CompletionOrder,
    steps: &mpsc::Sender<AnswerStep>,
) -> Result<(), CallerFailure> {
    let mut delivered: Vec<String> = Vec::new();
    let mut tried = FastSet::default();
    for number in 0..MAX_ATTEMPTS {
        let view = Arc::clone(&parts.targets.borrow());
        let version = order.version.as_ref();
        let Some(replica) = choose_replica(&view, &order.model, version, &tried, Instant::now())
        else {
            break;
        };
        tried.insert(replica.plan.id.clone());
        match run_attempt(parts, order, &replica, number, &mut delivered, steps).await {
            Ok(()) => return Ok(()),
            Err(reason) => {
                let subject = EventSubject::request(&order.request).and_replica(&replica.plan.id);
                parts
                    .recorder
                    .note(EventCode::AttemptFailed, subject, reason);
            }
        }
    }
    let message = format!(
        "no whole replica of {} could finish the answer",
        order.model
    );
    let failure = if delivered.is_empty() && tried.is_empty() {
        CallerFailure::not_run(ErrorCode::NoReplica, message)
    } else {
        CallerFailure::unknown(ErrorCode::TargetFailed, message)
    };
    Err(failure.retry(NO_REPLICA_RETRY))
}

async fn run_attempt<E: EnginePort>(
    parts: &EntryParts<E>,
    order: &CompletionOrder,
    replica: &ReplicaView,
    number: usize,
    delivered: &mut Vec<String>,
    steps: &mpsc::Sender<AnswerStep>,
) -> Result<(), String> {
    let address = replica
        .leader
        .ok_or("the leading host's address is unknown")?;
    let attempt: AttemptId = format!("{}.{number}", order.request)
        .parse()
        .map_err(|error: domain::IdError| error.to_string())?;
    let stream_order = StreamOrder {
        attempt: attempt.clone(),
        replica: replica.plan.id.clone(),
        incarnation: replica.plan.incarnation,
        model: order.model.clone(),
        adapter: order.adapter.clone(),
        prompt: order.prompt.clone(),
        max_tokens: order.max_tokens,
        seed: order.seed,
        priority: 0,
        resume: delivered.clone(),
    };
    let subject = EventSubject::request(&order.request).and_replica(&replica.plan.id);
    parts
        .recorder
        .note(EventCode::AttemptStarted, subject, attempt.to_string());
    let started = parts
        .engine
        .start(address, &stream_order, START_TIMEOUT)
        .await;
    let mut stream = match started {
        Ok(StreamStart::Running(stream)) => stream,
        Ok(StreamStart::Refused { .. }) => return Err("refused".to_owned()),
        Err(error) => return Err(error.to_string()),
    };
    loop {
        let event = stream
            .next_event(SILENCE_LIMIT)
            .await
            .map_err(|error| error.to_string())?;
        match event {
            Some(StreamEvent::Token {
                attempt: of,
                incarnation,
                index,
                text,
            }) => {
                let own = of == attempt && incarnation == replica.plan.incarnation;
                if !own || index as usize != delivered.len() {
                    return Err("an event of another stream".to_owned());
                }
                delivered.push(text.clone());
                if steps.send(AnswerStep::Token(text)).await.is_err() {
                    return Ok(());
                }
            }
            Some(StreamEvent::Done {
                attempt: of,
                count,
                prompt_tokens,
                finish,
                ..
            }) => {
                if of != attempt || count as usize != delivered.len() {
                    return Err("a final mark with another count".to_owned());
                }
                let step = AnswerStep::Finished {
                    prompt_tokens,
                    count,
                    finish,
                };
                let _ = steps.send(step).await;
                return Ok(());
            }
            Some(StreamEvent::Failed { reason, .. }) => return Err(reason),
            None => return Err("the stream ended without a final mark".to_owned()),
        }
    }
}
