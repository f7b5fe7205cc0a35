//! The configuration in force.

use std::cmp::Ordering;
use std::rc::Rc;
use std::time::Duration;

use serving::GatewayConfig;
use serving::feed::FeedTiming;
use wire::feed::FeedLane;

use super::GatewayNode;

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
        let idle_timeout = |config: &GatewayConfig| config.limits.idle_timeout;
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
        let previous = current
            .as_ref()
            .map_or(Duration::ZERO, |previous| idle_timeout(previous));
        self.idle_timeout.set(idle_timeout(&config).max(previous));
        *current = Some(Rc::new(config.with_priorities()));
        drop(current);
        self.state_changed.notify_waiters();
        true
    }

    /// Idle timeout of client connections: the longer of those of the current and the previous
    /// configuration.
    #[must_use]
    pub fn idle_timeout(&self) -> Duration {
        self.idle_timeout.get()
    }
}
