//! Guards of replica formation.

use crate::search::SpecGuard;

/// A guard of the protocol that can be removed from the specification.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FormationGuard {
    /// A host accepts an order only if it has accepted as many before as the order names.
    ExpectedOrderCount,
    /// A head leaves its replica before it joins another.
    HeadLeavesBeforeJoin,
    /// A member joins another replica only after the head has left the old one.
    HeadLeavesFirst,
    /// A replica is opened only after every member was observed in it.
    AllMembersObserved,
    /// A replica name is used for one formation; another attempt needs another name.
    UniqueName,
    /// After a restore of the store, steps rest on what hosts report, not on their entries.
    ReportsAfterRestore,
    /// Epochs are taken from the store's era and version, not from its version alone.
    EraInEpochs,
}

impl SpecGuard for FormationGuard {
    const ALL: &'static [Self] = &[
        Self::ExpectedOrderCount,
        Self::HeadLeavesBeforeJoin,
        Self::HeadLeavesFirst,
        Self::AllMembersObserved,
        Self::UniqueName,
        Self::ReportsAfterRestore,
        Self::EraInEpochs,
    ];

    fn name(self) -> &'static str {
        match self {
            Self::ExpectedOrderCount => "expected order counts",
            Self::HeadLeavesBeforeJoin => "leaving before joining",
            Self::HeadLeavesFirst => "the head leaving first",
            Self::AllMembersObserved => "observing all members",
            Self::UniqueName => "unique replica names",
            Self::ReportsAfterRestore => "reports after a restore",
            Self::EraInEpochs => "the era in epochs",
        }
    }
}
