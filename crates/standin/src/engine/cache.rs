//! A bounded LRU cache of prompt prefixes. Its events are published with a delay and with gaps.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use wire::engine::{CacheEvent, CachePage};

/// Maximum events that are retained; dropped older ones appear as a gap to readers.
const MAX_EVENTS: usize = 4_096;

/// Events whose number is a multiple of this are never published.
const LOST_EVENT_INTERVAL: u64 = 17;

/// Cache of prefix blocks by hash; the least recently used block is evicted first.
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
    /// Creates an empty cache of `capacity` blocks whose events are published after `lag`.
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

    /// Returns how many consecutive blocks from the start of the prompt are cached.
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

    /// Inserts the blocks of a prompt and evicts blocks above the capacity.
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

    /// Returns the published events with a number above `after`.
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
