//! In which order other nodes are asked to connect to a target.

use std::time::Duration;

use domain::{FastMap, NodeId};

/// Number of nodes that are asked about one target. As many of them may be partitioned themselves
/// as fail to answer before the last.
pub const MAX_RELAYS: usize = 3;

/// Time for which a node is asked last that did not answer, doubled with each time in a row.
const AVOID_TIME: Duration = Duration::from_millis(500);

/// Maximum of that time.
const MAX_AVOID_TIME: Duration = Duration::from_secs(4);

#[derive(Debug, Clone, Copy)]
struct AvoidedRelay {
    until: Duration,
    failures: u32,
}

/// Which relays failed, and whose turn it is.
#[derive(Debug, Default)]
pub struct RelayOrder {
    avoided: FastMap<NodeId, AvoidedRelay>,
    turn: usize,
}

impl RelayOrder {
    /// The nodes to ask, by index into `relays`. Those that answered last time take turns, so that none
    /// carries all connections of a partitioned node; those that did not are asked if there are too
    /// few others.
    pub fn next(&mut self, relays: &[NodeId], now: Duration) -> Vec<usize> {
        let is_avoided = |index: &usize| {
            let avoided = self.avoided.get(&relays[*index]);
            avoided.is_some_and(|avoided| now < avoided.until)
        };
        let (mut last, mut order): (Vec<usize>, Vec<usize>) =
            (0..relays.len()).partition(is_avoided);
        if !order.is_empty() {
            self.turn = self.turn.wrapping_add(1);
            let turn = self.turn % order.len();
            order.rotate_left(turn);
        }
        let since = |index: &usize| {
            self.avoided
                .get(&relays[*index])
                .map(|avoided| avoided.until)
        };
        last.sort_by_key(since);
        order.extend(last);
        order.truncate(MAX_RELAYS);
        order
    }

    /// Records that a node did not answer, or is partitioned itself.
    pub fn record_failure(&mut self, relay: &NodeId, now: Duration) {
        let avoided = self.avoided.entry(relay.clone()).or_insert(AvoidedRelay {
            until: now,
            failures: 0,
        });
        let factor = 1_u32.checked_shl(avoided.failures).unwrap_or(u32::MAX);
        avoided.until = now + AVOID_TIME.saturating_mul(factor).min(MAX_AVOID_TIME);
        avoided.failures += 1;
    }

    /// Records that a node has connected to a target.
    pub fn record_success(&mut self, relay: &NodeId) {
        self.avoided.remove(relay);
    }
}
