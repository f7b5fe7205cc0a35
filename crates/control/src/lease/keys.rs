//! Names of the leases.

use domain::{FabricId, IdError, LeaseName};

/// The lease of a fabric domain's assembly.
///
/// # Errors
///
/// [`IdError`] when the fabric's name is too long.
pub fn fabric_lease(fabric: &FabricId) -> Result<LeaseName, IdError> {
    format!("fabric:{fabric}").parse()
}

/// The lease of housekeeping.
#[must_use]
pub fn housekeeping_lease() -> LeaseName {
    "housekeeping"
        .parse()
        .unwrap_or_else(|_| unreachable!("a constant name is an id"))
}
