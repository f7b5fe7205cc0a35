//! Decides whether a node may serve with the configuration that it has.
//!
//! A node can't know the head *now*, only what it was at some point in time. A *confirmation* says:
//! at a time no earlier than t on this node's monotonic clock, the head was at revision r. It comes
//! from a read of the table that began at t, or from a peer: a peer's response carries the age of
//! its own confirmation, and this node subtracts that age from the time at which it *sent the
//! request*. A pause on either side, or a response that is buffered while this node is suspended,
//! therefore only makes a confirmation look older than it is.
//!
//! A confirmation counts when revision r or a higher one is applied here. The rules:
//!
//! * With a confirmation younger than `confirm_limit` the node serves.
//! * Without one, but with heartbeats from more than half of the roster, it serves: a node that
//!   reaches the table would have confirmed through its peers, so as far as the majority can tell
//!   the store is down for all and nothing new can be accepted.
//! * A node that knows of a higher revision which it can't fetch never serves under that rule.
//! * Otherwise it is cut off and stops serving: others may have continued without it.
//! * A starting node may use the majority rule only after it held for `settle`. The roster that it
//!   learns from a small, partitioned group of nodes includes the many that it does not hear.
//!
//! One case is not excluded: more than half of the nodes are partitioned from the table, hear each
//! other and serve their configuration, while an operator who still reaches the table amends it
//! through the minority. Excluding it would mean to stop serving whenever the store is down, which
//! the requirements rule out. An amendment that was accepted just before the store went down, and
//! that no node read, comes into force when the store is back.

use std::time::Duration;

use crate::members::MemberReach;

/// Whether and why a node serves.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum NodeReadiness {
    /// It has not learned the configuration in force since its start.
    #[default]
    Starting,
    /// It has a recent confirmation of the head.
    Confirmed,
    /// The store is down for all nodes; it serves with its last configuration.
    StoreDown,
    /// It can't learn the head; it does not serve.
    CutOff,
}

impl NodeReadiness {
    /// Whether the node may serve.
    #[must_use]
    pub fn serves(self) -> bool {
        matches!(self, Self::Confirmed | Self::StoreDown)
    }

    /// Description for operators and events; the value of the outer field `standing`.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Starting => "has not learned the configuration in force yet",
            Self::Confirmed => "knows the configuration in force",
            Self::StoreDown => "goes on with its configuration while the store is down for all",
            Self::CutOff => "is cut off from the table and from peers that reach it",
        }
    }
}

/// Inputs of the readiness decision.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReadinessFacts {
    /// Whether any configuration is applied.
    pub applied: bool,
    /// Age of the newest confirmation that counts; none before the first one.
    pub confirmed_age: Option<Duration>,
    /// Whether the node served before. A confirmation alone does not tell: nodes that are cut off
    /// pass on their last one, however old.
    pub served: bool,
    /// Whether a revision is known to exist that is not applied.
    pub behind: bool,
    /// Reachable part of the roster.
    pub reach: MemberReach,
    /// How long a majority has been reachable without interruption.
    pub majority_held: Duration,
}

/// Limits of the readiness decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadinessPolicy {
    /// Maximum age of a confirmation.
    pub confirm_limit: Duration,
    /// How long a starting node must hear a majority.
    pub settle: Duration,
}

impl ReadinessPolicy {
    /// Decides a node's readiness.
    #[must_use]
    pub fn evaluate(&self, facts: &ReadinessFacts) -> NodeReadiness {
        if facts
            .confirmed_age
            .is_some_and(|age| age <= self.confirm_limit)
        {
            return NodeReadiness::Confirmed;
        }
        let settled = facts.served || facts.majority_held >= self.settle;
        let majority = facts.applied && facts.reach.is_majority() && !facts.behind;
        match (facts.served, majority && settled) {
            (_, true) => NodeReadiness::StoreDown,
            (true, false) => NodeReadiness::CutOff,
            (false, false) => NodeReadiness::Starting,
        }
    }
}
