//! Control plane of a node: leases, replica assembly, membership, configuration and the ledger of
//! non-idempotent calls.

pub mod amend;
pub mod assembly;
pub mod backoff;
pub mod config;
pub mod directory;
pub mod drains;
pub mod evidence_store;
pub mod fleet;
pub mod gate;
pub mod history;
pub mod housekeeping;
pub mod lease;
pub mod ledger;
pub mod members;
pub mod plans;
pub mod probe;
pub mod prober;
pub mod review;
pub mod settings;
pub mod token;
pub mod view;

pub use amend::{AmendError, AmendOutcome, Expect, RecordAmendment, amend_record};
pub use evidence_store::EvidenceStore;
pub use gate::ServiceGate;
pub use ledger::{CallLedger, ClaimKey, ClaimOutcome, ClaimTicket};
pub use members::{Member, MemberView};
pub use settings::ControlSettings;
pub use view::{ConfigView, ReplicaView, TargetView};
