//! What a link between two nodes carries: small changes that must not wait, and tables so large that
//! they take many ticks.
//!
//! A follower learns of a drain and of configurations from a source. The link carries one part of a
//! large table in a tick, and may be disturbed in any tick, in which it carries nothing. The source, and
//! with it the follower's whole failure domain, may be turned away by the store; a node of another
//! domain then knows what the source does not.

use crate::search::{ProtocolModel, SpecGuard};

/// Parts of the largest table.
const TABLE_PARTS: u8 = 4;

/// Maximum number of configurations in one run.
const MAX_TABLES: u8 = 2;

/// Maximum number of ticks in one run in which the link carries nothing, or in which the store turns
/// the failure domain away.
const MAX_DISTURBANCES: u8 = 2;

/// Ticks after which a response without progress is given up.
const PROGRESS_TIMEOUT: u8 = 1;

/// Ticks that a whole response gets, if there is a limit on it.
const TOTAL_TIMEOUT: u8 = 2;

/// Ticks within which a drain must be known, besides those in which nothing could reach the follower.
const DRAIN_BOUND: u8 = 2;

/// Ticks within which the newest configuration must be known, counted from it or from the last
/// disturbance: a response that is given up once, and a whole one.
const TABLE_BOUND: u8 = 2 * TABLE_PARTS;

/// A guard of the protocol that can be removed from the specification.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LaneGuard {
    /// Urgent changes don't wait for large tables.
    SeparateLanes,
    /// A response is given up for a lack of progress, not for its length.
    ProgressTimeout,
    /// A node that its failure domain can't tell follows another one.
    OtherDomains,
    /// A change is taken only if it is newer than what is known.
    NewerOnly,
}

impl SpecGuard for LaneGuard {
    const ALL: &'static [Self] = &[
        Self::SeparateLanes,
        Self::ProgressTimeout,
        Self::OtherDomains,
        Self::NewerOnly,
    ];

    fn name(self) -> &'static str {
        match self {
            Self::SeparateLanes => "a lane of its own for urgent changes",
            Self::ProgressTimeout => "the timeout by progress",
            Self::OtherDomains => "sources in other failure domains",
            Self::NewerOnly => "taking newer changes only",
        }
    }
}

/// Specification of the lanes.
#[derive(Debug)]
pub struct LaneModel {
    removed_guard: Option<LaneGuard>,
}

/// How far a drain has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum DrainStage {
    NotBegun,
    Announced,
    /// The follower knows of it.
    Known,
}

/// The newest changes, what the follower knows, and what is under way to it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LaneState {
    table_version: u8,
    known_table: u8,
    /// Parts of the newest table that are still to come.
    parts_left: u8,
    /// Ticks since the response under way began, and since its last part.
    response_age: u8,
    silent_for: u8,
    /// Ticks in which the newest table could have come.
    table_age: u8,
    drain: DrainStage,
    /// Ticks in which the drain could have come.
    drain_age: u8,
    is_turned_away: bool,
    disturbances: u8,
    has_reverted: bool,
}

impl LaneModel {
    fn enforces(&self, guard: LaneGuard) -> bool {
        self.removed_guard != Some(guard)
    }

    /// Whether what the platform knows can reach the follower.
    fn is_reachable(&self, state: &LaneState) -> bool {
        !state.is_turned_away || self.enforces(LaneGuard::OtherDomains)
    }

    /// Advances time by a tick in which the link carries what it can.
    fn carry(&self, state: &LaneState) -> LaneState {
        let mut next = state.clone();
        let is_reachable = self.is_reachable(state);
        let waits_for_table = state.parts_left > 0 && !self.enforces(LaneGuard::SeparateLanes);
        if state.drain == DrainStage::Announced {
            next.drain_age = (state.drain_age + 1).min(DRAIN_BOUND + 1);
            if is_reachable && !waits_for_table {
                next.drain = DrainStage::Known;
            }
        }
        if state.parts_left == 0 {
            return next;
        }
        next.table_age = (state.table_age + 1).min(TABLE_BOUND + 1);
        if !is_reachable {
            return next;
        }
        next.parts_left -= 1;
        next.silent_for = 0;
        next.response_age = (state.response_age + 1).min(TOTAL_TIMEOUT + 1);
        if next.parts_left == 0 {
            next.known_table = state.table_version;
            next.response_age = 0;
        } else if next.response_age > TOTAL_TIMEOUT && !self.enforces(LaneGuard::ProgressTimeout) {
            Self::start_over(&mut next);
        }
        next
    }

    /// Advances time by a tick in which the link carries nothing.
    fn lose(state: &LaneState) -> LaneState {
        let mut next = state.clone();
        next.disturbances += 1;
        next.table_age = 0;
        next.drain_age = 0;
        if state.parts_left > 0 {
            next.silent_for += 1;
            if next.silent_for > PROGRESS_TIMEOUT {
                Self::start_over(&mut next);
            }
        }
        next
    }

    fn start_over(state: &mut LaneState) {
        state.parts_left = TABLE_PARTS;
        state.response_age = 0;
        state.silent_for = 0;
    }

    fn change(state: &LaneState, transitions: &mut Vec<(String, LaneState)>) {
        if state.drain == DrainStage::NotBegun {
            let mut next = state.clone();
            next.drain = DrainStage::Announced;
            transitions.push(("a target starts draining".to_owned(), next));
        }
        if state.table_version < MAX_TABLES {
            let mut next = state.clone();
            next.table_version += 1;
            next.table_age = 0;
            Self::start_over(&mut next);
            transitions.push(("a large configuration is accepted".to_owned(), next));
        }
    }

    fn disturb(state: &LaneState, transitions: &mut Vec<(String, LaneState)>) {
        if state.disturbances == MAX_DISTURBANCES {
            return;
        }
        transitions.push(("the link carries nothing".to_owned(), Self::lose(state)));
        let mut next = state.clone();
        next.is_turned_away = !state.is_turned_away;
        next.disturbances += 1;
        transitions.push(("the store turns the domain away, or not".to_owned(), next));
    }
}

impl ProtocolModel for LaneModel {
    const NAME: &'static str = "lanes";

    type Guard = LaneGuard;

    type State = LaneState;

    fn new(removed_guard: Option<LaneGuard>) -> Self {
        Self { removed_guard }
    }

    fn initial_state(&self) -> LaneState {
        LaneState {
            table_version: 0,
            known_table: 0,
            parts_left: 0,
            response_age: 0,
            silent_for: 0,
            table_age: 0,
            drain: DrainStage::NotBegun,
            drain_age: 0,
            is_turned_away: false,
            disturbances: 0,
            has_reverted: false,
        }
    }

    fn transitions(&self, state: &LaneState) -> Vec<(String, LaneState)> {
        let mut transitions = vec![("a tick passes".to_owned(), self.carry(state))];
        Self::change(state, &mut transitions);
        Self::disturb(state, &mut transitions);
        // A node that has missed changes may be asked in place of the source at any time.
        if state.drain == DrainStage::Known && !self.enforces(LaneGuard::NewerOnly) {
            let mut next = state.clone();
            next.drain = DrainStage::Announced;
            next.has_reverted = true;
            transitions.push(("an older entry is passed on".to_owned(), next));
        }
        transitions
    }

    fn violated_invariant(&self, state: &LaneState) -> Option<&'static str> {
        if state.has_reverted {
            return Some("a node forgot that a target drains");
        }
        if state.drain_age > DRAIN_BOUND {
            return Some("a node does not know of a drain in time");
        }
        if state.table_age > TABLE_BOUND {
            return Some("a node does not know of a configuration in time");
        }
        None
    }
}
