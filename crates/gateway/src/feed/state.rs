//! What a node knows of the store's tables, and from which other nodes it can learn of changes.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Duration;

use domain::NodeId;
use domain::StoreEra;
use peers::SharedKey;
use serving::feed::{
    DeltaOutcome, LostRows, TableCopy, TableDelta, TakenDelta, feed_order, feed_sources, tree_depth,
};
use serving::missing_targets::OutageWatch;
use tokio::sync::Notify;
use wire::feed::{FeedLane, FeedTable};

use super::provenance::{TableConfirmation, TableOrigin};

/// Minimum interval between two counts of the nodes.
pub const COUNT_INTERVAL: Duration = Duration::from_millis(500);

/// From where the changes of a lane's tables come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum FeedSource {
    /// The store itself.
    #[default]
    Store,
    /// A node before this one in the tree of its failure domain.
    Tree,
    /// A node of another failure domain, while the store turns this one away.
    Fallback,
}

/// A node that accepts links.
#[derive(Debug, Clone)]
pub struct FeedMember {
    /// Name of the node.
    pub node: NodeId,
    /// Address at which it accepts links.
    pub address: SocketAddr,
    /// Key that proves to it, and that it proves, that both read the same store.
    pub key: SharedKey,
}

/// Copies of the store's tables, and the nodes that pass on their changes.
#[derive(Debug)]
pub struct FeedState {
    /// Key of this process, which other nodes find in its heartbeat.
    pub key: SharedKey,
    /// The same key as text, for the heartbeat.
    pub key_text: String,
    /// Notified when the configuration or the registry has changed or was confirmed, or when an attempt
    /// to learn of changes failed.
    pub advanced: Notify,
    /// Notified when the node starts or stops following a source.
    pub mode_changed: Notify,
    /// Notified when a source has another key than its last known heartbeat says: it has restarted.
    pub key_changed: Notify,
    /// Notified when a store call succeeded after failures.
    pub regained: Notify,
    /// Outages of the store and failed calls, here and at nodes that pass on its changes.
    pub outages: RefCell<OutageWatch>,
    config: RefCell<TableCopy>,
    registry: RefCell<TableCopy>,
    nodes: RefCell<TableCopy>,
    config_origin: RefCell<TableOrigin>,
    config_read_at: Cell<Option<Duration>>,
    is_config_unreadable: Cell<bool>,
    address: Cell<Option<SocketAddr>>,
    is_counted: Cell<bool>,
    urgent_source: Cell<FeedSource>,
    bulk_source: Cell<FeedSource>,
    /// When the store last answered a call of this node, by lane.
    urgent_answered_at: Cell<Option<Duration>>,
    bulk_answered_at: Cell<Option<Duration>>,
    is_bulk_cut_off: Cell<bool>,
    is_cut_off: Cell<bool>,
    counted_at: Cell<Option<Duration>>,
    /// Nodes of the failure domain, this one included, in the order of the tree.
    order: RefCell<Vec<NodeId>>,
    /// Those of them that accept links.
    members: RefCell<Vec<FeedMember>>,
    /// Nodes of other failure domains to follow while the store turns this one away.
    fallbacks: RefCell<Vec<FeedMember>>,
}

impl FeedState {
    /// Creates the state of a process that has read nothing yet, with a key of its own.
    ///
    /// # Panics
    ///
    /// Never: the generated key has the required length.
    #[must_use]
    pub fn new() -> Self {
        let key_text = format!("{:032x}", rand::random::<u128>());
        let key = SharedKey::new(&key_text)
            .unwrap_or_else(|_| unreachable!("a key of 32 characters is long enough"));
        Self {
            key,
            key_text,
            advanced: Notify::new(),
            mode_changed: Notify::new(),
            key_changed: Notify::new(),
            regained: Notify::new(),
            outages: RefCell::default(),
            config: RefCell::default(),
            registry: RefCell::default(),
            nodes: RefCell::default(),
            config_origin: RefCell::default(),
            config_read_at: Cell::default(),
            is_config_unreadable: Cell::default(),
            address: Cell::default(),
            is_counted: Cell::default(),
            urgent_source: Cell::default(),
            bulk_source: Cell::default(),
            urgent_answered_at: Cell::default(),
            bulk_answered_at: Cell::default(),
            is_bulk_cut_off: Cell::default(),
            is_cut_off: Cell::default(),
            counted_at: Cell::default(),
            order: RefCell::default(),
            members: RefCell::default(),
            fallbacks: RefCell::default(),
        }
    }

