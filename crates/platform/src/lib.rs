//! Interfaces to the platform's table, object store and host list.
//!
//! The rest of the program depends only on the traits; [`http`] holds the clients that implement
//! them over the platform's protocol. Another platform needs only other clients.

pub mod budget;
pub mod circuit;
pub mod error;
pub mod hostlist;
pub mod http;
pub mod keys;
pub mod limits;
pub mod objects;
pub mod retry;
pub mod table;
mod table_wire;

pub use budget::BudgetedTable;
pub use circuit::CircuitState;
pub use error::StoreError;
pub use hostlist::{HostEntry, HostListSource, HostListing};
pub use limits::BudgetSettings;
pub use objects::ObjectStore;
pub use retry::commit_with_retries;
pub use table::{
    CommitOutcome, RowChange, RowConflict, RowExpectation, RowRead, TableRow, TableStore,
    WriteBatch,
};
