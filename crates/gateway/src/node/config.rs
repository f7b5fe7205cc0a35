//! The configuration in force.

use std::cmp::Ordering;
use std::rc::Rc;
use std::time::Duration;

use serving::feed::FeedTiming;
use serving::{GatewayConfig, RequestLimits};
use wire::feed::FeedLane;

use super::GatewayNode;

/// Largest head while no configuration tells the limit, in bytes. It is above any that operators state, since a client
/// would take a refusal as final.
const UNKNOWN_HEAD_BYTES: usize = 64 << 10;

/// Longest time for a head while no configuration tells the limit.
const UNKNOWN_HEAD_TIMEOUT: Duration = Duration::from_secs(20);

/// Idle timeout of client connections until a configuration is known.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Limits on client connections: the higher of those of the current and the previous configuration.
#[derive(Debug, Clone, Copy)]
pub(super) struct ConnectionBounds {
    idle_timeout: Duration,
    head_bytes: usize,
    head_timeout: Duration,
}

impl ConnectionBounds {
    fn new(current: RequestLimits, previous: RequestLimits) -> Self {
        Self {
            idle_timeout: current.idle_timeout.max(previous.idle_timeout),
            head_bytes: current.head_bytes.max(previous.head_bytes),
            head_timeout: current.head_timeout.max(previous.head_timeout),
        }
    }
}

impl GatewayNode {
    /// The configuration in force, once one is known.
    #[must_use]
    pub fn config(&self) -> Option<Rc<GatewayConfig>> {
        self.config.borrow().clone()
    }

    /// Times within which the changes of a lane's tables are asked for.
    #[must_use]
    pub fn feed_timing(&self, lane: FeedLane) -> FeedTiming {
        let bounds = &self.settings.bounds;
        FeedTiming::new(match lane {
            FeedLane::Urgent => bounds.drain_bound(),
            FeedLane::Bulk => bounds.config_table_bound(),
        })
    }

    /// Whether the configuration in force is proved to be the newest that has been confirmed for longer
    /// than the bound, so that it may speak for the whole system.
    #[must_use]
    pub fn is_config_proved(&self) -> bool {
        let is_recent = self.feed.config_age(self.now()) <= self.settings.bounds.config_bound();
        is_recent && !self.feed.is_config_unreadable()
    }

    /// Puts a configuration into force, unless the one in force is newer or the same; returns whether it did.
    ///
    /// `digest` tells documents apart that have the same number. An operator that writes again what the store has
    /// lost may give out numbers again as the store does; the document that the store holds counts then.
    pub fn set_config(&self, config: GatewayConfig, digest: u64) -> bool {
        let mut current = self.config.borrow_mut();
        let order = current
            .as_ref()
            .map(|current| config.revision.cmp(&current.revision));
        let is_outdated = match order {
            Some(Ordering::Less) => true,
            Some(Ordering::Equal) => self.config_digest.get() == digest,
            Some(Ordering::Greater) | None => false,
        };
        if is_outdated {
            return false;
        }
        self.config_digest.set(digest);
        // Clients that have not seen a shorter limit yet still rely on the previous one.
        let previous = current.as_ref().map(|previous| previous.limits);
        let limits = ConnectionBounds::new(config.limits, previous.unwrap_or(config.limits));
        self.connection_bounds.set(Some(limits));
        *current = Some(Rc::new(config.with_priorities()));
        drop(current);
        self.state_changed.notify_waiters();
        true
    }

    /// Idle timeout of client connections.
    #[must_use]
    pub fn idle_timeout(&self) -> Duration {
        let bounds = self.connection_bounds.get();
        bounds.map_or(DEFAULT_IDLE_TIMEOUT, |bounds| bounds.idle_timeout)
    }

    /// Largest head of a request, in bytes.
    #[must_use]
    pub fn head_bytes(&self) -> usize {
        let bounds = self.connection_bounds.get();
        bounds.map_or(UNKNOWN_HEAD_BYTES, |bounds| bounds.head_bytes)
    }

    /// Longest time between the first byte of a head and its end.
    #[must_use]
    pub fn head_timeout(&self) -> Duration {
        let bounds = self.connection_bounds.get();
        bounds.map_or(UNKNOWN_HEAD_TIMEOUT, |bounds| bounds.head_timeout)
    }
}
