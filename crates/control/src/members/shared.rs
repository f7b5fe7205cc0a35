//! The membership shared by the tasks of a node.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use domain::NodeId;
use tokio::sync::watch;

use super::{Member, MemberReach, MemberState, MemberView};

/// The membership behind a mutex that is only held briefly. Clones share it.
///
/// It is not an actor, because the configuration actor must use the heartbeats as of this very
/// moment: a response that waited in a mailbox while the process was suspended would be outdated.
#[derive(Debug, Clone)]
pub struct SharedMembership {
    node: NodeId,
    state: Arc<Mutex<MemberState>>,
    views: watch::Sender<Arc<MemberView>>,
}

impl SharedMembership {
    /// A shared membership with the given initial state.
    #[must_use]
    pub fn new(state: MemberState) -> Self {
        let node = state.own().member.node.clone();
        let view = state.view(Instant::now());
        Self {
            node,
            state: Arc::new(Mutex::new(state)),
            views: watch::Sender::new(Arc::new(view)),
        }
    }

    /// Id of this node.
    #[must_use]
    pub fn node(&self) -> &NodeId {
        &self.node
    }

    /// This node's own entry.
    #[must_use]
    pub fn own(&self) -> Member {
        self.state().own().member.clone()
    }

    /// Locks the state; the guard must not be held across an await.
    pub fn state(&self) -> MutexGuard<'_, MemberState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// How much of the roster is reachable at `now`.
    #[must_use]
    pub fn reach(&self, now: Instant) -> MemberReach {
        self.state().reach(now)
    }

    /// The nodes considered alive at `now`.
    #[must_use]
    pub fn view(&self, now: Instant) -> MemberView {
        self.state().view(now)
    }

    /// Subscribes to changes of [`MemberView`].
    #[must_use]
    pub fn watch(&self) -> watch::Receiver<Arc<MemberView>> {
        self.views.subscribe()
    }

    /// Publishes the view if it changed.
    pub fn publish(&self, now: Instant) {
        let view = self.view(now);
        self.views.send_if_modified(|current| {
            let changed = **current != view;
            if changed {
                *current = Arc::new(view);
            }
            changed
        });
    }
}
