//! Heartbeats, and what a new era of the store leads to.

use std::time::Duration;

use serving::feed::tree_depth;
use serving::hashing::stable_hash;

use crate::fleet::{DOMAINS, FleetEvent, VirtualFleet};
use crate::node::EraWay;
use crate::store::StoreTable;
use crate::writers::{heartbeat_interval, heartbeat_key};

/// Delay after a write that failed, per level of the tree.
const HEARTBEAT_RETRY: Duration = Duration::from_millis(700);

/// Time over which the nodes spread what they write again: for each node, and at most.
const SPREAD_PER_NODE: Duration = Duration::from_millis(10);
const MAX_SPREAD: Duration = Duration::from_secs(1);

impl VirtualFleet {
    pub fn write_heartbeat(&mut self, node: usize, is_due: bool) {
        let depth = tree_depth(node / DOMAINS);
        if !self.store.is_up {
            let at = self.now + HEARTBEAT_RETRY * (1 + 2 * depth);
            self.schedule(at, FleetEvent::Heartbeat { node, is_due });
            return;
        }
        self.meter.record_call(self.now);
        self.meter.record_heartbeat(node, self.now);
        let value = self.now.as_micros().to_be_bytes().repeat(15);
        self.store
            .write(StoreTable::Nodes, &heartbeat_key(node), Some(value.into()));
        if is_due {
            let at = self.now + heartbeat_interval(self.spec.nodes);
            self.schedule(at, FleetEvent::Heartbeat { node, is_due });
        }
        self.observe(node, self.store.era);
    }

    /// Takes in an era that an answer states. Calls that wait with versions of the one before are given up.
    pub fn observe(&mut self, node: usize, era: u64) {
        if !self.nodes[node].observe(era, self.now) {
            return;
        }
        self.began_at[node] = Some(self.now);
        let spread = match self.way {
            EraWay::TypedSpread | EraWay::TypedPatient => {
                SPREAD_PER_NODE * u32::try_from(self.spec.nodes).unwrap_or(1)
            }
            EraWay::Bare | EraWay::TypedAtOnce => Duration::ZERO,
        };
        let hash = stable_hash(&heartbeat_key(node).as_str());
        let share = f64::from(u32::try_from(hash >> 32).unwrap_or(u32::MAX)) / f64::from(u32::MAX);
        let at = self.now + spread.min(MAX_SPREAD).mul_f64(share);
        self.schedule(
            at,
            FleetEvent::Heartbeat {
                node,
                is_due: false,
            },
        );
        let waiting = self.waiting.iter();
        let ended: Vec<StoreTable> = waiting
            .filter(|call| call.node == node && call.source.is_none())
            .map(|call| call.table)
            .collect();
        for table in ended {
            self.call_at(self.now, node, table);
        }
    }
}
