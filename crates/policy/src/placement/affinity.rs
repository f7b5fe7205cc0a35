//! Which targets probably hold which prompt prefixes in their cache.

use domain::{FastMap, TargetKey};

/// Targets remembered for one prefix; with more holders it counts as held everywhere.
const MAX_HOLDERS: usize = 8;

/// Prompts are looked up at lengths of 1, 2, 3, 4, 6, 8, 12, 16, … blocks.
///
/// Every block would cost a look-up for each 64 bytes of prompt on the request path; two lengths
/// in each doubling find at least two thirds of what is held, in about 20 look-ups at most.
fn depths(blocks: usize) -> Vec<usize> {
    let mut depths = Vec::new();
    let mut depth = 1;
    while depth <= blocks {
        depths.push(depth);
        let between = depth + depth / 2;
        if depth > 1 && between <= blocks {
            depths.push(between);
        }
        depth *= 2;
    }
    depths
}

#[derive(Debug, Clone, Default)]
struct HolderList {
    targets: Vec<TargetKey>,
    common: bool,
}

/// What the index says of a prompt.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PrefixMatch {
    /// Targets that hold a prefix, with its length in blocks, the longest first.
    pub holders: Vec<PrefixHolder>,
    /// Blocks that nearly every target holds, such as a shared system prompt.
    pub common_blocks: usize,
}

/// A target that probably holds a prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PrefixHolder {
    /// The target.
    pub target: TargetKey,
    /// Length of the prefix in blocks.
    pub blocks: usize,
}

/// Index from prefix hashes to targets, in bounded memory.
///
/// Engines publish their cache events late and with gaps, so everything here is a hint that may
/// only change a prediction, never a gate. It also learns from this entry's own sends, because
/// a prompt that was sent is held before any event says so. Two generations bound the memory:
/// when the young one is full the old one is forgotten, which keeps what was asked for lately
/// without a list to reorder on each look-up.
#[derive(Debug)]
pub struct PrefixIndex {
    capacity: usize,
    young: FastMap<u64, HolderList>,
    old: FastMap<u64, HolderList>,
}

impl PrefixIndex {
    /// An empty index of at most `capacity` prefixes; about 150 bytes each.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity: capacity.max(2),
            young: FastMap::default(),
            old: FastMap::default(),
        }
    }

    /// Prefixes remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Whether nothing is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn find(&self, prefix: u64) -> Option<&HolderList> {
        self.young.get(&prefix).or_else(|| self.old.get(&prefix))
    }

    fn touch(&mut self, prefix: u64) -> &mut HolderList {
        if !self.young.contains_key(&prefix) {
            if self.young.len() >= self.capacity / 2 {
                self.old = std::mem::take(&mut self.young);
            }
            let list = self.old.remove(&prefix).unwrap_or_default();
            self.young.insert(prefix, list);
        }
        self.young.entry(prefix).or_default()
    }

    /// A target holds a prefix.
    pub fn insert(&mut self, prefix: u64, target: TargetKey) {
        let list = self.touch(prefix);
        if list.common || list.targets.contains(&target) {
            return;
        }
        if list.targets.len() == MAX_HOLDERS {
            list.common = true;
            list.targets = Vec::new();
            return;
        }
        list.targets.push(target);
    }

    /// A target no longer holds a prefix.
    pub fn remove(&mut self, prefix: u64, target: TargetKey) {
        for map in [&mut self.young, &mut self.old] {
            let Some(list) = map.get_mut(&prefix) else {
                continue;
            };
            list.targets.retain(|other| *other != target);
        }
    }

    /// A prompt with these prefix hashes, one a block, was sent to a target.
    pub fn insert_prompt(&mut self, prefixes: &[u64], target: TargetKey) {
        for depth in depths(prefixes.len()) {
            if let Some(prefix) = prefixes.get(depth - 1) {
                self.insert(*prefix, target);
            }
        }
    }

    /// Who holds the longest prefixes of a prompt; at most `limit` targets.
    #[must_use]
    pub fn look_up(&self, prefixes: &[u64], limit: usize) -> PrefixMatch {
        let mut found = PrefixMatch::default();
        for depth in depths(prefixes.len()).into_iter().rev() {
            let Some(list) = prefixes.get(depth - 1).and_then(|hash| self.find(*hash)) else {
                continue;
            };
            if list.common {
                found.common_blocks = depth;
                break;
            }
            for target in &list.targets {
                let known = found.holders.iter().any(|holder| holder.target == *target);
                if known || found.holders.len() >= limit {
                    continue;
                }
                found.holders.push(PrefixHolder {
                    target: *target,
                    blocks: depth,
                });
            }
        }
        found
    }
}
