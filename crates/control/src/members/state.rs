//! The membership as an aggregate, apart from input and output.

use std::time::{Duration, Instant};

use domain::{FastMap, FastSet, NodeId};

use super::{Member, MemberReach, MemberRow, MemberView};

/// What one node knows of all nodes.
///
/// Only heartbeats that advance count, each at the moment at which this node saw it on its own
/// monotonic clock. The roster shrinks only when a node leaves by itself or the table no longer
/// lists it. Silence alone never shrinks it: otherwise the small side of a partition would forget
/// the large one and take itself for the majority.
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

/// Why a node no longer counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum MemberRemoval {
    /// It counts.
    None,
    /// The table no longer lists it; a later heartbeat brings it back.
    Unlisted,
    /// It said goodbye; its id never comes back, because a start makes a new one.
    Left,
}

/// A node that left or was removed is remembered for this time, so that a late digest does not
/// bring it back. At a hundred restarts a day about four are remembered.
const REMOVED_RETENTION: Duration = Duration::from_hours(1);

/// Where a sign of life comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatSource {
    /// The table: the node lives, but this node may not be able to hear it.
    Table,
    /// A peer: there is a way from that node to this one.
    Peer,
}

/// The timeouts of silence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LivenessTimeouts {
    /// A node without a sign of life for this time is taken to be dead.
    pub dead: Duration,
    /// A node whose heartbeat no peer passed on for this time is not heard.
    pub unreachable: Duration,
}

impl MemberState {
    /// A state that knows only the node itself.
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

    /// Raises the node's own heartbeat.
    pub fn advance_heartbeat(&mut self) -> &MemberRow {
        self.own.beat += 1;
        &self.own
    }

    /// Says goodbye: the node counts itself out, and peers are told.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Takes in a row from the table or a peer; returns whether it was news.
    ///
    /// Late, repeated and reordered rows change nothing: only a higher heartbeat counts. The first
    /// sight of a node proves nothing about now, so it does not count as heard.
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

    /// Takes in a heartbeat that a peer passed on of a node whose row is known; returns whether it
    /// was news.
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

    /// Takes in that a node said goodbye; returns whether it was news.
    pub fn observe_leave(&mut self, node: &NodeId) -> bool {
        let Some(tracked) = self.tracked.get_mut(node) else {
            return false;
        };
        let news = tracked.removal != MemberRemoval::Left;
        tracked.removal = MemberRemoval::Left;
        news
    }

    /// Takes in the nodes that the table lists: silent nodes that it no longer lists are removed.
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

    /// The nodes that are taken to be alive.
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

    /// How much of the roster is heard.
    ///
    /// Before the first listing, and before a peer told of others, the roster has one more node
    /// than this one: a node that started into a partition would else be a majority of one.
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

    /// Nodes that were silent for so long that their rows can be cleaned from the table.
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

    /// The rows that a peer may need: the node's own and every one that counts.
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

    /// The nodes that said goodbye a short while ago, this one included.
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
