//! The membership shared by the tasks of a node.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use domain::NodeId;
use tokio::sync::watch;

use super::{Member, MemberReach, MemberState, MemberView};

/// The membership behind a lock that is held for a few lines at a time. Clones share it.
///
/// It is no actor, because the configuration's keeper must judge by what is heard at that very
/// moment: an answer that waited in a mailbox while the process was frozen would be too old.
#[derive(Debug, Clone)]
pub struct SharedMembership {
    node: NodeId,
    state: Arc<Mutex<MemberState>>,
    views: watch::Sender<Arc<MemberView>>,
}

impl SharedMembership {
    /// A membership that starts with `state`.
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

    /// The node itself.
    #[must_use]
    pub fn node(&self) -> &NodeId {
        &self.node
    }

    /// The node's own entry.
    #[must_use]
    pub fn own(&self) -> Member {
        self.state().own().member.clone()
    }

    /// The state; the guard must not be held over an await.
    pub fn state(&self) -> MutexGuard<'_, MemberState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// How much of the roster is heard.
    #[must_use]
    pub fn reach(&self, now: Instant) -> MemberReach {
        self.state().reach(now)
    }

    /// The nodes that are taken to be alive.
    #[must_use]
    pub fn view(&self, now: Instant) -> MemberView {
        self.state().view(now)
    }

    /// A receiver of [`MemberView`], told of every change.
    #[must_use]
    pub fn watch(&self) -> watch::Receiver<Arc<MemberView>> {
        self.views.subscribe()
    }

    /// Publishes the view when it changed.
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
