//! Protocol of a model engine. One engine process runs on each host of a replica; the engine of rank
//! 0 serves the replica's requests.
//!
//! * `GET /state`: an [`EngineState`].
//! * `POST /orders` with an [`EngineOrder`]: 200 with the new [`EngineState`], or 409 with the
//!   current one if the engine checks fencing tokens and the epoch of the order is stale.
//! * `POST /streams` with a [`StreamRequest`]: newline-delimited JSON, one [`StreamEvent`] per line;
//!   409 if the engine serves another replica or incarnation, 503 with `Retry-After` if its queue is
//!   full or its weights are not loaded. Both statuses prove that the request was not run.
//! * `POST /streams/{attempt}/resume` with a [`ResumeRequest`]: resumes a stream whose connection was
//!   lost, while the engine retains it; 404 if the stream is not retained, or if the requested token
//!   lies beyond the next one to be generated. An earlier reader of the stream receives no more
//!   events.
//! * `DELETE /streams/{attempt}`: cancels a stream. After a lost connection the engine continues to
//!   generate for a while, so a client that no longer needs the stream has to cancel it.
//! * `GET /cache/events?after=N`: a [`CachePage`], delayed and possibly with gaps.
//! * `GET /kv/{attempt}`: the KV cache of a stream after prefill, as opaque bytes; 404 otherwise.
//!   `PUT /kv/{attempt}` transfers it to the engine that will run the stream with that attempt id;
//!   the prompt then counts as cached there.

use std::net::SocketAddr;

use domain::replica::ReplicaRole;
use domain::{
    AdapterName, AttemptId, BootNumber, HostId, IncarnationNumber, LeaseEpoch, ModelName,
    ReplicaId, VersionName,
};
use serde::{Deserialize, Serialize};

/// State of a host's engine, as reported by the engine itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineState {
    /// Host that the engine runs on.
    pub host: HostId,
    /// Boot number of the engine, which rises at every restart.
    pub boot: BootNumber,
    /// Assignment that the engine follows; none while it is idle.
    pub assignment: Option<EngineAssignment>,
    /// Whether the weights and adapters of the assignment are loaded.
    pub ready: bool,
    /// Whether the engine is about to stop and should receive no new work.
    pub leaving: bool,
    /// Load at some moment in the past; see [`EngineLoad::age_ms`].
    pub load: EngineLoad,
}

/// Membership of an engine in a replica, and what the replica serves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineAssignment {
    /// Replica that the engine belongs to.
    pub replica: ReplicaId,
    /// Incarnation of the replica.
    pub incarnation: IncarnationNumber,
    /// Fencing token of the order that made this assignment.
    pub epoch: LeaseEpoch,
    /// Engine addresses of all hosts of the replica, ordered by rank.
    pub hosts: Vec<EngineAddress>,
    /// Index of this host in `hosts`.
    pub rank: u32,
    /// Model that the replica serves.
    pub model: ModelName,
    /// Version of the model's weights.
    pub version: VersionName,
    /// Adapters loaded in addition to the model.
    pub adapters: Vec<AdapterName>,
    /// Whether the replica performs prefill, decode or both.
    pub role: ReplicaRole,
}

/// A host of a replica and the address of its engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineAddress {
    /// Host that the engine runs on.
    pub host: HostId,
    /// Address that the engine listens on.
    pub address: SocketAddr,
}

/// Load of an engine, measured `age_ms` before the report.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Number of streams in the batch.
    pub running: u32,
    /// Number of queued streams, which wait for a batch slot.
    pub waiting: u32,
    /// Maximum number of streams in the batch.
    pub slots: u32,
    /// Number of prompt tokens that await prefill.
    pub prompt_backlog: u64,
    /// Recent prefill throughput in prompt tokens per second.
    pub prompt_rate: f64,
    /// Recent decode throughput in tokens per second, summed over all streams.
    pub token_rate: f64,
    /// Age of the other values in milliseconds.
    pub age_ms: u64,
}

/// An order to an engine. It is idempotent, because it describes the complete desired state rather
/// than a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Fencing token: the epoch of the lease under which the order is sent.
    pub epoch: LeaseEpoch,
    /// Assignment that the engine is to follow; none unloads the engine.
    pub assignment: Option<EngineAssignment>,
}

/// A request to generate tokens.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StreamRequest {
    /// Id of the attempt, repeated in every event of the stream.
    pub attempt: AttemptId,
    /// Replica that the request is addressed to; an engine of another replica rejects it.
    pub replica: ReplicaId,
    /// Incarnation of the replica; an engine of another incarnation rejects the request.
    pub incarnation: IncarnationNumber,
    /// Model to run.
    pub model: ModelName,
    /// Adapter to apply; none runs the base model.
    pub adapter: Option<AdapterName>,
    /// Prompt as text.
    pub prompt: String,
    /// Maximum number of tokens in the whole output, including `generated_tokens`.
    pub max_tokens: u32,
    /// Sampling seed, which makes a resumed stream continue consistently.
    pub seed: u64,
    /// Scheduling priority; higher values run first.
    pub priority: i32,
    /// Tokens that an earlier attempt delivered to the client; generation continues after them.
    #[serde(rename = "resume")]
    pub generated_tokens: Vec<String>,
}

/// A request to resume a stream whose connection was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResumeRequest {
    /// Index of the first token to send, counted from the start of the output.
    pub from: u32,
}

/// One event of a stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum StreamEvent {
    /// One generated token.
    Token {
        /// Attempt that the stream belongs to.
        attempt: AttemptId,
        /// Incarnation of the replica that generated the token.
        incarnation: IncarnationNumber,
        /// Index of the token in the whole output, starting at 0.
        index: u32,
        /// Text of the token.
        text: String,
    },
    /// The output is complete.
    Done {
        /// Attempt that the stream belongs to.
        attempt: AttemptId,
        /// Incarnation of the replica that generated the output.
        incarnation: IncarnationNumber,
        /// Number of tokens in the whole output.
        count: u32,
        /// Number of tokens in the prompt.
        prompt_tokens: u32,
        /// Number of prompt tokens that were found in the prefix cache.
        cached_tokens: u32,
        /// Why generation ended: `stop` or `length`.
        #[serde(rename = "finish")]
        finish_reason: String,
    },
    /// The engine aborted the stream.
    Failed {
        /// Attempt that the stream belongs to.
        attempt: AttemptId,
        /// Description of the failure.
        reason: String,
    },
}

/// Prefix cache events of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CachePage {
    /// Events with higher numbers than the requested one.
    pub events: Vec<CacheEvent>,
}

/// A prefix was added to the cache or evicted from it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number; a gap means that events were lost.
    pub number: u64,
    /// Hash of the prefix, as computed by [`prefix_hashes`].
    pub prefix: u64,
    /// True if the prefix was added, false if it was evicted.
    pub stored: bool,
}

/// Size of a prefix cache block in bytes of prompt text.
pub const PREFIX_BLOCK_BYTES: usize = 64;

/// Computes the hash of every prefix of the prompt that ends at a block boundary.
///
/// Model and adapter are included, because cache entries are not shared between them. The hash is
/// FNV-1a, which gives the same result on all nodes and engines.
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
