//! Protocol between an operator's client and a node's admin listener.
//!
//! All calls but `/metrics` carry `Authorization: Bearer` with the operators' key.
//!
//! * `POST /amend` with an [`AmendRequest`]: an [`AmendResponse`].
//! * `GET /records?kind=K`, `GET /records/{kind}/{name}`: [`RecordBody`] rows.
//! * `GET /history?kind=K&name=N&limit=L`: [`ChangeBody`] rows, newest first.
//! * `GET /status`: a [`NodeStatus`]. `GET /events`: the node's events. `GET /metrics`: text.

use std::net::SocketAddr;

use domain::record::RecordKind;
use domain::{
    ConfigRevision, DomainId, FindingList, HostId, IncarnationNumber, ModelName, NodeId, RegionId,
    ReplicaId, VersionName, WriteToken,
};
use serde::{Deserialize, Serialize};

use crate::record::RecordEnvelope;

/// Text of a 404 for a record that is not there.
pub const RECORD_NOT_FOUND: &str = "no such record";

/// Text of a 404 for a path that is no call.
pub const PATH_NOT_FOUND: &str = "no such call";

/// What an operator expects of the record that is to be amended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "is", rename_all = "snake_case")]
pub enum ExpectBody {
    /// Whatever is there when the amendment begins.
    #[default]
    Any,
    /// There is no such record.
    Absent,
    /// It was last written by this revision.
    Revision {
        /// The revision.
        revision: ConfigRevision,
    },
}

/// An amendment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AmendRequest {
    /// Kind of the record.
    pub kind: RecordKind,
    /// Name of the record.
    pub name: String,
    /// The new record; none deletes it.
    pub record: Option<RecordEnvelope>,
    /// What must hold of it.
    #[serde(default)]
    pub expect: ExpectBody,
    /// Who amends it, for the history.
    pub operator: String,
    /// Marks the amendment, so that it can be found again when the answer is lost.
    pub token: WriteToken,
}

/// What became of an amendment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum AmendResponse {
    /// It is accepted.
    Accepted {
        /// Its revision.
        revision: ConfigRevision,
        /// What looks wrong all the same.
        warnings: FindingList,
    },
    /// The record is not what the operator expected, or another operator was faster.
    Conflict {
        /// The record as it is now.
        current: Option<RecordBody>,
        /// The change that made it so.
        change: Option<ChangeBody>,
    },
    /// It can't be accepted as it is.
    Refused {
        /// Why.
        findings: FindingList,
    },
    /// Nothing took effect: the store gave no answer or the node can't reach enough others.
    Unavailable {
        /// Why.
        reason: String,
    },
    /// It may or may not be accepted.
    Unsettled {
        /// The revision that it would have made.
        revision: ConfigRevision,
        /// Why it is open, and what to do.
        reason: String,
    },
}

/// A record with the revision that wrote it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RecordBody {
    /// The revision.
    pub revision: ConfigRevision,
    /// The record.
    pub record: RecordEnvelope,
}

/// A change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChangeBody {
    /// Revision that it made.
    pub revision: ConfigRevision,
    /// Kind of the record.
    pub kind: RecordKind,
    /// Name of the record.
    pub name: String,
    /// The record after it; none after a delete.
    pub record: Option<RecordEnvelope>,
    /// Who made it.
    pub operator: String,
    /// Token of the amendment, with the number of its try behind a dot.
    pub token: String,
}

/// What a node says of itself and of what it sees.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// The node.
    pub node: NodeId,
    /// Whether it takes callers' requests.
    pub ready: bool,
    /// Why it does or does not, in a few words.
    #[serde(rename = "standing")]
    pub readiness: String,
    /// Revision in force on it.
    pub revision: ConfigRevision,
    /// Records whose schema version it does not know.
    pub unknown_records: Vec<String>,
    /// Replicas that it knows.
    pub replicas: Vec<ReplicaStatus>,
    /// Hosts that are paid for and serve nothing.
    pub stranded_hosts: Vec<HostId>,
    /// Replica-seconds of group downtime since the process's start.
    pub group_downtime_seconds: f64,
    /// Host-seconds of stranded hosts since the process's start.
    pub stranded_seconds: f64,
    /// Leases that it holds.
    pub leases: Vec<String>,
    /// Entry hosts that it knows.
    pub members: Vec<MemberStatus>,
}

/// A replica as a node sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// The replica.
    pub replica: ReplicaId,
    /// Its incarnation.
    pub incarnation: IncarnationNumber,
    /// Its model.
    pub model: ModelName,
    /// Its version.
    pub version: VersionName,
    /// Its hosts by rank.
    pub hosts: Vec<HostId>,
    /// Whether the node may dispatch to it.
    pub state: ReplicaState,
}

/// Whether a replica takes work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplicaState {
    /// All its hosts are there.
    Whole,
    /// It takes no new work and will be dissolved.
    Draining,
    /// There is no fresh evidence that all its hosts are there.
    Broken,
}

impl ReplicaState {
    /// The state as a word.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::Draining => "draining",
            Self::Broken => "broken",
        }
    }
}

/// An entry host as another one sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The node.
    pub node: NodeId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Its region.
    pub region: RegionId,
    /// Its admin listener.
    pub admin: Option<SocketAddr>,
}
