//! Interface to the object store, which holds configuration snapshots.

use std::future::Future;

use bytes::Bytes;

use crate::error::StoreError;

/// An object store.
pub trait ObjectStore: Clone + Send + Sync + 'static {
    /// Reads an object; none if it does not exist.
    ///
    /// # Errors
    ///
    /// [`StoreError`].
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Bytes>, StoreError>> + Send;

    /// Writes an object unless the key exists; returns whether it was written.
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