    /// Copy of a table.
    #[must_use]
    pub fn copy(&self, table: FeedTable) -> &RefCell<TableCopy> {
        match table {
            FeedTable::Config => &self.config,
            FeedTable::Registry => &self.registry,
            FeedTable::Nodes => &self.nodes,
        }
    }

    /// Takes changes into the copy of a table.
    pub fn take(
        &self,
        table: FeedTable,
        delta: TableDelta,
        confirmation: TableConfirmation,
        now: Duration,
    ) -> TakenDelta {
        let is_full = delta.is_full;
        let lost = match table {
            // Each node writes its heartbeat again, and one that doesn't expires by its own time.
            FeedTable::Nodes => LostRows::Kept,
            FeedTable::Config | FeedTable::Registry => LostRows::Removed,
        };
        let mut copy = self.copy(table).borrow_mut();
        let taken = copy.take(delta, confirmation.proof, lost);
        if table == FeedTable::Config && taken.outcome != DeltaOutcome::Outdated {
            *self.config_origin.borrow_mut() = confirmation.origin;
            if is_full {
                self.config_read_at.set(Some(now));
            }
        }
        taken
    }

    /// Begins an era of the store in the copies of all tables.
    pub fn begin_era(&self, era: StoreEra) {
        for table in FeedTable::ALL {
            self.copy(table).borrow_mut().begin_era(era);
        }
    }

    /// Time since the whole configuration table was last read, through however many nodes; `None` before the
    /// first time.
    #[must_use]
    pub fn config_read_age(&self, now: Duration) -> Option<Duration> {
        self.config_read_at.get().map(|at| now.saturating_sub(at))
    }

    /// Time since a moment at which the store proved to hold no newer configuration, through however
    /// many nodes; [`Duration::MAX`] before the first proof.
    #[must_use]
    pub fn config_age(&self, now: Duration) -> Duration {
        let age = self.config.borrow().proof_age(now);
        age.unwrap_or(Duration::MAX)
    }

    /// Who last told this node of the configuration.
    #[must_use]
    pub fn config_origin(&self) -> TableOrigin {
        self.config_origin.borrow().clone()
    }

    /// Whether the newest configuration is one that this node can't read, so that an older one is in
    /// force here.
    #[must_use]
    pub fn is_config_unreadable(&self) -> bool {
        self.is_config_unreadable.get()
    }

    /// Records whether the newest configuration can be read.
    pub fn set_config_unreadable(&self, is_unreadable: bool) {
        self.is_config_unreadable.set(is_unreadable);
    }

    /// Whether the nodes should be counted now, which takes a pass over all heartbeats.
    pub fn begin_count(&self, now: Duration) -> bool {
        let is_due = self
            .counted_at
            .get()
            .is_none_or(|at| now.saturating_sub(at) >= COUNT_INTERVAL);
        if is_due {
            self.counted_at.set(Some(now));
        }
        is_due
    }

    /// Address at which this node accepts links; `None` if it accepts none.
    #[must_use]
    pub fn address(&self) -> Option<SocketAddr> {
        self.address.get()
    }

    /// Sets the address at which this node accepts links.
    pub fn set_address(&self, address: SocketAddr) {
        self.address.set(Some(address));
    }

    fn source_cell(&self, lane: FeedLane) -> &Cell<FeedSource> {
        match lane {
            FeedLane::Urgent => &self.urgent_source,
            FeedLane::Bulk => &self.bulk_source,
        }
    }

    /// From where the tables of a lane come.
    #[must_use]
    pub fn source(&self, lane: FeedLane) -> FeedSource {
        self.source_cell(lane).get()
    }

    /// Sets from where the tables of a lane come.
    pub fn set_source(&self, lane: FeedLane, source: FeedSource) {
        if self.source_cell(lane).replace(source) != source {
            self.mode_changed.notify_waiters();
        }
    }

    fn answered_cell(&self, lane: FeedLane) -> &Cell<Option<Duration>> {
        match lane {
            FeedLane::Urgent => &self.urgent_answered_at,
            FeedLane::Bulk => &self.bulk_answered_at,
        }
    }

    /// Records that the store answered a call of this node for a lane.
    pub fn record_answer(&self, lane: FeedLane, now: Duration) {
        self.answered_cell(lane).set(Some(now));
    }

    /// Whether the store has answered a call of this node for a lane since a time.
    #[must_use]
    pub fn has_answered_since(&self, lane: FeedLane, since: Duration) -> bool {
        self.answered_cell(lane).get() >= Some(since)
    }

