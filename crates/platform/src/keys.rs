//! Keys of the table's rows and of the objects.

use domain::record::RecordKind;
use domain::{ConfigRevision, HostId, LeaseName, NodeId, ReplicaId};

/// Row of the configuration's head.
pub const CONFIG_HEAD: &str = "config/head";

/// Prefix of the change log, ordered by revision.
pub const CONFIG_LOG: &str = "config/log/";

/// Row that names the newest snapshot of the configuration.
pub const CONFIG_SNAPSHOT: &str = "config/snapshot";

/// Prefix of the operators' records.
pub const RECORDS: &str = "record/";

/// Prefix of the host slots.
pub const HOSTS: &str = "host/";

/// Prefix of the replicas.
pub const REPLICAS: &str = "replica/";

/// Prefix of the members.
pub const MEMBERS: &str = "member/";

/// Prefix of the leases.
pub const LEASES: &str = "lease/";

/// Prefix of the ledger's claims.
pub const CLAIMS: &str = "claim/";

/// Row of a record.
#[must_use]
pub fn record_key(kind: RecordKind, name: &str) -> String {
    format!("{RECORDS}{}/{name}", kind.as_str())
}

/// Row of a change.
#[must_use]
pub fn change_key(revision: ConfigRevision) -> String {
    format!("{CONFIG_LOG}{:020}", revision.0)
}

/// Row of a host's slot.
#[must_use]
pub fn host_key(host: &HostId) -> String {
    format!("{HOSTS}{host}")
}

/// Row of a replica.
#[must_use]
pub fn replica_key(replica: &ReplicaId) -> String {
    format!("{REPLICAS}{replica}")
}

/// Row of a member.
#[must_use]
pub fn member_key(node: &NodeId) -> String {
    format!("{MEMBERS}{node}")
}

/// Row of a lease.
#[must_use]
pub fn lease_key(lease: &LeaseName) -> String {
    format!("{LEASES}{lease}")
}

/// Object of a snapshot of the configuration.
#[must_use]
pub fn snapshot_key(revision: ConfigRevision) -> String {
    format!("config/snapshot/{:020}", revision.0)
}
