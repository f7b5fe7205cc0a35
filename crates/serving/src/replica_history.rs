//! What a node remembers of replicas beyond their members' current state.

use domain::{FastMap, FastSet, HostId};

use crate::registry::TargetRegistry;
use crate::target::{MemberState, MembershipKey, ReplicaMembership, TargetEntry};

/// Number of remembered replicas from which those without a known member are forgotten.
const MAX_REPLICAS: usize = 2048;

/// Heads of replicas, and which of them must not be opened again.
#[derive(Debug, Default)]
pub struct ReplicaHistory {
    heads: FastMap<MembershipKey, HostId>,
    never_reopen: FastSet<MembershipKey>,
}

impl ReplicaHistory {
    /// Records a membership that a host reports.
    pub fn record(&mut self, host: &HostId, membership: &ReplicaMembership) {
        let key = membership.key();
        if membership.rank == 0 {
            self.heads.insert(key.clone(), host.clone());
        }
        if matches!(membership.state, MemberState::Open | MemberState::Closing) {
            self.never_reopen.insert(key);
        }
    }

    /// Records that the formation of a replica failed.
    pub fn abandon(&mut self, replica: MembershipKey) {
        self.never_reopen.insert(replica);
    }

    /// Returns the last known head of a replica, even if it has left since.
    #[must_use]
    pub fn last_head(&self, replica: &MembershipKey) -> Option<&HostId> {
        self.heads.get(replica)
    }

    /// Returns the replicas that have served or whose formation failed.
    #[must_use]
    pub fn never_reopen(&self) -> &FastSet<MembershipKey> {
        &self.never_reopen
    }

    /// Forgets replicas without a known member once there are many. Names are never reused, so a
    /// node that runs for months would otherwise remember every replica that ever existed.
    pub fn prune(&mut self, registry: &TargetRegistry) {
        if self.heads.len().max(self.never_reopen.len()) <= MAX_REPLICAS {
            return;
        }
        let targets = registry.targets();
        let known: FastSet<MembershipKey> =
            targets.filter_map(TargetEntry::membership_key).collect();
        self.heads.retain(|key, _| known.contains(key));
        self.never_reopen.retain(|key| known.contains(key));
    }
}
