//! Bounds on the number of connections.

use nix::sys::resource::{Resource, getrlimit};

/// Descriptors of a process for which there is no limit.
const UNLIMITED_DESCRIPTORS: usize = 1 << 20;

/// Part of a process's descriptors that clients may take. The rest is for listeners, targets, the store, links and
/// tunnels: a node has up to 134 of its own open, and each of 512 tunnels takes one.
const CLIENT_PART: (usize, usize) = (3, 4);

/// Part of a process's memory that connections may take before anything is held for them.
const MEMORY_PART: f64 = 0.25;

/// Bytes per MB.
const BYTES_PER_MB: f64 = 1e6;

/// Memory that a connection takes by itself, in bytes: its task, its state, the start of its head and the allocator's
/// share.
const CONNECTION_BYTES: f64 = 16.0 * 1024.0;

/// Connections that are kept however little memory is stated: fewer would be met by ordinary clients.
const MIN_CONNECTIONS: usize = 64;

/// Most connections to an address for readiness checks or metrics. A load balancer and a monitoring system need a few.
pub const MAX_STATUS_CONNECTIONS: usize = 32;

/// What the number of a process's client connections follows from.
#[derive(Debug, Clone, Copy, Default)]
pub struct ConnectionLimits {
    /// Number that the settings state.
    pub stated: Option<usize>,
    /// Descriptors that the settings state.
    pub descriptors: Option<usize>,
    /// Memory of the process, in MB.
    pub memory_mb: Option<f64>,
}

impl ConnectionLimits {
    /// Most client connections at once: as stated, else as many as the descriptors and the memory bear. Never more than
    /// the descriptors bear.
    #[must_use]
    pub fn max_connections(&self) -> usize {
        let system = descriptor_limit();
        let descriptors = self.descriptors.map_or(system, |stated| stated.min(system));
        let (part, whole) = CLIENT_PART;
        let by_descriptors = descriptors / whole * part;
        let stated = self.stated.or_else(|| self.by_memory());
        let most = stated.map_or(by_descriptors, |most| most.min(by_descriptors));
        most.max(1)
    }

    fn by_memory(&self) -> Option<usize> {
        let connections = self.memory_mb? * BYTES_PER_MB * MEMORY_PART / CONNECTION_BYTES;
        // Saturates for memory sizes that no machine has.
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let connections = connections as usize;
        Some(connections.max(MIN_CONNECTIONS))
    }
}

/// Descriptors that the system lets this process have open.
#[must_use]
pub fn descriptor_limit() -> usize {
    let limit = getrlimit(Resource::RLIMIT_NOFILE).map(|(soft, _)| soft);
    // A system that does not tell is treated as one without a limit; the settings may state one.
    let limit = limit.ok().and_then(|limit| usize::try_from(limit).ok());
    limit.map_or(UNLIMITED_DESCRIPTORS, |limit| {
        limit.min(UNLIMITED_DESCRIPTORS)
    })
}
