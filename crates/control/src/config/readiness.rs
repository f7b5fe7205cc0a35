//! Whether a node may serve with the configuration that it has.
//!
//! A node can't know what is in force *now*, only what was at some moment. A *confirmation* says:
//! at a moment no earlier than t on this node's monotonic clock, the head was at revision r. It
//! comes from a read of the table that began at t, or from a peer: a peer's answer carries the age
//! of its own confirmation, and this node subtracts that age from the moment at which it *sent the
//! question*. A pause of either side, or an answer that lies in a buffer while this node is
//! frozen, thus only makes a confirmation look older than it is.
//!
//! A confirmation counts when revision r or a higher one is applied here. The rules:
//!
//! * With one that is younger than `confirm_limit` the node serves.
//! * Without, but hearing heartbeats of more than half of the roster, it serves: whoever reaches
//!   the table would have confirmed over the peers, so as far as the majority can tell the store
//!   is down for all and nothing new can be accepted.
//! * A node that knows of a higher revision which it can't get never serves under that rule.
//! * Otherwise it is cut off and steps out of service: others may have gone on without it.
//! * A starting node may use the majority rule only after it held for `settle`. What a small, cut
//!   off group of old nodes tells it about the roster includes the many whom it does not hear.
//!
//! What can't be excluded: more than half of the nodes are cut off from the table, hear each other
//! and serve what they have, while an operator who still reaches the table amends it over the
//! small side. To exclude that, service would have to stop whenever the store is down, which the
//! brief rules out. An amendment that was accepted just before the store went down, and that no
//! node read, comes into force when the store is back.

use std::time::Duration;

use crate::members::MemberReach;

/// Whether and why a node serves.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum NodeReadiness {
    /// It has not learned what is in force since its start.
    #[default]
    Starting,
    /// It knows what was in force a moment ago.
    Confirmed,
    /// The store is down for all, and it goes on with what is in force.
    StoreDown,
    /// It can't know what is in force.
    CutOff,
}

impl NodeReadiness {
    /// Whether the node may serve.
    #[must_use]
    pub fn serves(self) -> bool {
        matches!(self, Self::Confirmed | Self::StoreDown)
    }

    /// The standing in a few words.
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

/// What a node's standing follows from.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReadinessFacts {
    /// Whether any configuration is applied.
    pub applied: bool,
    /// Age of the newest confirmation that counts.
    pub confirmed_age: Option<Duration>,
    /// Whether the node served before. A confirmation alone does not tell: peers that are cut off
    /// pass on the last one that they had, however old.
    pub served: bool,
    /// Whether a revision is known to exist that is not applied.
    pub behind: bool,
    /// How much of the roster is heard.
    pub reach: MemberReach,
    /// How long a majority has been heard without a break.
    pub majority_held: Duration,
}

/// The rule's limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadinessPolicy {
    /// Greatest age of a confirmation.
    pub confirm_limit: Duration,
    /// How long a starting node has to hear the majority.
    pub settle: Duration,
}

impl ReadinessPolicy {
    /// A node's standing.
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
