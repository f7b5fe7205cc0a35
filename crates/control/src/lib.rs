//! Leases, assembly, membership, configuration and the ledger.

pub mod amend;
pub mod assembly;
pub mod config;
pub mod fleet;
pub mod gate;
pub mod history;
pub mod ledger;
pub mod members;
pub mod review;
pub mod view;

pub use amend::{AmendError, AmendOutcome, Expect, RecordAmendment, amend_record};
pub use gate::ServiceGate;
pub use ledger::{CallLedger, ClaimKey, ClaimOutcome, ClaimTicket};
pub use members::{Member, MemberView};
pub use view::{ConfigView, ReplicaView, TargetView};
