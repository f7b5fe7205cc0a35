//! Keys of the table's rows and of the objects.

use domain::record::RecordKind;
use domain::{ConfigRevision, FabricId, HostId, LeaseName, ModelName, NodeId, VersionName};

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

/// Row whose version changes with every change of any replica.
pub const FLEET_HEAD: &str = "fleet/head";

/// Prefix of the marks, one a fabric domain: small rows that share the version of the fabric's
/// fleet row, so that one short scan tells which fleets changed.
pub const FLEET_MARKS: &str = "fleet/mark/";

/// Prefix of the fleets, one row a fabric domain with all its replicas.
pub const FLEETS: &str = "fleet/plans/";

/// Prefix of the counts of replicas, one row a version of a model.
pub const REPLICA_COUNTS: &str = "census/";

/// Prefix of the lease epochs. They lie beside the leases, because a renewal changes the lease's
/// row and would fail every transaction that checks it.
pub const LEASE_EPOCHS: &str = "lease-epoch/";

/// Row with the time that housekeeping counted.
pub const RETENTION_LOG: &str = "housekeeping/retention";

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

/// Row of a fabric domain's fleet.
#[must_use]
pub fn fleet_key(fabric: &FabricId) -> String {
    format!("{FLEETS}{fabric}")
}

/// Mark of a fabric domain's fleet.
#[must_use]
pub fn mark_key(fabric: &FabricId) -> String {
    format!("{FLEET_MARKS}{fabric}")
}

/// Row with the count of replicas of a model's version.
#[must_use]
pub fn replica_count_key(model: &ModelName, version: &VersionName) -> String {
    format!("{REPLICA_COUNTS}{model}/{version}")
}

/// Row of a lease's epoch.
#[must_use]
pub fn epoch_key(lease: &LeaseName) -> String {
    format!("{LEASE_EPOCHS}{lease}")
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
