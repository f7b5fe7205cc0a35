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
    window: Duration,
    tracked: FastMap<NodeId, TrackedMember>,
}

#[derive(Debug, Clone)]
struct TrackedMember {
    row: MemberRow,
    first_seen: Instant,
    advanced: Option<Instant>,
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

impl TrackedMember {
    fn last_sign(&self) -> Instant {
        self.advanced.unwrap_or(self.first_seen)
    }
}

impl MemberState {
    /// A state that knows only the node itself; a node without a heartbeat for `window` counts as
    /// dead.
    #[must_use]
    pub fn new(own: Member, window: Duration) -> Self {
        Self {
            own: MemberRow {
                member: own,
                beat: 0,
            },
            window,
            tracked: FastMap::default(),
        }
    }

    /// The node's own row.
    #[must_use]
    pub fn own(&self) -> &MemberRow {
        &self.own
    }

    /// Raises the node's own heartbeat.
    pub fn beat(&mut self) -> &MemberRow {
        self.own.beat += 1;
        &self.own
    }

    /// Takes in a row from the table or a peer; returns whether it was news.
    ///
    /// Late, repeated and reordered rows change nothing: only a higher heartbeat counts. The first
    /// sight of a node proves nothing about now, so it does not count as heard.
    pub fn observe(&mut self, row: MemberRow, now: Instant) -> bool {
        if row.member.node == self.own.member.node {
            return false;
        }
        let Some(tracked) = self.tracked.get_mut(&row.member.node) else {
            let node = row.member.node.clone();
            let tracked = TrackedMember {
                row,
                first_seen: now,
                advanced: None,
                removal: MemberRemoval::None,
            };
            self.tracked.insert(node, tracked);
            return true;
        };
        if tracked.removal == MemberRemoval::Left || row.beat <= tracked.row.beat {
            return false;
        }
        tracked.row = row;
        tracked.advanced = Some(now);
        tracked.removal = MemberRemoval::None;
        true
    }

    /// Takes in a heartbeat of a node whose row is known; returns whether it was news.
    pub fn observe_beat(&mut self, node: &NodeId, beat: u64, now: Instant) -> bool {
        let Some(tracked) = self.tracked.get(node) else {
            return false;
        };
        let row = MemberRow {
            beat,
            ..tracked.row.clone()
        };
        self.observe(row, now)
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
        let window = self.window;
        for (node, tracked) in &mut self.tracked {
            let silent = now.saturating_duration_since(tracked.last_sign()) > window;
            if listed.contains(node) || !silent || tracked.removal != MemberRemoval::None {
                continue;
            }
            tracked.removal = MemberRemoval::Unlisted;
        }
    }

    fn is_alive(&self, tracked: &TrackedMember, now: Instant) -> bool {
        let silence = now.saturating_duration_since(tracked.last_sign());
        tracked.removal == MemberRemoval::None && silence <= self.window
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
    #[must_use]
    pub fn reach(&self, now: Instant) -> MemberReach {
        let mut reach = MemberReach {
            heard: 1,
            rostered: 1,
        };
        for tracked in self.tracked.values() {
            if tracked.removal != MemberRemoval::None {
                continue;
            }
            reach.rostered += 1;
            let Some(advanced) = tracked.advanced else {
                continue;
            };
            if now.saturating_duration_since(advanced) <= self.window {
                reach.heard += 1;
            }
        }
        reach
    }

    /// Nodes that were silent for so long that their rows can be cleaned from the table.
    #[must_use]
    pub fn expired(&self, now: Instant, limit: Duration) -> Vec<NodeId> {
        let mut expired = Vec::new();
        for (node, tracked) in &self.tracked {
            let silence = now.saturating_duration_since(tracked.last_sign());
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

    /// The nodes that said goodbye.
    #[must_use]
    pub fn departed(&self) -> Vec<NodeId> {
        let mut departed = Vec::new();
        for (node, tracked) in &self.tracked {
            if tracked.removal == MemberRemoval::Left {
                departed.push(node.clone());
            }
        }
        departed
    }
}
