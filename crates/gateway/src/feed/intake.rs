//! Takes in what was read from the store or passed on by another node.

use std::cell::RefCell;
use std::rc::Rc;

use events::{EventCode, LogLine};
use serving::feed::{DeltaOutcome, TableDelta, TakenDelta};
use wire::feed::{FeedLane, FeedTable};

use super::not_taken::{log_refused, version_fields};
use super::provenance::TableConfirmation;
use super::state::FeedSource;
use super::watchers::{ConfigWatcher, RegistryWatcher, RowOrigin};
use crate::heartbeat::count_nodes;
use crate::node::GatewayNode;

/// Applies changes to a node's copies and to the state derived from them.
pub struct FeedIntake {
    /// The node.
    pub node: Rc<GatewayNode>,
    config: ConfigWatcher,
    registry: RefCell<RegistryWatcher>,
}

impl FeedIntake {
    /// Creates the intake of a node that has read nothing yet.
    #[must_use]
    pub fn new(node: Rc<GatewayNode>) -> Self {
        Self {
            config: ConfigWatcher::new(Rc::clone(&node)),
            registry: RefCell::new(RegistryWatcher::new(Rc::clone(&node))),
            node,
        }
    }

    /// Takes in changes, and up to when they are complete.
    pub fn take(&self, table: FeedTable, delta: TableDelta, confirmation: TableConfirmation) {
        if delta.is_full && table == FeedTable::Registry {
            let rows = u64::try_from(delta.rows.len()).unwrap_or(u64::MAX);
            let line = LogLine::new(EventCode::RegistryRead).number("rows", rows);
            self.node.log(&version_fields(line, delta.version));
        }
        let version = delta.version;
        let proof = confirmation.proof;
        let now = self.node.now();
        let taken = self.node.feed.take(table, delta, confirmation, now);
        log_refused(&self.node, table, version, &taken);
        if taken.outcome == DeltaOutcome::Outdated {
            return;
        }
        if taken.is_restored {
            // The note of the new era may not have been taken yet when its rows are.
            match table {
                FeedTable::Config => self.config.record_restore(now),
                FeedTable::Registry => self.registry.borrow_mut().record_restore(now),
                FeedTable::Nodes => {}
            }
        }
        if table == FeedTable::Registry {
            let mut outages = self.node.feed.outages.borrow_mut();
            outages.record_confirmation(proof.confirmed_at);
        }
        self.apply_changed(table, &taken);
        match table {
            FeedTable::Config => self.config.apply_withheld(),
            FeedTable::Registry => self
                .registry
                .borrow_mut()
                .confirm(version, proof.confirmed_at),
            FeedTable::Nodes => count_nodes(&self.node),
        }
        if table != FeedTable::Nodes {
            self.node.feed.advanced.notify_waiters();
        }
    }

    fn apply_changed(&self, table: FeedTable, taken: &TakenDelta) {
        let origin = if taken.is_restored {
            RowOrigin::RestoredStore
        } else {
            RowOrigin::Change
        };
        for row in &taken.changed {
            match table {
                FeedTable::Config => self.config.apply_row(row, origin),
                FeedTable::Registry => self.registry.borrow_mut().apply_row(row, origin),
                FeedTable::Nodes => {}
            }
        }
    }

    /// Records that the store could not be reached.
    ///
    /// Only the registry counts for others, since its calls follow each other closely; what another
    /// table lacks shows in its age. A failed call of a node that follows another failure domain says
    /// nothing of what it knows.
    pub fn store_failed(&self, table: FeedTable) {
        let lane = FeedLane::of(table);
        if self.node.feed.source(lane) == FeedSource::Fallback {
            return;
        }
        match lane {
            FeedLane::Bulk => self.node.feed.record_bulk_failure(),
            FeedLane::Urgent => {
                self.node.feed.record_failure(self.node.now());
                self.node.mark_store_unreachable();
            }
        }
    }

    /// Records that the store answered a call, so that no other failure domain is needed any more.
    pub fn store_answered(&self, table: FeedTable) {
        let lane = FeedLane::of(table);
        self.node.feed.record_lane_contact(lane);
        self.node.feed.record_answer(lane, self.node.now());
        if self.node.feed.source(lane) == FeedSource::Fallback {
            self.node.feed.set_source(lane, FeedSource::Store);
        }
    }
}
