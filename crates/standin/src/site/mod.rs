//! The users' platform in small: its store of rows, its engines with replicas, its plain services.
//!
//! Everything runs in the test's own process and speaks the platform's published calls on
//! loopback, so that tests run the clients that are shipped.

mod engine;
mod groups;
mod http;
mod orders;
mod service;
mod store;
mod stream;

pub use engine::{CRASH_BODY, SiteEngine};
pub use groups::SiteGroups;
pub use http::ConnectionLossGuard;
pub use service::{ServiceMode, SiteInstance};
pub use store::{SiteStore, StoreMode};