    /// Whether another node passes on the changes of a lane's tables.
    #[must_use]
    pub fn is_following(&self, lane: FeedLane) -> bool {
        self.source(lane) != FeedSource::Store
    }

    /// Whether a lane may follow nodes of other failure domains: the store turns this node away.
    #[must_use]
    pub fn needs_fallback(&self, lane: FeedLane) -> bool {
        self.is_lane_cut_off(lane) || self.source(lane) == FeedSource::Fallback
    }

    /// Whether the last attempt to learn of changes in a lane failed.
    #[must_use]
    pub fn is_lane_cut_off(&self, lane: FeedLane) -> bool {
        match lane {
            FeedLane::Urgent => self.is_cut_off.get(),
            FeedLane::Bulk => self.is_bulk_cut_off.get(),
        }
    }

    /// Records that the last call to the store for a table of the bulk lane failed.
    pub fn record_bulk_failure(&self) {
        self.is_bulk_cut_off.set(true);
        self.advanced.notify_waiters();
    }

    /// Records that an attempt to learn of changes in a lane succeeded.
    pub fn record_lane_contact(&self, lane: FeedLane) {
        match lane {
            FeedLane::Urgent => self.record_contact(),
            FeedLane::Bulk => self.is_bulk_cut_off.set(false),
        }
    }

    /// Whether the last attempt to learn of changes failed.
    #[must_use]
    pub fn is_cut_off(&self) -> bool {
        self.is_cut_off.get()
    }

    /// Records that an attempt to learn of changes succeeded.
    pub fn record_contact(&self) {
        if self.is_cut_off.replace(false) {
            self.regained.notify_waiters();
        }
    }

    /// Records that a call to the store failed, at this time.
    pub fn record_failure(&self, now: Duration) {
        self.is_cut_off.set(true);
        self.outages.borrow_mut().record_failure(now);
        self.advanced.notify_waiters();
    }

    /// Sets the live nodes of the failure domain, and those that accept links.
    pub fn set_members(&self, domain: &str, nodes: &[NodeId], members: Vec<FeedMember>) {
        let names = nodes.iter().map(NodeId::as_str);
        let order = feed_order(domain, names);
        let order = order.into_iter().filter_map(|name| name.parse().ok());
        *self.order.borrow_mut() = order.collect();
        *self.members.borrow_mut() = members;
    }

    /// Nodes of other failure domains to follow while the store turns this one away, the preferred one
    /// first.
    #[must_use]
    pub fn fallbacks(&self) -> Vec<FeedMember> {
        self.fallbacks.borrow().clone()
    }

    /// Sets those nodes.
    pub fn set_fallbacks(&self, fallbacks: Vec<FeedMember>) {
        *self.fallbacks.borrow_mut() = fallbacks;
    }

    /// Position of a node in the tree of its failure domain; `None` before it is counted.
    fn rank(&self, node: &NodeId) -> Option<usize> {
        self.order.borrow().iter().position(|other| other == node)
    }

    /// Number of levels between the store and this node.
    #[must_use]
    pub fn depth(&self, node: &NodeId) -> u32 {
        self.rank(node).map_or(0, tree_depth)
    }

    /// Nodes that this one may follow, the preferred one first.
    #[must_use]
    pub fn sources(&self, node: &NodeId) -> Vec<FeedMember> {
        let Some(rank) = self.rank(node) else {
            return Vec::new();
        };
        let order = self.order.borrow();
        let members = self.members.borrow();
        let mut sources = Vec::new();
        for source in feed_sources(rank, order.len()) {
            let member = members.iter().find(|member| member.node == order[source]);
            sources.extend(member.cloned());
        }
        sources
    }

    /// Whether the nodes of a start of all have been counted, after all wrote their first heartbeats.
    #[must_use]
    pub fn is_counted(&self) -> bool {
        self.is_counted.get()
    }

    /// Records that the nodes of a start of all have been counted.
    pub fn set_counted(&self) {
        self.is_counted.set(true);
    }

    /// Whether this node reads the store for the others of a large failure domain.
    #[must_use]
    pub fn is_root(&self, node: &NodeId) -> bool {
        let order = self.order.borrow();
        order.len() >= serving::feed::MIN_FOLLOWING_NODES && order.first() == Some(node)
    }
}

impl Default for FeedState {
    fn default() -> Self {
        Self::new()
    }
}
