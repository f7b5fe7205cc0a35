//! Protocol of the platform's host list.
//!
//! `GET /hosts`: a [`HostListBody`]. The list lags: a host may be gone that it still names.

use std::net::SocketAddr;

use domain::{DomainId, FabricId, HostId, RegionId};
use serde::{Deserialize, Serialize};

/// The list.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostListBody {
    /// Raised at every change.
    pub revision: u64,
    /// The hosts.
    pub hosts: Vec<HostBody>,
}

/// One host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostBody {
    /// The host.
    pub host: HostId,
    /// Its engine's address.
    pub address: SocketAddr,
    /// Its fabric domain.
    pub fabric: FabricId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Its region.
    pub region: RegionId,
    /// Whether it is about to leave.
    pub leaving: bool,
}
