//! Protocol between nodes: HTTP/2 requests with `bincode` bodies.
//!
//! * `POST /hello` with a [`PeerHello`]: a [`PeerWelcome`]. The two negotiate the protocol version
//!   and exchange nonces; all later frames are authenticated with a key derived from both nonces.
//! * `POST /digest` with an [`AuthenticatedFrame`] that holds a [`PeerDigest`]: a frame with the
//!   responder's digest.
//! * `POST /snapshot` with an empty [`AuthenticatedFrame`]: a frame with a snapshot as JSON.
//!
//! Within a protocol version, fields are only added at the end. `bincode` ignores trailing bytes, so
//! an old node can read messages of a newer one. Times are ages in milliseconds, never wall clock
//! times.

use std::net::SocketAddr;
use std::time::Duration;

use domain::{
    ConfigRevision, DomainId, HostId, IdError, IncarnationNumber, NodeId, RegionId, ReplicaId,
};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Highest protocol version that this program supports.
pub const NEWEST_VERSION: u8 = 1;

/// Lowest protocol version that this program supports.
pub const OLDEST_VERSION: u8 = 1;

/// Maximum size of a hello in bytes.
pub const MAX_HELLO_BYTES: usize = 1 << 10;

/// Maximum size of a digest in bytes: a few hundred member rows, or one large record.
pub const MAX_DIGEST_BYTES: usize = 1 << 20;

/// Maximum size of a snapshot in bytes: 1,500 records with hundreds of key hashes each.
pub const MAX_SNAPSHOT_BYTES: usize = 16 << 20;

/// Length of a nonce in bytes.
pub const NONCE_BYTES: usize = 32;

/// Length of a frame's tag in bytes: an HMAC-SHA256 truncated to half its length.
pub const TAG_BYTES: usize = 16;

/// Why a peer's message can't be encoded or decoded.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PeerMessageError {
    /// The bytes are not `bincode` of the expected type, the message exceeds the size limit, or it can't
    /// be encoded.
    #[error("failed to encode or decode a peer message: {0}")]
    Codec(String),
    /// The message contains an invalid identifier.
    #[error("invalid identifier in peer message: {0}")]
    InvalidId(#[from] IdError),
}

/// The first request on a connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerHello {
    /// Highest protocol version that the initiator supports.
    pub newest: u8,
    /// Lowest protocol version that the initiator supports.
    pub oldest: u8,
    /// Random bytes, new for every connection, that enter the connection's key.
    pub nonce: [u8; NONCE_BYTES],
    /// Id of the initiator.
    pub node: NodeId,
}

/// Response to a [`PeerHello`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerWelcome {
    /// Protocol version of the connection, chosen by [`negotiate_version`].
    pub version: u8,
    /// Random bytes, new for every connection, that enter the connection's key.
    pub nonce: [u8; NONCE_BYTES],
    /// Id of the responder.
    pub node: NodeId,
    /// HMAC over hello and welcome, which proves that the responder has the shared key.
    pub proof: [u8; TAG_BYTES],
}

/// A message with an HMAC over direction, sequence number and payload.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuthenticatedFrame {
    /// Protocol version of the payload.
    pub version: u8,
    /// Sequence number, which increases with every frame of a connection in the same direction.
    pub sequence: u64,
    /// Truncated HMAC.
    pub tag: [u8; TAG_BYTES],
    /// Encoded message.
    pub payload: Vec<u8>,
}

/// A gossip update with the state that the receiver lacks, as far as the sender knows.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerDigest {
    /// Sequence number of the last frame that the sender received on this connection; 0 before the
    /// first.
    #[serde(rename = "echo")]
    pub acked_sequence: u64,
    /// The sender's hybrid logical clock. The receiver advances its clock past it, so that its events
    /// sort after their causes at the sender.
    #[serde(rename = "stamp")]
    pub timestamp: PeerTimestamp,
    /// Configuration revision in force at the sender.
    pub revision: u64,
    /// When the sender last knew the head revision; none if it is unknown.
    pub confirmation: Option<PeerConfirmation>,
    /// Configuration changes that the receiver lacks, ordered by revision.
    pub changes: Vec<PeerChange>,
    /// Member rows that the receiver lacks.
    pub rows: Vec<PeerMember>,
    /// Newer heartbeats of members whose rows were exchanged over this connection.
    #[serde(rename = "beats")]
    pub heartbeats: Vec<PeerHeartbeat>,
    /// Members that announced their departure.
    pub departed: Vec<NodeId>,
    /// Health evidence that the receiver lacks.
    pub evidence: Vec<PeerEvidence>,
    /// Newer health checks with the same result as evidence that the sender sent on this connection.
    #[serde(rename = "looks")]
    pub observations: Vec<PeerObservation>,
}

