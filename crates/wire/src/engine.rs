//! Protocol of a model engine: one process on each host of a replica, rank 0 answers for all.
//!
//! * `GET /state`: an [`EngineState`].
//! * `POST /orders` with an [`EngineOrder`]: 200 with the new [`EngineState`], or 409 with the
//!   current one when the engine checks fencing numbers and the order's epoch is old.
//! * `POST /streams` with a [`StreamRequest`]: lines of JSON, each a [`StreamEvent`]; 409 when the
//!   replica or its incarnation is another, 503 with `Retry-After` when its queue is full or its
//!   weights are not loaded. Either proves that the request was not run.
//! * `POST /streams/{attempt}/resume` with a [`ResumeRequest`]: goes on with a stream whose
//!   connection was lost, as long as the engine keeps it; 404 when it does not, or when the first
//!   token that is wanted lies behind the next one. An earlier reader of the stream gets no more.
//! * `DELETE /streams/{attempt}`: cancels. A stream whose connection broke is generated further
//!   for a while, so a caller that wants no more of it says so.
//! * `GET /cache/events?after=N`: a [`CachePage`], late and with gaps.
//! * `GET /kv/{attempt}`: the KV cache of a stream whose prompt is read, as opaque bytes; 404
//!   otherwise. `PUT /kv/{attempt}` hands it to the engine that will get the stream of that name;
//!   its prompt then counts as cached.

use std::net::SocketAddr;

use domain::replica::ReplicaRole;
use domain::{
    AdapterName, AttemptId, BootNumber, HostId, IncarnationNumber, LeaseEpoch, ModelName,
    ReplicaId, VersionName,
};
use serde::{Deserialize, Serialize};

/// What a host's engine reports of itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineState {
    /// The host.
    pub host: HostId,
    /// New after every restart.
    pub boot: BootNumber,
    /// What it runs.
    pub assignment: Option<EngineAssignment>,
    /// Whether the weights and adapters are loaded.
    pub ready: bool,
    /// Whether the engine is about to leave and wants no new work.
    pub leaving: bool,
    /// Load, reported with a lag.
    pub load: EngineLoad,
}

/// An engine's part in a replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineAssignment {
    /// The replica.
    pub replica: ReplicaId,
    /// Its incarnation.
    pub incarnation: IncarnationNumber,
    /// Fencing number of the order.
    pub epoch: LeaseEpoch,
    /// All hosts by rank, with their addresses.
    pub hosts: Vec<EngineAddress>,
    /// This host's rank.
    pub rank: u32,
    /// The model.
    pub model: ModelName,
    /// Its version.
    pub version: VersionName,
    /// Adapters loaded beside it.
    pub adapters: Vec<AdapterName>,
    /// What it does for a request.
    pub role: ReplicaRole,
}

/// A host of a replica and where it listens.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineAddress {
    /// The host.
    pub host: HostId,
    /// Its engine's address.
    pub address: SocketAddr,
}

/// Load of an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Streams in the batch.
    pub running: u32,
    /// Streams that wait for a place in the batch.
    pub waiting: u32,
    /// Most streams in the batch at once.
    pub slots: u32,
    /// Prompt tokens that wait to be read.
    pub prompt_backlog: u64,
    /// Prompt tokens read a second, lately.
    pub prompt_rate: f64,
    /// Tokens generated a second over all streams, lately.
    pub token_rate: f64,
    /// Age of these figures in milliseconds.
    pub age_ms: u64,
}

/// An order to an engine. It is complete and idempotent: it says what the engine shall be, not
/// what it shall change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Fencing number: the epoch of the lease under which the order is given.
    pub epoch: LeaseEpoch,
    /// What the engine shall run; none empties it.
    pub assignment: Option<EngineAssignment>,
}

/// An order to generate.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StreamRequest {
    /// The attempt; every event repeats it.
    pub attempt: AttemptId,
    /// The replica that is meant.
    pub replica: ReplicaId,
    /// Its incarnation.
    pub incarnation: IncarnationNumber,
    /// The model.
    pub model: ModelName,
    /// The adapter, where one is named.
    pub adapter: Option<AdapterName>,
    /// The prompt.
    pub prompt: String,
    /// Most tokens to generate, counted from the start of the answer.
    pub max_tokens: u32,
    /// Seed, so that a resumed answer goes on as it began.
    pub seed: u64,
    /// Higher goes first.
    pub priority: i32,
    /// Tokens of the answer that the caller has already; generation goes on behind them.
    #[serde(rename = "resume")]
    pub generated_tokens: Vec<String>,
}

/// An order to go on with a stream whose connection was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResumeRequest {
    /// Index of the first token that is wanted.
    pub from: u32,
}

/// One event of a stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum StreamEvent {
    /// One token.
    Token {
        /// The attempt.
        attempt: AttemptId,
        /// The incarnation.
        incarnation: IncarnationNumber,
        /// Index of the token in the whole answer, from 0.
        index: u32,
        /// Its text.
        text: String,
    },
    /// The final mark.
    Done {
        /// The attempt.
        attempt: AttemptId,
        /// The incarnation.
        incarnation: IncarnationNumber,
        /// Tokens in the whole answer.
        count: u32,
        /// Tokens in the prompt.
        prompt_tokens: u32,
        /// Prompt tokens that the prefix cache held.
        cached_tokens: u32,
        /// Why it ended: `stop` or `length`.
        #[serde(rename = "finish")]
        finish_reason: String,
    },
    /// The engine gives the stream up.
    Failed {
        /// The attempt.
        attempt: AttemptId,
        /// Why.
        reason: String,
    },
}

/// Cache events of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CachePage {
    /// Events behind the number that was asked for.
    pub events: Vec<CacheEvent>,
}

/// A prefix that entered or left the cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Number of the event; a gap means that events are lost.
    pub number: u64,
    /// Hash of the prefix, as [`prefix_hashes`] forms it.
    pub prefix: u64,
    /// Whether it entered; otherwise it left.
    pub stored: bool,
}

/// Bytes of prompt text in one block of the prefix cache.
pub const PREFIX_BLOCK_BYTES: usize = 64;

/// Hashes of the prompt's prefixes, one for each whole block; the model and adapter are part of
/// each, because caches are not shared between them. FNV-1a, so that it is the same everywhere.
#[must_use]
pub fn prefix_hashes(model: &ModelName, adapter: Option<&AdapterName>, prompt: &str) -> Vec<u64> {
    let adapter = adapter.map_or("", AdapterName::as_str);
    let mut hash = fnv_extend(FNV_OFFSET, model.as_str().as_bytes());
    hash = fnv_extend(hash, &[0]);
    hash = fnv_extend(hash, adapter.as_bytes());
    let mut hashes = Vec::with_capacity(prompt.len() / PREFIX_BLOCK_BYTES);
    for block in prompt.as_bytes().chunks_exact(PREFIX_BLOCK_BYTES) {
        hash = fnv_extend(hash, block);
        hashes.push(hash);
    }
    hashes
}

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

fn fnv_extend(mut hash: u64, bytes: &[u8]) -> u64 {
    for byte in bytes {
        hash ^= u64::from(*byte);
        hash = hash.wrapping_mul(FNV_PRIME);
    }
    hash
}
