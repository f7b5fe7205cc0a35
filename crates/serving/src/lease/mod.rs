//! Parts of a total that all nodes share, leased from the platform's store.
//!
//! A total is divided into slots, each a row of the store. A node uses the slots that it holds. The sum
//! of what nodes use stays within the total whatever they see of each other, since a slot changes hands
//! only by a conditional write, and a holder stops by its own clock before anyone else may begin. The
//! number of live nodes only decides how many slots a node asks for.

mod clock;
mod ledger;

use std::time::Duration;

use domain::EraVersion;

pub use clock::StoreClock;
pub use ledger::{LeaseLedger, LeasePage};

/// For how long slots are leased.
#[derive(Debug, Clone, Copy)]
pub struct LeaseTerms {
    /// Time from a lease's write to its end.
    pub duration: Duration,
    /// Age from which a lease is renewed.
    pub renew_after: Duration,
    /// Time after the end of a lease, or after the start of a process, within which what was sent under
    /// the previous lease still counts against the total.
    pub settle: Duration,
}

/// A lease as its row tells it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SlotLease {
    /// Name of the node and its address. Only one process at a time listens at an address, so a process
    /// with the same name and address follows one that has ended.
    pub holder: String,
    /// End of the lease, on the store's clock.
    pub until: Duration,
}

/// What the store holds for a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SlotRow {
    /// Nothing: it was never leased.
    Absent,
    /// The last lease, which may have ended.
    Leased(SlotLease),
    /// Something that this version of the program does not understand. The slot is left alone.
    Unreadable,
}

/// A conditional write of one slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SlotWrite {
    /// Number of the slot.
    pub slot: usize,
    /// Version that the row must have; [`EraVersion::absent`] if there must be none.
    pub expected: EraVersion,
    /// The new lease.
    pub lease: SlotLease,
}
