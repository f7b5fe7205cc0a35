//! Protocol between the operator's client and a node's admin listener.
//!
//! All requests except `/metrics` require `Authorization: Bearer` with the operators' key.
//!
//! * `POST /amend` with an [`AmendRequest`]: an [`AmendResponse`].
//! * `GET /records?kind=K`, `GET /records/{kind}/{name}`: [`RecordBody`] items.
//! * `GET /history?kind=K&name=N&limit=L`: [`ChangeBody`] items, newest first.
//! * `GET /status`: a [`NodeStatus`].
//! * `GET /events`: the node's recent events.
//! * `GET /metrics`: metrics in the Prometheus text format.

use std::net::SocketAddr;

use domain::record::RecordKind;
use domain::{
    ConfigRevision, DomainId, FindingList, HostId, IncarnationNumber, ModelName, NodeId, RegionId,
    ReplicaId, VersionName, WriteToken,
};
use serde::{Deserialize, Serialize};

use crate::record::RecordEnvelope;

/// Body of a 404 response for a record that does not exist.
pub const RECORD_NOT_FOUND: &str = "no such record";

/// Body of a 404 response for a path that does not exist.
pub const PATH_NOT_FOUND: &str = "no such call";

/// What an operator expects of the record before the amendment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "is", rename_all = "snake_case")]
pub enum ExpectBody {
    /// Whatever is there when the amendment starts.
    #[default]
    Any,
    /// There is no such record.
    Absent,
    /// The record was last written by this revision.
    Revision {
        /// Expected revision of the record.
        revision: ConfigRevision,
    },
}

/// A change of one record that an operator asks for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AmendRequest {
    /// Kind of the record.
    pub kind: RecordKind,
    /// Name of the record.
    pub name: String,
    /// The new content; none deletes the record.
    pub record: Option<RecordEnvelope>,
    /// Precondition on the current record.
    #[serde(default)]
    pub expect: ExpectBody,
    /// Name of the operator, written to the change log.
    pub operator: String,
    /// Idempotency token, by which the amendment can be found in the change log if the response is lost.
    pub token: WriteToken,
}

/// Response to an [`AmendRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum AmendResponse {
    /// The amendment is accepted.
    Accepted {
        /// Revision that the amendment produced.
        revision: ConfigRevision,
        /// Findings that did not prevent the amendment but should be reviewed.
        warnings: FindingList,
    },
    /// The record does not meet the expectation, or another operator changed it first.
    Conflict {
        /// The current record; none when there is none.
        current: Option<RecordBody>,
        /// The change that wrote the current record, while the log keeps it.
        change: Option<ChangeBody>,
    },
    /// The amendment is invalid.
    Refused {
        /// What is wrong with the record, by field.
        findings: FindingList,
    },
    /// Nothing was changed, because the store is unavailable or the node can't reach enough peers.
    Unavailable {
        /// Why the node can't accept amendments.
        reason: String,
    },
    /// The amendment may or may not be accepted.
    Unsettled {
        /// The revision that the amendment would have made.
        revision: ConfigRevision,
        /// Why the outcome is unknown, and what to do.
        reason: String,
    },
}

/// A record and the revision that last wrote it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RecordBody {
    /// Revision that last wrote the record.
    pub revision: ConfigRevision,
    /// Content of the record.
    pub record: RecordEnvelope,
}

/// An entry of the change log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChangeBody {
    /// Revision that the change produced.
    pub revision: ConfigRevision,
    /// Kind of the record.
    pub kind: RecordKind,
    /// Name of the record.
    pub name: String,
    /// The record after the change; none after a deletion.
    pub record: Option<RecordEnvelope>,
    /// Name of the operator who made the change.
    pub operator: String,
    /// Token of the amendment, followed by a dot and the number of the attempt.
    pub token: String,
}

/// Status of a node, and its view of the deployment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Id of the node.
    pub node: NodeId,
    /// Whether the node accepts client requests.
    pub ready: bool,
    /// Readiness of the node, which explains `ready` in a few words.
    #[serde(rename = "standing")]
    pub readiness: String,
    /// Configuration revision in force on the node.
    pub revision: ConfigRevision,
    /// Records that the node ignores, because it does not support their schema version or they violate a
    /// rule.
    pub unknown_records: Vec<String>,
    /// Replicas known to the node.
    pub replicas: Vec<ReplicaStatus>,
    /// Hosts that are provisioned but serve nothing.
    pub stranded_hosts: Vec<HostId>,
    /// Downtime of replicas since the start of the process, in seconds summed over replicas.
    pub group_downtime_seconds: f64,
    /// Time of stranded hosts since the start of the process, in seconds summed over hosts.
    pub stranded_seconds: f64,
    /// Names of the leases that the node holds.
    pub leases: Vec<String>,
    /// Entry nodes known to the node.
    pub members: Vec<MemberStatus>,
}

/// A replica as seen by a node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// Id of the replica.
    pub replica: ReplicaId,
    /// Incarnation of the replica's plan.
    pub incarnation: IncarnationNumber,
    /// Model that the replica serves.
    pub model: ModelName,
    /// Version of the model's weights.
    pub version: VersionName,
    /// Hosts of the replica, ordered by rank.
    pub hosts: Vec<HostId>,
    /// Whether the node may dispatch to it.
    pub state: ReplicaState,
}

/// Whether a replica accepts requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplicaState {
    /// There is recent evidence that all hosts of the replica are up.
    Whole,
    /// The replica accepts no new requests and will be dissolved.
    Draining,
    /// There is no recent evidence that all hosts of the replica are up.
    Broken,
}

impl ReplicaState {
    /// Returns the name of the state in lower case, as in the JSON format.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::Draining => "draining",
            Self::Broken => "broken",
        }
    }
}

/// An entry node as seen by another one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Id of the node.
    pub node: NodeId,
    /// Failure domain that the node runs in.
    pub domain: DomainId,
    /// Region that the node runs in.
    pub region: RegionId,
    /// Address of the node's admin listener; none without one.
    pub admin: Option<SocketAddr>,
}
