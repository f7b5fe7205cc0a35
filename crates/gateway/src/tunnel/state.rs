//! The other nodes through which a node connects to targets, and the tunnels it serves for them.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use domain::{DomainId, FastMap, NodeId};
use peers::TunnelLink;
use serving::relay_order::RelayOrder;
use tokio::sync::OnceCell;

use crate::feed::FeedMember;

/// Link to a relay, while it is being opened or open.
pub(super) type RelayLink = Rc<OnceCell<TunnelLink>>;

/// A node through which another one may connect to targets.
#[derive(Debug, Clone)]
pub struct TunnelRelay {
    /// The node.
    pub member: FeedMember,
    /// Failure domain of its host.
    pub domain: DomainId,
}

/// Relays, links to them, and tunnels served for other nodes.
#[derive(Default)]
pub struct TunnelState {
    pub(super) order: RefCell<RelayOrder>,
    relays: RefCell<Rc<Vec<TunnelRelay>>>,
    links: RefCell<FastMap<NodeId, RelayLink>>,
    served: Cell<usize>,
    /// Requests for tunnels that found no place since the last log line, and when that was written.
    full: Cell<(u64, Option<Duration>)>,
}

impl std::fmt::Debug for TunnelState {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("TunnelState")
            .field("relays", &self.relays.borrow().len())
            .field("served", &self.served.get())
            .finish_non_exhaustive()
    }
}

impl TunnelState {
    /// Sets the nodes to ask, the preferred one first.
    pub fn set_relays(&self, relays: Vec<TunnelRelay>) {
        self.links
            .borrow_mut()
            .retain(|node, _| relays.iter().any(|relay| relay.member.node == *node));
        *self.relays.borrow_mut() = Rc::new(relays);
    }

    /// The nodes to ask, the preferred one first.
    pub(super) fn relays(&self) -> Rc<Vec<TunnelRelay>> {
        Rc::clone(&self.relays.borrow())
    }

    /// Counts a request for a tunnel that found no place; returns how many did since the last time, at most once in
    /// `interval`.
    pub(super) fn count_full(&self, now: Duration, interval: Duration) -> Option<u64> {
        let (count, told_at) = self.full.get();
        let is_due = told_at.is_none_or(|at| now.saturating_sub(at) >= interval);
        let rest = if is_due {
            (0, Some(now))
        } else {
            (count + 1, told_at)
        };
        self.full.set(rest);
        is_due.then_some(count + 1)
    }

    /// Whether there are nodes to ask.
    #[must_use]
    pub fn has_relays(&self) -> bool {
        !self.relays.borrow().is_empty()
    }

    /// Link to a relay, which may have to be opened yet.
    pub(super) fn link(&self, relay: &NodeId) -> RelayLink {
        let mut links = self.links.borrow_mut();
        Rc::clone(links.entry(relay.clone()).or_default())
    }

    /// Forgets a link that failed, unless it was replaced already. Streams on it go on while they can.
    pub(super) fn forget_link(&self, relay: &NodeId, failed: &RelayLink) {
        let mut links = self.links.borrow_mut();
        if links
            .get(relay)
            .is_some_and(|link| Rc::ptr_eq(link, failed))
        {
            links.remove(relay);
        }
    }

    /// Number of tunnels that this node serves for others.
    #[must_use]
    pub fn served(&self) -> usize {
        self.served.get()
    }

    pub(super) fn begin_serving(&self) {
        self.served.set(self.served.get() + 1);
    }

    pub(super) fn end_serving(&self) {
        self.served.set(self.served.get().saturating_sub(1));
    }
}
