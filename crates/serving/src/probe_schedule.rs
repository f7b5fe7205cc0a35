//! When a node probes hosts of which many nodes hear at the same time.
//!
//! Pattern: a tenth of the hosts lose the store at once but go on working, or vanish. Every node
//! learns of each of them from the registry. If each probed them all, the probes would grow with
//! the product of nodes and hosts, and the hosts would spend their time on them. The nodes that
//! plan for a fabric domain probe its hosts; each further node probes less often, so that a host
//! gets a bounded number of probes however many nodes there are, and is probed even if all nodes
//! before are gone.

use std::time::Duration;

/// Interval between two probes of a host by a node that plans for its fabric domain.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(700);

/// Maximum rank for a fabric domain at which a node plans for it on every change, and probes its
/// hosts. Seven nodes have to be gone at once before a domain waits for one of the others.
pub const MAX_ACTIVE_RANK: usize = 6;

/// Increase of the interval from one rank to the next, per rank beyond [`MAX_ACTIVE_RANK`].
const INTERVAL_STEP: Duration = Duration::from_millis(350);

/// Maximum interval between two probes of a host that a node suspects on its own evidence.
const MAX_SUSPECT_INTERVAL: Duration = Duration::from_millis(5600);

/// Interval between the first two questions to a target for its id. It doubles up to the maximum: what
/// has taken over an address may keep it for long, and all nodes that were answered by it ask.
const IDENTITY_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum of that interval, for which a target that is back may get no requests.
const MAX_IDENTITY_INTERVAL: Duration = Duration::from_secs(4);

/// Interval after question number `probes` to a target for its id.
#[must_use]
pub fn identity_interval(probes: u32) -> Duration {
    let factor = 1_u32.checked_shl(probes).unwrap_or(u32::MAX);
    IDENTITY_INTERVAL
        .saturating_mul(factor)
        .min(MAX_IDENTITY_INTERVAL)
}

/// Interval between two probes of a host that left the registry, by the node of this rank for its
/// fabric domain. The first probe of a node that does not plan comes after one interval.
#[must_use]
pub fn unlisted_interval(rank: usize) -> Duration {
    let beyond = rank.saturating_sub(MAX_ACTIVE_RANK);
    let beyond = u32::try_from(beyond).unwrap_or(u32::MAX);
    let steps = beyond.saturating_mul(beyond.saturating_add(1)) / 2;
    PROBE_INTERVAL + INTERVAL_STEP.saturating_mul(steps)
}

/// Interval between probe number `probes` of a suspected host and the next one, by the node of this
/// rank. A node beyond those that plan asks less and less often: a host that is back either joins
/// another replica, which the registry tells, or has been away for long.
#[must_use]
pub fn suspect_interval(rank: usize, probes: u32) -> Duration {
    if rank <= MAX_ACTIVE_RANK {
        return PROBE_INTERVAL;
    }
    let factor = 1_u32.checked_shl(probes).unwrap_or(u32::MAX);
    PROBE_INTERVAL
        .saturating_mul(factor)
        .min(MAX_SUSPECT_INTERVAL)
}
