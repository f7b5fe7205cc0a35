//! Protocol between the nodes: `h2` requests whose bodies are `bincode`.
//!
//! * `POST /hello` with a [`PeerHello`]: a [`PeerWelcome`]. Both name the versions they speak and
//!   a nonce; the rest of the connection is sealed with a key made of both nonces.
//! * `POST /digest` with a [`AuthenticatedFrame`] of a [`PeerDigest`]: the same back.
//! * `POST /snapshot` with an empty [`AuthenticatedFrame`]: one with a snapshot as JSON.
//!
//! Within a version fields are only ever added at the end: `bincode` leaves what follows unread,
//! so an old node reads what a newer one sends. Times are ages in milliseconds, never wall times.

use std::net::SocketAddr;
use std::time::Duration;

use domain::{
    ConfigRevision, DomainId, HostId, IdError, IncarnationNumber, NodeId, RegionId, ReplicaId,
};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Newest version of the protocol that this program speaks.
pub const NEWEST_VERSION: u8 = 1;

/// Oldest version of the protocol that this program speaks.
pub const OLDEST_VERSION: u8 = 1;

/// Largest hello, in bytes.
pub const MAX_HELLO_BYTES: usize = 1 << 10;

/// Largest digest, in bytes: a few hundred member rows, or one large record.
pub const MAX_DIGEST_BYTES: usize = 1 << 20;

/// Largest snapshot, in bytes: 1,500 records with hundreds of key hashes each.
pub const MAX_SNAPSHOT_BYTES: usize = 16 << 20;

/// Length of a nonce, in bytes.
pub const NONCE_BYTES: usize = 32;

/// Length of a frame's tag, in bytes: half of an HMAC-SHA256.
pub const TAG_BYTES: usize = 16;

/// Why bytes of a peer can't be used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PeerMessageError {
    /// They are no `bincode` of the expected shape, or more than allowed.
    #[error("the peer's message can't be read: {0}")]
    Undecodable(String),
    /// A name in them is none.
    #[error("the peer's message holds a bad name: {0}")]
    BadName(#[from] IdError),
}

/// First request on a connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerHello {
    /// Newest version that the caller speaks.
    pub newest: u8,
    /// Oldest version that the caller speaks.
    pub oldest: u8,
    /// Fresh random bytes.
    pub nonce: [u8; NONCE_BYTES],
    /// The caller.
    pub node: NodeId,
}

/// Answer to a [`PeerHello`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerWelcome {
    /// The version to speak.
    pub version: u8,
    /// Fresh random bytes.
    pub nonce: [u8; NONCE_BYTES],
    /// The answerer.
    pub node: NodeId,
    /// Proof that the answerer has the shared key.
    pub proof: [u8; TAG_BYTES],
}

/// A message with a keyed hash over direction, sequence and payload.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuthenticatedFrame {
    /// Version of the payload.
    pub version: u8,
    /// Rises by at least one with each frame of a connection and direction.
    pub sequence: u64,
    /// The keyed hash.
    pub tag: [u8; TAG_BYTES],
    /// The message.
    pub payload: Vec<u8>,
}

/// What one node tells another beyond what that one is known to have.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerDigest {
    /// Sequence of the newest answer that the sender got on this connection; 0 before the first.
    #[serde(rename = "echo")]
    pub acked_sequence: u64,
    /// The sender's hybrid logical clock, so that events here sort behind what caused them there.
    #[serde(rename = "stamp")]
    pub timestamp: PeerTimestamp,
    /// Revision in force at the sender.
    pub revision: u64,
    /// How well the sender knows the head.
    pub confirmation: Option<PeerConfirmation>,
    /// Changes that the receiver lacks, in order.
    pub changes: Vec<PeerChange>,
    /// Members that the receiver lacks.
    pub rows: Vec<PeerMember>,
    /// Newer heartbeats of members whose row went over this connection.
    #[serde(rename = "beats")]
    pub heartbeats: Vec<PeerHeartbeat>,
    /// Members that said goodbye.
    pub departed: Vec<NodeId>,
    /// Evidence that the receiver lacks.
    pub evidence: Vec<PeerEvidence>,
    /// Newer looks at evidence that went over this connection in the sender's direction.
    #[serde(rename = "looks")]
    pub observations: Vec<PeerObservation>,
}

