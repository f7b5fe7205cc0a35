//! Targets that a request may be sent to, by the regions in which it may be served.

use serving::regions::RegionSet;
use serving::{ReplicaView, TargetEntry, TargetRegistry};

use super::GatewayNode;

impl GatewayNode {
    /// Leaves the targets that are entirely in regions in which a request may be served; all of them if that is
    /// not restricted.
    pub fn retain_allowed(&self, allowed: Option<&RegionSet>, entries: &mut Vec<TargetEntry>) {
        let Some(allowed) = allowed else { return };
        let registry = self.registry.borrow();
        entries.retain(|entry| {
            let own = std::iter::once(Some(&entry.domain));
            let members = replica_of(&registry, entry).into_iter();
            let hosts = members.flat_map(|replica| replica.members.values());
            let others = hosts.map(|host| registry.get(host).map(|member| &member.domain));
            self.regions.allows_target(allowed, own.chain(others))
        });
    }
}

fn replica_of<'a>(registry: &'a TargetRegistry, entry: &TargetEntry) -> Option<&'a ReplicaView> {
    registry.replica(entry.membership.as_ref()?)
}
