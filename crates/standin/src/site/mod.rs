//! A small in-process version of the users' platform: its row store, its engines with replicas and
//! its plain services.
//!
//! It runs in the test's process and serves the platform's published HTTP API on loopback, so that
//! tests exercise the production clients.

mod arrivals;
mod endless;
mod engine;
mod engine_control;
mod gate;
mod groups;
mod http;
mod orders;
mod replacements;
mod service;
mod store;
mod store_calls;
mod store_drill;
mod store_rows;
mod stream;

pub use arrivals::{ArrivalLog, RetryAllowance, WorstWindow};
pub use endless::{EndlessInstance, EndlessKind};
pub use engine::{CRASH_BODY, CRASH_PART, SiteEngine};
pub use gate::{GateMode, StoreGate};
pub use groups::SiteGroups;
pub use http::ConnectionLossGuard;
pub use service::{ServiceMode, SiteInstance};
pub use store::SiteStore;
pub use store_calls::{StoreMode, StoreRates};
pub use store_drill::{EraStatement, LostRows, StoreCopy};
pub use store_rows::ROW_VERSION;
