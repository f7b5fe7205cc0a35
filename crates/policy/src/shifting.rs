//! Moving replicas between models, versions and roles as the demand moves.

use std::hash::Hash;
use std::time::Duration;

use bon::Builder;
use domain::FastMap;

/// Settings of a [`ShiftPlanner`].
#[derive(Debug, Clone, Copy, PartialEq, Builder)]
pub struct ShiftSettings {
    /// Part of a pool's slots in use above which it gets a replica.
    ///
    /// Above it first tokens wait for slots; a move takes minutes, so it starts before that.
    #[builder(default = 0.8)]
    pub high: f64,
    /// Part of a pool's slots in use that it may reach by giving one away.
    ///
    /// It lies below `high`, or the pool that gave would ask for the replica back.
    #[builder(default = 0.7)]
    pub low: f64,
    /// How long a pool must stay above `high`. A burst that ends sooner is over before the
    /// replica has drained and loaded.
    #[builder(default = Duration::from_mins(2))]
    pub hold: Duration,
    /// Least time between two moves out of the same pool into the same one.
    #[builder(default = Duration::from_mins(1))]
    pub rest: Duration,
    /// Time over which the demand is averaged.
    #[builder(default = Duration::from_mins(2))]
    pub memory: Duration,
}

impl Default for ShiftSettings {
    fn default() -> Self {
        Self::builder().build()
    }
}

/// Replicas of one model, version and role, as wanted: one that is on its way counts.
#[derive(Debug, Clone, Copy, PartialEq, Builder)]
pub struct PoolDemand<K> {
    /// The pool.
    pub pool: K,
    /// Replicas that it has, or soon will.
    pub replicas: u32,
    /// Replicas that it keeps whatever happens.
    #[builder(default = 1)]
    pub floor: u32,
    /// Streams that one replica runs at once.
    pub slots: u32,
    /// Streams that its callers would need now, those refused included.
    pub offered: f64,
    /// Hosts of one replica; only pools with as many exchange replicas.
    pub hosts_per_replica: u32,
}

/// A replica that shall move. Assembly drains it first, then its hosts form the new one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplicaShift<K> {
    /// The pool that gives it.
    pub from: K,
    /// The pool that gets it.
    pub to: K,
}

#[derive(Debug, Clone, Copy)]
struct PoolMemory {
    offered: f64,
    at: Duration,
    pressed_since: Option<Duration>,
    moved_at: Option<Duration>,
}

/// Decides which replica moves next.
///
/// Made for two models whose demand peaks at different hours, and for noise on top of it. Without
/// moves one model refuses callers while the other's hosts idle. Without hysteresis each wave of
/// noise moves replicas to and fro, and each move costs minutes in which the replica serves
/// nobody; seen as drains all day and less served than with no moves at all.
#[derive(Debug)]
pub struct ShiftPlanner<K> {
    settings: ShiftSettings,
    pools: FastMap<K, PoolMemory>,
}

impl<K: Copy + Eq + Hash> ShiftPlanner<K> {
    /// A planner that has seen nothing yet.
    #[must_use]
    pub fn new(settings: ShiftSettings) -> Self {
        Self {
            settings,
            pools: FastMap::default(),
        }
    }

    /// The move to start now; call it every few seconds with every pool.
    pub fn plan(&mut self, now: Duration, pools: &[PoolDemand<K>]) -> Option<ReplicaShift<K>> {
        let mut hottest: Option<(f64, &PoolDemand<K>)> = None;
        for pool in pools {
            let usage = self.observe(now, pool);
            if !self.may_receive(now, pool.pool) {
                continue;
            }
            if hottest.is_none_or(|(most, _)| usage > most) {
                hottest = Some((usage, pool));
            }
        }
        let (_, to) = hottest?;
        let mut coldest: Option<(f64, &PoolDemand<K>)> = None;
        for pool in pools {
            let other = pool.pool != to.pool && pool.hosts_per_replica == to.hosts_per_replica;
            if !other || pool.replicas <= pool.floor {
                continue;
            }
            let usage = self.usage(pool, pool.replicas - 1);
            let kept = usage <= self.settings.low && usage < self.usage(to, to.replicas + 1);
            if kept && coldest.is_none_or(|(least, _)| usage < least) {
                coldest = Some((usage, pool));
            }
        }
        let (_, from) = coldest?;
        if let Some(memory) = self.pools.get_mut(&to.pool) {
            memory.moved_at = Some(now);
        }
        Some(ReplicaShift {
            from: from.pool,
            to: to.pool,
        })
    }

    /// Takes a pool's demand in and gives the part of its slots in use.
    fn observe(&mut self, now: Duration, pool: &PoolDemand<K>) -> f64 {
        let memory = self.pools.entry(pool.pool).or_insert(PoolMemory {
            offered: pool.offered,
            at: now,
            pressed_since: None,
            moved_at: None,
        });
        let elapsed = now.saturating_sub(memory.at).as_secs_f64();
        let kept = (-elapsed / self.settings.memory.as_secs_f64()).exp();
        memory.offered = memory.offered * kept + pool.offered * (1.0 - kept);
        memory.at = now;
        let usage = usage_of(memory.offered, pool, pool.replicas);
        if usage > self.settings.high {
            memory.pressed_since.get_or_insert(now);
        } else {
            memory.pressed_since = None;
        }
        usage
    }

    fn may_receive(&self, now: Duration, pool: K) -> bool {
        let Some(memory) = self.pools.get(&pool) else {
            return false;
        };
        let pressed = memory
            .pressed_since
            .is_some_and(|since| now >= since + self.settings.hold);
        let rested = memory
            .moved_at
            .is_none_or(|moved| now >= moved + self.settings.rest);
        pressed && rested
    }

    fn usage(&self, pool: &PoolDemand<K>, replicas: u32) -> f64 {
        let offered = self.pools.get(&pool.pool).map(|memory| memory.offered);
        usage_of(offered.unwrap_or(pool.offered), pool, replicas)
    }
}

fn usage_of<K>(offered: f64, pool: &PoolDemand<K>, replicas: u32) -> f64 {
    offered / f64::from((replicas * pool.slots).max(1))
}
