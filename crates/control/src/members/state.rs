//! State of the membership, without input or output.

use std::time::{Duration, Instant};

use domain::{FastMap, FastSet, NodeId};

use super::{Member, MemberReach, MemberRow, MemberView};

/// What one node knows about all nodes.
///
/// Only heartbeats that advance count, each at the time at which this node saw it on its own
/// monotonic clock. The roster shrinks only when a node leaves or the table no longer lists it.
/// Silence alone never shrinks it: otherwise the minority side of a partition would forget the
/// other nodes and consider itself the majority.
#[derive(Debug, Clone)]
pub struct MemberState {
    own: MemberRow,
    timeouts: LivenessTimeouts,
    roster_known: bool,
    leaving: bool,
    tracked: FastMap<NodeId, TrackedMember>,
}

#[derive(Debug, Clone)]
struct TrackedMember {
    row: MemberRow,
    last_seen: Instant,
    last_heard: Option<Instant>,
    removal: MemberRemoval,
}

/// Why a node is no longer on the roster.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum MemberRemoval {
    /// It is on the roster.
    None,
    /// The table no longer lists it; a later heartbeat adds it again.
    Unlisted,
    /// It announced that it leaves; its id never returns, because every start makes a new one.
    Left,
}

/// How long a node that left or was removed is remembered, so that a late digest does not add it
/// again. At a hundred restarts a day about four are remembered.
const REMOVED_RETENTION: Duration = Duration::from_hours(1);

/// Where a heartbeat was observed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatSource {
    /// In the table: the node is alive, but may be unreachable for this one.
    Table,
    /// Through a peer: there is a network path from that node to this one.
    Peer,
}

/// Timeouts of the failure detector.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LivenessTimeouts {
    /// A node without a heartbeat from any source for this time is considered dead.
    pub dead: Duration,
    /// A node whose heartbeat no peer passed on for this time is not reachable.
    pub unreachable: Duration,
}

impl MemberState {
    /// A state that contains only the node itself.
    #[must_use]
    pub fn new(own: Member, timeouts: LivenessTimeouts) -> Self {
        Self {
            own: MemberRow {
                member: own,
                beat: 0,
            },
            timeouts,
            roster_known: false,
            leaving: false,
            tracked: FastMap::default(),
        }
    }

    /// The node's own row.
    #[must_use]
    pub fn own(&self) -> &MemberRow {
        &self.own
    }

    /// Raises the node's own heartbeat counter.
    pub fn advance_heartbeat(&mut self) -> &MemberRow {
        self.own.beat += 1;
        &self.own
    }

    /// Marks this node as leaving; peers learn it from the next digest.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Processes a row from the table or a peer; returns whether it changed anything.
    ///
    /// Late, repeated and reordered rows are ignored: only a higher heartbeat counts. The first row
    /// of a node may be arbitrarily old, so it does not make the node reachable.
    pub fn observe(&mut self, row: MemberRow, source: HeartbeatSource, now: Instant) -> bool {
        if row.member.node == self.own.member.node {
            return false;
        }
        self.roster_known |= source == HeartbeatSource::Peer;
        let Some(tracked) = self.tracked.get_mut(&row.member.node) else {
            let node = row.member.node.clone();
            let tracked = TrackedMember {
                row,
                last_seen: now,
                last_heard: None,
                removal: MemberRemoval::None,
            };
            self.tracked.insert(node, tracked);
            return true;
        };
        if tracked.removal == MemberRemoval::Left || row.beat <= tracked.row.beat {
            return false;
        }
        tracked.row = row;
        tracked.last_seen = now;
        if source == HeartbeatSource::Peer {
            tracked.last_heard = Some(now);
        }
        tracked.removal = MemberRemoval::None;
        true
    }

    /// Processes a heartbeat that a peer passed on for a node whose row is known; returns whether
    /// it changed anything.
    pub fn observe_heartbeat(&mut self, node: &NodeId, beat: u64, now: Instant) -> bool {
        let Some(tracked) = self.tracked.get(node) else {
            return false;
        };
        let row = MemberRow {
            beat,
            ..tracked.row.clone()
        };
        self.observe(row, HeartbeatSource::Peer, now)
    }

