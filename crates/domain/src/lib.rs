//! Domain types: records, replicas, hosts, leases and claims, with typed ids.
//!
//! This crate contains data types and their invariants, without I/O, clocks or randomness. Times
//! are ages ([`std::time::Duration`]) on the monotonic clock of the process that holds the value,
//! because the clocks of two hosts are never compared.

pub mod arena;
pub mod claim;
pub mod era;
pub mod evidence;
pub mod finding;
pub mod fleet;
pub mod host;
pub mod ids;
pub mod lease;
pub mod maps;
pub mod prompt;
pub mod record;
pub mod replica;
pub mod retention;

pub use arena::{CustomerKey, HostKey, TargetKey};
pub use claim::{CallClaim, ClaimState};
pub use era::{EraVersion, StoreEra};
pub use evidence::HealthEvidence;
pub use finding::{FindingList, RecordFinding};
pub use fleet::FabricFleet;
pub use host::HostSlot;
pub use ids::*;
pub use lease::LeaseRecord;
pub use maps::{FastMap, FastSet};
pub use prompt::PromptPartId;
pub use record::RecordSpec;
pub use replica::ReplicaPlan;
pub use retention::RetentionLog;
