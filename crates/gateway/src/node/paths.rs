//! Paths to targets that this node has lost although others have not.

use domain::HostId;
use events::{EventCode, LogLine};
use serving::stall::PROGRESS_WINDOW;
use serving::target_paths::{PathChange, PathLoss};

use super::{FailureKind, GatewayNode};

/// A failure of a target that this node can't vouch for: it may be partitioned from all targets.
#[derive(Debug)]
pub struct TargetDoubt {
    /// Target that failed.
    pub host: HostId,
    /// Kind of the failure.
    pub failure: FailureKind,
    /// Reason for the log.
    pub reason: String,
}

impl GatewayNode {
    /// Whether this node has just learned that paths to targets are not lost in this way.
    #[must_use]
    pub fn has_contact(&self, loss: PathLoss) -> bool {
        let paths = self.paths.borrow();
        paths.partition().is_none() && paths.contact_age(loss, self.now()) < PROGRESS_WINDOW
    }

    /// Whether this node can tell that a target is lost, and not the path to it: it hears from others, or
    /// another node that does told so. Without other nodes to ask, it has to rely on itself.
    pub(super) fn can_vouch_for_loss(&self, id: &HostId, failure: FailureKind) -> bool {
        self.has_contact(failure.into()) || self.is_target_denied(id) || !self.tunnels.has_relays()
    }

    /// Keeps a failure until it is confirmed.
    pub(super) fn doubt(&self, id: &HostId, failure: FailureKind, reason: &str) {
        let doubt = TargetDoubt {
            host: id.clone(),
            failure,
            reason: reason.to_owned(),
        };
        self.doubts.borrow_mut().insert(id.clone(), doubt);
        self.doubted.notify_one();
    }

    /// Takes the failures that are not confirmed yet.
    #[must_use]
    pub fn take_doubts(&self) -> Vec<TargetDoubt> {
        self.doubts
            .borrow_mut()
            .drain()
            .map(|(_, doubt)| doubt)
            .collect()
    }

    /// Whether a target should be connected to through another node.
    #[must_use]
    pub fn is_path_lost(&self, id: &HostId) -> bool {
        self.paths.borrow().is_lost(id)
    }

    /// Whether this node is partitioned from all targets, while others reach them.
    #[must_use]
    pub fn is_partitioned(&self) -> bool {
        self.paths.borrow().partition().is_some()
    }

    /// Whether no bytes of any target have arrived on connections of this node's own for longer than a
    /// busy replica pauses.
    #[must_use]
    pub fn receives_nothing(&self) -> bool {
        self.paths.borrow().silent_for(self.now()) > PROGRESS_WINDOW
    }

    /// Completes once open connections of this node's own to a target are probably dead.
    pub async fn path_silent(&self, id: &HostId) {
        loop {
            let changed = self.paths_changed.notified();
            if self.paths.borrow().is_silent(id) {
                return;
            }
            changed.await;
        }
    }

    /// Records that a connection of this node's own to a target failed and that another node has
    /// established one.
    pub fn record_path_lost(&self, id: &HostId, loss: PathLoss) {
        let change = self.paths.borrow_mut().record_lost(id, loss, self.now());
        if change == PathChange::None {
            return;
        }
        if loss == PathLoss::Silent {
            // A request on one of these would wait until its deadline.
            match change {
                PathChange::Partition => self.pool.close_all_idle(),
                PathChange::Path | PathChange::None => self.pool.close_idle(id),
            }
        }
        let code = match change {
            PathChange::Partition => EventCode::NodePartitioned,
            PathChange::Path | PathChange::None => EventCode::PathLost,
        };
        let name = match loss {
            PathLoss::Silent => "silent",
            PathLoss::Refused => "refused",
        };
        let line = LogLine::new(code).text("host", id.as_str());
        self.log(&line.text("loss", name));
        self.paths_changed.notify_waiters();
    }

    /// Records that this node has established a connection of its own to a target.
    pub fn record_path_connected(&self, id: &HostId) {
        let change = self.paths.borrow_mut().record_connected(id, self.now());
        let code = match change {
            PathChange::None => return,
            PathChange::Path => EventCode::PathRestored,
            PathChange::Partition => EventCode::PartitionEnded,
        };
        self.log(&LogLine::new(code).text("host", id.as_str()));
        self.paths_changed.notify_waiters();
    }

    /// Records that a connection of this node's own to a target broke during a request.
    pub fn record_connection_broken(&self, id: &HostId) {
        self.pool.close_idle(id);
        if self.paths.borrow_mut().record_broken(id, self.now()) {
            self.pool.close_all_idle();
        }
    }

    /// Whether a connection of this node's own has just broken.
    #[must_use]
    pub fn has_connection_broken(&self) -> bool {
        self.paths.borrow().has_broken(self.now())
    }

    /// Records that bytes of a target arrived on a connection of this node's own.
    pub fn record_path_received(&self, id: &HostId) {
        self.paths.borrow_mut().record_received(id, self.now());
    }

    /// Whether other nodes should not be asked about a target, because they did not reach it either.
    #[must_use]
    pub fn is_target_denied(&self, id: &HostId) -> bool {
        self.paths.borrow().is_denied(id, self.now())
    }

    /// Records that no other node reached a target either.
    pub fn record_target_denied(&self, id: &HostId) {
        self.paths.borrow_mut().record_denied(id, self.now());
    }

    /// Forgets the path to a target that is gone.
    pub fn forget_path(&self, id: &HostId) {
        self.paths.borrow_mut().forget(id);
    }

    /// Targets to connect to now, to learn whether their paths work again.
    #[must_use]
    pub fn due_path_checks(&self) -> Vec<HostId> {
        let mut paths = self.paths.borrow_mut();
        let mut others = Vec::new();
        if paths.partition().is_some() {
            let registry = self.registry.borrow();
            others.extend(registry.targets().map(|entry| entry.id.clone()));
        }
        paths.due_checks(&others, self.now())
    }
}
