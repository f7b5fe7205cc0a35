//! A bounded cache of prompt prefixes; its events come late and with gaps.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use wire::engine::{CacheEvent, CachePage};

/// Events that are kept; older ones are a gap too.
const MAX_EVENTS: usize = 4_096;

/// Every event with a number divisible by this is lost.
const LOST_EVENT_INTERVAL: u64 = 17;

/// The cache: least recently used blocks leave first.
#[derive(Debug)]
pub struct PrefixCache {
    capacity: usize,
    lag: Duration,
    clock: u64,
    last_use: HashMap<u64, u64>,
    by_last_use: BTreeMap<u64, u64>,
    next_event: u64,
    events: VecDeque<(Instant, CacheEvent)>,
}

impl PrefixCache {
    /// An empty cache of so many blocks whose events are published after `lag`.
    #[must_use]
    pub fn new(capacity: usize, lag: Duration) -> Self {
        Self {
            capacity,
            lag,
            clock: 0,
            last_use: HashMap::new(),
            by_last_use: BTreeMap::new(),
            next_event: 1,
            events: VecDeque::new(),
        }
    }

    /// Blocks at the start of the prompt that the cache holds.
    pub fn count_cached(&mut self, hashes: &[u64]) -> usize {
        let mut found = 0;
        for hash in hashes {
            if !self.last_use.contains_key(hash) {
                break;
            }
            self.touch(*hash);
            found += 1;
        }
        found
    }

    /// Keeps a prompt's blocks.
    pub fn insert(&mut self, hashes: &[u64], now: Instant) {
        for hash in hashes {
            if !self.last_use.contains_key(hash) {
                self.publish(*hash, true, now);
            }
            self.touch(*hash);
        }
        while self.last_use.len() > self.capacity {
            let Some((_, oldest)) = self.by_last_use.pop_first() else {
                return;
            };
            self.last_use.remove(&oldest);
            self.publish(oldest, false, now);
        }
    }

    fn touch(&mut self, hash: u64) {
        self.clock += 1;
        if let Some(previous) = self.last_use.insert(hash, self.clock) {
            self.by_last_use.remove(&previous);
        }
        self.by_last_use.insert(self.clock, hash);
    }

    fn publish(&mut self, prefix: u64, stored: bool, now: Instant) {
        let number = self.next_event;
        self.next_event += 1;
        if number.is_multiple_of(LOST_EVENT_INTERVAL) {
            return;
        }
        let event = CacheEvent {
            number,
            prefix,
            stored,
        };
        self.events.push_back((now, event));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Events behind a number, as far as they are published by now.
    #[must_use]
    pub fn events(&self, after: u64, now: Instant) -> CachePage {
        let mut events = Vec::new();
        for (at, event) in &self.events {
            let published = now.duration_since(*at) >= self.lag;
            if event.number <= after || !published {
                continue;
            }
            events.push(*event);
        }
        CachePage { events }
    }
}