    /// Processes the announcement that a node leaves; returns whether it was new.
    pub fn observe_leave(&mut self, node: &NodeId) -> bool {
        let Some(tracked) = self.tracked.get_mut(node) else {
            return false;
        };
        let is_new = tracked.removal != MemberRemoval::Left;
        tracked.removal = MemberRemoval::Left;
        is_new
    }

    /// Processes the nodes listed in the table: silent nodes that are not listed are removed.
    pub fn observe_listing(&mut self, listed: &FastSet<NodeId>, now: Instant) {
        self.roster_known = true;
        let limit = self.timeouts.dead;
        self.tracked.retain(|_, tracked| {
            let silence = now.saturating_duration_since(tracked.last_seen);
            tracked.removal == MemberRemoval::None || silence <= REMOVED_RETENTION
        });
        for (node, tracked) in &mut self.tracked {
            let silent = now.saturating_duration_since(tracked.last_seen) > limit;
            if listed.contains(node) || !silent || tracked.removal != MemberRemoval::None {
                continue;
            }
            tracked.removal = MemberRemoval::Unlisted;
        }
    }

    fn is_alive(&self, tracked: &TrackedMember, now: Instant) -> bool {
        let silence = now.saturating_duration_since(tracked.last_seen);
        tracked.removal == MemberRemoval::None && silence <= self.timeouts.dead
    }

    /// The nodes considered alive at `now`.
    #[must_use]
    pub fn view(&self, now: Instant) -> MemberView {
        let mut members = vec![self.own.member.clone()];
        for tracked in self.tracked.values() {
            if !self.is_alive(tracked, now) {
                continue;
            }
            members.push(tracked.row.member.clone());
        }
        members.sort_by(|left, right| left.node.cmp(&right.node));
        MemberView { members }
    }

    /// How much of the roster is reachable at `now`.
    ///
    /// Before the first listing or the first row from a peer, one additional node is assumed:
    /// otherwise a node that starts inside a partition would be a majority of one.
    #[must_use]
    pub fn reach(&self, now: Instant) -> MemberReach {
        let mut reach = MemberReach {
            reachable: 1,
            roster_size: if self.roster_known { 1 } else { 2 },
        };
        for tracked in self.tracked.values() {
            if tracked.removal != MemberRemoval::None {
                continue;
            }
            reach.roster_size += 1;
            let Some(heard) = tracked.last_heard else {
                continue;
            };
            if now.saturating_duration_since(heard) <= self.timeouts.unreachable {
                reach.reachable += 1;
            }
        }
        reach
    }

    /// Nodes silent for longer than `limit`, whose rows can be deleted from the table.
    #[must_use]
    pub fn expired(&self, now: Instant, limit: Duration) -> Vec<NodeId> {
        let mut expired = Vec::new();
        for (node, tracked) in &self.tracked {
            let silence = now.saturating_duration_since(tracked.last_seen);
            if tracked.removal != MemberRemoval::None || silence <= limit {
                continue;
            }
            expired.push(node.clone());
        }
        expired.sort();
        expired
    }

    /// The rows to send to a peer: this node's own and all on the roster.
    #[must_use]
    pub fn rows(&self) -> Vec<MemberRow> {
        let mut rows = vec![self.own.clone()];
        for tracked in self.tracked.values() {
            if tracked.removal != MemberRemoval::None {
                continue;
            }
            rows.push(tracked.row.clone());
        }
        rows
    }

    /// The nodes that left recently, including this one while it leaves.
    #[must_use]
    pub fn departed(&self) -> Vec<NodeId> {
        let mut departed = Vec::new();
        if self.leaving {
            departed.push(self.own.member.node.clone());
        }
        for (node, tracked) in &self.tracked {
            if tracked.removal == MemberRemoval::Left {
                departed.push(node.clone());
            }
        }
        departed
    }
}
