//! Slot map keys of customers, hosts and targets. They are `Copy` and small, so the request path
//! passes them around instead of cloning string ids.

slotmap::new_key_type! {
    /// Key of a customer; valid only within the process that created it.
    pub struct CustomerKey;
    /// Key of a host; valid only within the process that created it.
    pub struct HostKey;
    /// Key of a target, which is a replica or an instance of a plain service.
    pub struct TargetKey;
}
