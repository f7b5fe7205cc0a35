//! Protocol of the platform's host list.
//!
//! `GET /hosts`: a [`HostListBody`]. The list lags behind the actual state, so it may contain hosts
//! that no longer exist.

use std::net::SocketAddr;

use domain::{DomainId, FabricId, HostId, RegionId};
use serde::{Deserialize, Serialize};

/// The host list.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostListBody {
    /// Revision of the list, which increases with every change.
    pub revision: u64,
    /// All hosts of the list.
    pub hosts: Vec<HostBody>,
}

/// An entry of the host list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostBody {
    /// Id of the host.
    pub host: HostId,
    /// Address of the host's engine.
    pub address: SocketAddr,
    /// Fabric domain, within which a replica's hosts must lie.
    pub fabric: FabricId,
    /// Failure domain of the host.
    pub domain: DomainId,
    /// Region of the host.
    pub region: RegionId,
    /// Whether the host is about to leave the list.
    pub leaving: bool,
}
