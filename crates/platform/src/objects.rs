//! Port to the object store, which keeps snapshots of the configuration.

use std::future::Future;

use bytes::Bytes;

use crate::error::StoreError;

/// The object store.
pub trait ObjectStore: Clone + Send + Sync + 'static {
    /// Reads an object.
    ///
    /// # Errors
    ///
    /// [`StoreError`].
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Bytes>, StoreError>> + Send;

    /// Writes an object if there is none of this key; returns whether it was written.
    ///
    /// # Errors
    ///
    /// [`StoreError`].
    fn put_if_absent(
        &self,
        key: &str,
        bytes: Bytes,
    ) -> impl Future<Output = Result<bool, StoreError>> + Send;
}
