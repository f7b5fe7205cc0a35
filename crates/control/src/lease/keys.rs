//! Names of the leases.

use domain::{FabricId, IdError, LeaseName};

/// Name of the lease under which the replicas of a fabric domain are assembled.
///
/// # Errors
///
/// [`IdError`] when the fabric's name is too long.
pub fn fabric_lease(fabric: &FabricId) -> Result<LeaseName, IdError> {
    format!("fabric:{fabric}").parse()
}

/// Name of the lease under which old claims are deleted.
#[must_use]
pub fn housekeeping_lease() -> LeaseName {
    "housekeeping"
        .parse()
        .unwrap_or_else(|_| unreachable!("a constant name is an id"))
}
