//! Selection of free hosts for a replica.

use domain::HostId;

/// Strategy that selects hosts for a replica.
pub trait HostChooser: Clone + Send + Sync + 'static {
    /// Selects `size` of the `free` hosts, which are ordered by name; none when there are too few.
    fn choose(&self, free: &[HostId], size: usize) -> Option<Vec<HostId>>;
}

/// Selects the first hosts by name.
#[derive(Debug, Clone, Copy, Default)]
pub struct FirstHosts;

impl HostChooser for FirstHosts {
    fn choose(&self, free: &[HostId], size: usize) -> Option<Vec<HostId>> {
        free.get(..size).map(<[HostId]>::to_vec)
    }
}
