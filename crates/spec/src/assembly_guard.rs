//! Guards of replica assembly.

use crate::search::SpecGuard;

/// A guard of the protocol that can be removed from the specification.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AssemblyGuard {
    /// A replica is formed only from hosts whose rows are free, checked in the same transaction.
    FreeRows,
    /// A row is freed only after the host itself has reported that it is empty.
    EmptyReport,
    /// The leader is emptied before the other hosts.
    LeaderFirst,
    /// A host is ordered into a replica only after it was empty for longer than evidence is valid.
    EmptyWait,
    /// Evidence expires.
    EvidenceExpiry,
    /// A request names its replica, and a leader refuses requests for another one.
    ReplicaCheck,
}

impl SpecGuard for AssemblyGuard {
    const ALL: &'static [Self] = &[
        Self::FreeRows,
        Self::EmptyReport,
        Self::LeaderFirst,
        Self::EmptyWait,
        Self::EvidenceExpiry,
        Self::ReplicaCheck,
    ];

    fn name(self) -> &'static str {
        match self {
            Self::FreeRows => "free rows in the transaction",
            Self::EmptyReport => "the host's empty report",
            Self::LeaderFirst => "emptying the leader first",
            Self::EmptyWait => "waiting for evidence to expire",
            Self::EvidenceExpiry => "expiry of evidence",
            Self::ReplicaCheck => "the leader's replica check",
        }
    }
}