/// A timestamp of a hybrid logical clock.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerTimestamp {
    /// Milliseconds since the Unix epoch.
    pub millis: u64,
    /// Orders timestamps within the same millisecond.
    pub counter: u32,
}

/// States that `age_ms` before the message was built the head revision was not higher than
/// `revision`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerConfirmation {
    /// Upper bound of the head revision at that time.
    pub revision: u64,
    /// Age of the observation in milliseconds.
    pub age_ms: u64,
}

/// A configuration change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerChange {
    /// Revision that the change produced.
    pub revision: u64,
    /// The change log entry as JSON. Its record has its own schema version, and this protocol must not
    /// depend on the record's format.
    pub entry: Vec<u8>,
}

/// A member's row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerMember {
    /// Id of the node.
    pub node: NodeId,
    /// Address for connections from peers.
    pub address: SocketAddr,
    /// Failure domain that the node runs in.
    pub domain: DomainId,
    /// Region that the node runs in.
    pub region: RegionId,
    /// Address for operators' connections; none without such a listener.
    pub admin: Option<SocketAddr>,
    /// Heartbeat counter, which the node itself increments.
    pub beat: u64,
}

/// A newer heartbeat. It refers to the member by index instead of its long name, because each row is
/// sent only once per connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerHeartbeat {
    /// Twice the index of the member's row among the rows that the sender sent over this connection; for
    /// a row that the sender received, the low bit is set and the index counts the received rows.
    #[serde(rename = "place")]
    pub index: u32,
    /// Heartbeat counter of the member.
    pub beat: u64,
}

/// Health evidence of one replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerEvidence {
    /// Replica that was checked.
    pub replica: ReplicaId,
    /// Incarnation that the hosts reported.
    pub incarnation: IncarnationNumber,
    /// Hosts that reported this incarnation, ordered by rank.
    pub hosts: Vec<HostId>,
    /// Whether any host reported that it is leaving.
    pub leaving: bool,
    /// Age of the oldest host report included.
    pub age: ObservationAge,
}

/// A newer health check with the same result as an earlier [`PeerEvidence`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerObservation {
    /// Index of the evidence among all evidence that the sender sent over this connection.
    #[serde(rename = "place")]
    pub index: u32,
    /// Age of the oldest host report included.
    pub age: ObservationAge,
}

/// Age of a health check in tenths of a second, rounded up. Up to 25 s it is encoded as one byte,
/// which matters because health checks are most of the traffic between peers. Evidence is valid for
/// a few seconds only, so the resolution is sufficient.
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
    /// Returns the configuration revision in force at the sender.
    #[must_use]
    pub fn revision(&self) -> ConfigRevision {
        ConfigRevision(self.revision)
    }
}

/// Chooses the protocol version of a connection; none if no version is supported by both sides.
#[must_use]
pub fn negotiate_version(hello: &PeerHello) -> Option<u8> {
    let version = hello.newest.min(NEWEST_VERSION);
    (version >= OLDEST_VERSION.max(hello.oldest)).then_some(version)
}

/// Encodes a message.
///
/// # Errors
///
/// [`PeerMessageError::Codec`] if the value can't be encoded.
pub fn encode_message<T: Serialize>(value: &T) -> Result<Vec<u8>, PeerMessageError> {
    bincode::serde::encode_to_vec(value, bincode::config::standard())
        .map_err(|error| PeerMessageError::Codec(error.to_string()))
}

/// Decodes a message of at most `LIMIT` bytes and ignores trailing bytes.
///
/// The limit also bounds the allocation that a forged length inside the message can cause.
///
/// # Errors
///
/// [`PeerMessageError::Codec`] if the bytes are malformed or exceed the limit.
pub fn decode_message<T: DeserializeOwned, const LIMIT: usize>(
    bytes: &[u8],
) -> Result<T, PeerMessageError> {
    let config = bincode::config::standard().with_limit::<LIMIT>();
    bincode::serde::decode_from_slice(bytes, config)
        .map(|(value, _)| value)
        .map_err(|error| PeerMessageError::Codec(error.to_string()))
}
