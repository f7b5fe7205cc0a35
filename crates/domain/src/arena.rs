//! Small `Copy` keys into the arenas that hold customers, hosts and targets on the request path.

slotmap::new_key_type! {
    /// Key of a customer in a node's arena; not stable across processes.
    pub struct CustomerKey;
    /// Key of a host in a node's arena; not stable across processes.
    pub struct HostKey;
    /// Key of a target (a replica or a plain service's instance) in a node's arena.
    pub struct TargetKey;
}
