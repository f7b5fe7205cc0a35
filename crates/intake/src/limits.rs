//! Bounds on the numbers of connections and of requests that run.

use nix::sys::resource::{Resource, getrlimit};

/// Descriptors of a process for which there is no limit.
const UNLIMITED_DESCRIPTORS: usize = 1 << 20;

/// Part of a process's descriptors that connections of clients may take: one in so many.
const CLIENT_PART: usize = 2;

/// Part of a process's descriptors that requests may take for connections to their targets: one in so many. What is left
/// is for listeners, idle connections to targets, the store, links and tunnels.
const REQUEST_PART: usize = 4;

/// Tunnels for other nodes: one for so many requests that may run. Each takes a descriptor as a request does, and buffers
/// of its link besides.
const TUNNEL_PART: usize = 4;

/// Most tunnels however large the machine is; a link carries 64.
const MAX_TUNNELS: usize = 512;

/// Part of the machine's memory that connections may take before anything is held for them.
const CONNECTION_MEMORY: f64 = 1.0 / 3.0;

/// Part of the machine's memory that requests may take while they run, besides their connections.
const REQUEST_MEMORY: f64 = 0.25;

/// Bytes per MB.
const BYTES_PER_MB: f64 = 1e6;

/// Memory that a connection takes by itself, in bytes: 16 KiB for its task, its state, the start of its head and the
/// allocator's share, and 32 KiB for what the system has received and the process has not read.
const CONNECTION_BYTES: f64 = 48.0 * 1024.0;

/// Memory that a request takes while it runs, in bytes: its state and the connection to its target, without its body.
const REQUEST_BYTES: f64 = 40.0 * 1024.0;

/// Connections that are kept, and requests that run, however little memory is stated: fewer would be met by ordinary
/// clients.
const MIN_NUMBER: usize = 64;

/// Most connections to an address for readiness checks or metrics. A load balancer and a monitoring system need a few.
pub const MAX_STATUS_CONNECTIONS: usize = 32;

/// What the numbers of a process's client connections and running requests follow from.
#[derive(Debug, Clone, Copy, Default)]
pub struct ConnectionLimits {
    /// Number of connections that the settings state.
    pub stated: Option<usize>,
    /// Number of requests that the settings state.
    pub stated_requests: Option<usize>,
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
        let stated = self
            .stated
            .or_else(|| self.by_memory(CONNECTION_MEMORY / CONNECTION_BYTES));
        self.within_descriptors(stated, CLIENT_PART)
    }

    /// Most requests that run at once, each with a connection to its target: as stated, else as many as the descriptors
    /// and the memory bear. Never more than the descriptors bear.
    #[must_use]
    pub fn max_requests(&self) -> usize {
        let stated = self.stated_requests;
        let stated = stated.or_else(|| self.by_memory(REQUEST_MEMORY / REQUEST_BYTES));
        self.within_descriptors(stated, REQUEST_PART)
    }

    /// Most tunnels that are served for other nodes at once.
    #[must_use]
    pub fn max_tunnels(&self) -> usize {
        (self.max_requests() / TUNNEL_PART).clamp(1, MAX_TUNNELS)
    }

    /// At most one in `part` of the descriptors.
    fn within_descriptors(&self, stated: Option<usize>, part: usize) -> usize {
        let system = descriptor_limit();
        let descriptors = self.descriptors.map_or(system, |stated| stated.min(system));
        let bound = descriptors / part;
        stated.map_or(bound, |most| most.min(bound)).max(1)
    }

    /// As many as the memory bears at `per_byte` a byte of it.
    fn by_memory(&self, per_byte: f64) -> Option<usize> {
        let number = self.memory_mb? * BYTES_PER_MB * per_byte;
        // Saturates for memory sizes that no machine has.
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let number = number as usize;
        Some(number.max(MIN_NUMBER))
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
