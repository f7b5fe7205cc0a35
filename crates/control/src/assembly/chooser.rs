//! Which free hosts to take.

use domain::HostId;

/// Chooses hosts for a replica.
pub trait HostChooser: Clone + Send + Sync + 'static {
    /// `size` of the `free` hosts, which are ordered by name; none when they do not suffice.
    fn choose(&self, free: &[HostId], size: usize) -> Option<Vec<HostId>>;
}

/// Takes the first hosts by name.
#[derive(Debug, Clone, Copy, Default)]
pub struct FirstHosts;

impl HostChooser for FirstHosts {
    fn choose(&self, free: &[HostId], size: usize) -> Option<Vec<HostId>> {
        free.get(..size).map(<[HostId]>::to_vec)
    }
}
