//! How many connections a process accepts at its listeners, and which one is closed when a new one comes at the bound.
//!
//! The load that this handles: more connections than the process has descriptors or memory for, most of which never
//! send a whole request. If they were all kept, nobody else could connect, and the process could not open connections
//! of its own to targets, the store or other nodes.

mod limits;
mod places;
mod table;

pub use limits::{ConnectionLimits, MAX_STATUS_CONNECTIONS, descriptor_limit};
pub use places::{Admission, ConnectionCloser, ConnectionPlace, ConnectionPlaces, PlaceReport};
pub use table::{ConnectionKey, ConnectionState, ConnectionTable, TableFull};
