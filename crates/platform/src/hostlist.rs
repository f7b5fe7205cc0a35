//! Port to the platform's lagging list of hosts.

use std::future::Future;
use std::net::SocketAddr;

use domain::{DomainId, FabricId, HostId, RegionId};

use crate::error::StoreError;

/// One host of the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostEntry {
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

/// The list at some moment in the past.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HostListing {
    /// Raised at every change.
    pub revision: u64,
    /// The hosts.
    pub hosts: Vec<HostEntry>,
}

/// The host list.
pub trait HostListSource: Clone + Send + Sync + 'static {
    /// Reads the list.
    ///
    /// # Errors
    ///
    /// [`StoreError`].
    fn list(&self) -> impl Future<Output = Result<HostListing, StoreError>> + Send;

    /// Reads the list unless it still has the revision `known`; none when it has. A list that
    /// knows no conditional reads answers in full every time.
    ///
    /// # Errors
    ///
    /// [`StoreError`].
    fn list_if_changed(
        &self,
        known: Option<u64>,
    ) -> impl Future<Output = Result<Option<HostListing>, StoreError>> + Send {
        let _ = known;
        async { self.list().await.map(Some) }
    }
}
