//! Keys of the rows in the table and of the objects in the object store.

use domain::record::RecordKind;
use domain::{ConfigRevision, FabricId, HostId, LeaseName, ModelName, NodeId, VersionName};

/// Row with the newest revision of the configuration.
pub const CONFIG_HEAD: &str = "config/head";

/// Prefix of the rows of the configuration's change log, whose keys sort by revision.
pub const CONFIG_LOG: &str = "config/log/";

/// Row with the revision of the newest configuration snapshot.
pub const CONFIG_SNAPSHOT: &str = "config/snapshot";

/// Prefix of the rows of the configuration records.
pub const RECORDS: &str = "record/";

/// Prefix of the rows that assign hosts to replicas.
pub const HOSTS: &str = "host/";

/// Row whose version changes whenever any fleet changes.
pub const FLEET_HEAD: &str = "fleet/head";

/// Prefix of the marks, one per fabric domain. A mark is a small row that is written together with
/// the fleet row and so has the same version: one short scan shows which fleets changed.
pub const FLEET_MARKS: &str = "fleet/mark/";

/// Prefix of the fleets, one row per fabric domain with all its replicas.
pub const FLEETS: &str = "fleet/plans/";

/// Prefix of the replica counts, one row per version of a model.
pub const REPLICA_COUNTS: &str = "census/";

/// Prefix of the lease epochs. They are separate from the leases, because each renewal changes the
/// lease's row, which would fail every transaction that checks it.
pub const LEASE_EPOCHS: &str = "lease-epoch/";

/// Row in which housekeeping counts the time that has passed, to tell which claims have expired.
pub const RETENTION_LOG: &str = "housekeeping/retention";

/// Prefix of the rows in which entry nodes announce themselves.
pub const MEMBERS: &str = "member/";

/// Prefix of the lease records.
pub const LEASES: &str = "lease/";

/// Prefix of the claims of non-idempotent calls.
pub const CLAIMS: &str = "claim/";

/// Returns the key of a record's row.
#[must_use]
pub fn record_key(kind: RecordKind, name: &str) -> String {
    format!("{RECORDS}{}/{name}", kind.as_str())
}

/// Returns the key of a change; the revision is padded with zeros so that keys sort by it.
#[must_use]
pub fn change_key(revision: ConfigRevision) -> String {
    format!("{CONFIG_LOG}{:020}", revision.0)
}

/// Returns the key of the row that assigns a host to a replica.
#[must_use]
pub fn host_key(host: &HostId) -> String {
    format!("{HOSTS}{host}")
}

/// Returns the key of a fabric domain's fleet.
#[must_use]
pub fn fleet_key(fabric: &FabricId) -> String {
    format!("{FLEETS}{fabric}")
}

/// Returns the key of the mark of a fabric domain's fleet.
#[must_use]
pub fn mark_key(fabric: &FabricId) -> String {
    format!("{FLEET_MARKS}{fabric}")
}

/// Returns the key of the replica count of a model's version.
#[must_use]
pub fn replica_count_key(model: &ModelName, version: &VersionName) -> String {
    format!("{REPLICA_COUNTS}{model}/{version}")
}

/// Returns the key of a lease's epoch.
#[must_use]
pub fn epoch_key(lease: &LeaseName) -> String {
    format!("{LEASE_EPOCHS}{lease}")
}

/// Returns the key of an entry node's member row.
#[must_use]
pub fn member_key(node: &NodeId) -> String {
    format!("{MEMBERS}{node}")
}

/// Returns the key of a lease's row.
#[must_use]
pub fn lease_key(lease: &LeaseName) -> String {
    format!("{LEASES}{lease}")
}

/// Returns the key of the object with a configuration snapshot.
#[must_use]
pub fn snapshot_key(revision: ConfigRevision) -> String {
    format!("config/snapshot/{:020}", revision.0)
}
