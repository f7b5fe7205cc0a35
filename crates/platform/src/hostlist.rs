//! Interface to the platform's host list, which lags behind the actual state.

use std::future::Future;
use std::net::SocketAddr;

use domain::{DomainId, FabricId, HostId, RegionId};

use crate::error::StoreError;

/// An entry of the host list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostEntry {
    /// Id of the host.
    pub host: HostId,
    /// Address of the host's engine.
    pub address: SocketAddr,
    /// Fabric domain, within which a replica's hosts must lie.
    pub fabric: FabricId,
    /// Failure domain.
    pub domain: DomainId,
    /// Region of the host.
    pub region: RegionId,
    /// Whether the host is about to leave the list.
    pub leaving: bool,
}

/// The host list at some moment in the past.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HostListing {
    /// Revision of the list, which increases with every change.
    pub revision: u64,
    /// All hosts of the list.
    pub hosts: Vec<HostEntry>,
}

/// A source of the host list.
pub trait HostListSource: Clone + Send + Sync + 'static {
    /// Reads the list.
    ///
    /// # Errors
    ///
    /// [`StoreError`].
    fn list(&self) -> impl Future<Output = Result<HostListing, StoreError>> + Send;

    /// Reads the list, or returns none if its revision is still `known`. A source without
    /// conditional reads returns the whole list every time.
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
