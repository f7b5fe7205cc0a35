//! What the operator, the targets and the nodes write to the store.

use std::time::Duration;

use bytes::Bytes;
use serving::hashing::unit_draw;

use crate::fleet::FleetSpec;
use crate::store::{StoreTable, VirtualStore};

/// When the store goes away, and when it comes back.
pub const AWAY_AT: Duration = Duration::from_secs(10);
pub const BACK_AT: Duration = Duration::from_secs(11);

/// Key of the configuration.
const CONFIG_KEY: &str = "config";

/// Sizes of values in bytes.
const CONFIG_BYTES: usize = 30_000;
const ENTRY_BYTES: usize = 400;

/// Targets per node, and the time between two writes of a target's entry.
const TARGETS_PER_NODE: usize = 4;
const ENTRY_INTERVAL: Duration = Duration::from_secs(4);

/// One target in this many writes its entry once before the store goes away, and once after it is back.
const QUIET_TARGETS: usize = 10;
const QUIET_BEFORE: Duration = Duration::from_millis(250);
const QUIET_AFTER: Duration = Duration::from_secs(1);

/// Heartbeat interval of a small fleet, and the number of nodes above which it grows.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(4);
const BASE_INTERVAL_NODES: usize = 64;

/// Time before the end of the last writes for which the nodes have to take them in.
const WRITES_END: Duration = Duration::from_secs(35);

/// When the revision that is lost was written, how long before the store went away.
pub const LOST_REVISION: u8 = 2;
const LOST_BEFORE: Duration = Duration::from_millis(100);

/// When the operator writes the lost revision again, and the next one, after the return.
const AGAIN_AFTER: Duration = Duration::from_secs(1);
const NEXT_AFTER: Duration = Duration::from_millis(3_200);
pub const NEXT_REVISION: u8 = 3;

/// A write to the store.
#[derive(Debug, Clone, Copy)]
pub enum StoreWrite {
    Revision(u8),
    Entry(usize, u32),
}

impl StoreWrite {
    /// Table, key and value; `None` if the store holds it already.
    pub fn resolve(&self, store: &VirtualStore) -> Option<(StoreTable, String, Option<Bytes>)> {
        match self {
            Self::Revision(revision) => {
                let held = store.value(StoreTable::Config, CONFIG_KEY);
                let held = held.and_then(|value| value.first());
                let value = Bytes::from(vec![*revision; CONFIG_BYTES]);
                let is_newer = held.is_none_or(|held| held < revision);
                is_newer.then(|| (StoreTable::Config, CONFIG_KEY.to_owned(), Some(value)))
            }
            Self::Entry(target, round) => {
                let value = Bytes::from(round.to_be_bytes().repeat(ENTRY_BYTES / 4));
                Some((StoreTable::Registry, format!("e-{target}"), Some(value)))
            }
        }
    }
}

/// Key of a node's heartbeat, and its name.
pub fn heartbeat_key(node: usize) -> String {
    format!("g-{node}")
}

/// Interval between two heartbeats of a node.
pub fn heartbeat_interval(nodes: usize) -> Duration {
    let count = |count: usize| f64::from(u32::try_from(count).unwrap_or(u32::MAX));
    let scaled = nodes.max(BASE_INTERVAL_NODES);
    HEARTBEAT_INTERVAL.mul_f64(count(scaled) / count(BASE_INTERVAL_NODES))
}

/// All writes of the operator and the targets, with their times.
pub fn scheduled_writes(spec: FleetSpec) -> Vec<(Duration, StoreWrite)> {
    let lost_at = AWAY_AT.saturating_sub(LOST_BEFORE);
    let mut writes = vec![
        (Duration::ZERO, StoreWrite::Revision(1)),
        (lost_at, StoreWrite::Revision(LOST_REVISION)),
        (BACK_AT + AGAIN_AFTER, StoreWrite::Revision(LOST_REVISION)),
        (BACK_AT + NEXT_AFTER, StoreWrite::Revision(NEXT_REVISION)),
    ];
    for target in 0..spec.nodes * TARGETS_PER_NODE {
        let draw = unit_draw(&(spec.seed, "entry", target));
        writes.push((Duration::ZERO, StoreWrite::Entry(target, 0)));
        if target % QUIET_TARGETS == 0 {
            let before = AWAY_AT.saturating_sub(QUIET_BEFORE.mul_f64(draw));
            writes.push((before, StoreWrite::Entry(target, 1)));
            let after = BACK_AT + QUIET_AFTER.mul_f64(draw);
            writes.push((after, StoreWrite::Entry(target, 2)));
            continue;
        }
        let mut at = ENTRY_INTERVAL.mul_f64(draw);
        let mut round = 1;
        while at < WRITES_END {
            writes.push((at, StoreWrite::Entry(target, round)));
            at += ENTRY_INTERVAL;
            round += 1;
        }
    }
    writes
}