/// A moment of a hybrid logical clock.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerTimestamp {
    /// Milliseconds since 1970.
    pub millis: u64,
    /// Order within one millisecond.
    pub counter: u32,
}

/// That the head was at most at a revision, so long before the message was made.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerConfirmation {
    /// The revision.
    pub revision: u64,
    /// Age of the knowledge.
    pub age_ms: u64,
}

/// A change of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerChange {
    /// Its revision.
    pub revision: u64,
    /// The change-log entry as JSON: its record keeps its own schema version and shape, which this
    /// protocol must not depend on.
    pub entry: Vec<u8>,
}

/// A member with its heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerMember {
    /// The node.
    pub node: NodeId,
    /// Where its peers connect.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainId,
    /// Its region.
    pub region: RegionId,
    /// Where operators connect.
    pub admin: Option<SocketAddr>,
    /// Its heartbeat.
    pub beat: u64,
}

/// A newer heartbeat. Names are long and rows go over a connection once, so this one counts rows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerHeartbeat {
    /// Place of the member's row among those that the sender sent (even numbers) or received (odd
    /// numbers) over this connection, doubled.
    #[serde(rename = "place")]
    pub index: u32,
    /// The heartbeat.
    pub beat: u64,
}

/// Evidence on one replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerEvidence {
    /// The replica.
    pub replica: ReplicaId,
    /// The incarnation that its hosts reported.
    pub incarnation: IncarnationNumber,
    /// The hosts that reported it, by rank.
    pub hosts: Vec<HostId>,
    /// Whether any said that it is leaving.
    pub leaving: bool,
    /// Age of the oldest report.
    pub age: ObservationAge,
}

/// A newer look that found the same as an earlier [`PeerEvidence`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerObservation {
    /// Place of the evidence among those that the sender sent over this connection.
    #[serde(rename = "place")]
    pub index: u32,
    /// Age of the oldest report.
    pub age: ObservationAge,
}

/// Age of a look in tenths of a second, rounded up: up to 25 s in one byte. Looks are most of what
/// goes over the links, and evidence counts for a few seconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ObservationAge(u64);

impl From<Duration> for ObservationAge {
    fn from(age: Duration) -> Self {
        Self(u64::try_from(age.as_micros().div_ceil(100_000)).unwrap_or(u64::MAX))
    }
}

impl From<ObservationAge> for Duration {
    fn from(age: ObservationAge) -> Self {
        Self::from_millis(age.0.saturating_mul(100))
    }
}

impl PeerDigest {
    /// The revision in force at the sender.
    #[must_use]
    pub fn revision(&self) -> ConfigRevision {
        ConfigRevision(self.revision)
    }
}

/// Picks the version for a connection; none when there is none that both speak.
#[must_use]
pub fn negotiate_version(hello: &PeerHello) -> Option<u8> {
    let version = hello.newest.min(NEWEST_VERSION);
    (version >= OLDEST_VERSION.max(hello.oldest)).then_some(version)
}

/// Writes a message.
///
/// # Errors
///
/// [`PeerMessageError::Undecodable`] when the value can't be written.
pub fn encode_message<T: Serialize>(value: &T) -> Result<Vec<u8>, PeerMessageError> {
    bincode::serde::encode_to_vec(value, bincode::config::standard())
        .map_err(|error| PeerMessageError::Undecodable(error.to_string()))
}

/// Reads a message of at most `LIMIT` bytes; what follows it is left unread.
///
/// The limit also bounds what a hostile length inside the message can make this node allocate.
///
/// # Errors
///
/// [`PeerMessageError::Undecodable`].
pub fn decode_message<T: DeserializeOwned, const LIMIT: usize>(
    bytes: &[u8],
) -> Result<T, PeerMessageError> {
    let config = bincode::config::standard().with_limit::<LIMIT>();
    bincode::serde::decode_from_slice(bytes, config)
        .map(|(value, _)| value)
        .map_err(|error| PeerMessageError::Undecodable(error.to_string()))
}
