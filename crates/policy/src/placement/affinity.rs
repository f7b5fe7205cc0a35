//! Index of the targets that probably hold a prompt prefix in their cache.

use domain::{FastMap, TargetKey};

/// Number of targets kept per prefix; a prefix with more holders counts as held by all targets.
const MAX_HOLDERS: usize = 8;

/// Returns the prefix lengths that are looked up: 1, 2, 3, 4, 6, 8, 12, 16, … blocks.
///
/// Looking up every block would take one look-up per 64 bytes of prompt on the request path. Two
/// lengths per doubling find at least two thirds of the longest held prefix, with at most about 20
/// look-ups.
fn lookup_depths(blocks: usize) -> Vec<usize> {
    let mut depths = Vec::new();
    let mut depth = 1;
    while depth <= blocks {
        depths.push(depth);
        let midpoint = depth + depth / 2;
        if depth > 1 && midpoint <= blocks {
            depths.push(midpoint);
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

/// Result of looking up a prompt in the index.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PrefixMatch {
    /// Targets that hold a prefix, with its length, longest first.
    pub holders: Vec<PrefixHolder>,
    /// Number of blocks that nearly every target holds, such as a shared system prompt.
    pub common_blocks: usize,
}

/// A target that probably holds a prefix of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PrefixHolder {
    /// The target, which may no longer be a candidate.
    pub target: TargetKey,
    /// Length of the longest known prefix, in blocks.
    pub blocks: usize,
}

/// Index from prefix hashes to targets, with bounded memory.
///
/// Engines publish cache events late and incompletely, so the index is only a hint: it may change a
/// prediction but never excludes a target. It also learns from the requests that this entry sends,
/// because a prompt is cached before any event reports it. Two generations bound the memory: when
/// the young one is full, the old one is dropped. This keeps recently used prefixes without
/// reordering a list on each look-up.
#[derive(Debug)]
pub struct PrefixIndex {
    capacity: usize,
    young: FastMap<u64, HolderList>,
    old: FastMap<u64, HolderList>,
}

impl PrefixIndex {
    /// Creates an empty index of at most `capacity` prefixes, about 150 bytes each.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity: capacity.max(2),
            young: FastMap::default(),
            old: FastMap::default(),
        }
    }

    /// Returns the number of prefixes in both generations.
    #[must_use]
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Returns whether the index holds no prefix.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn find(&self, prefix: u64) -> Option<&HolderList> {
        self.young.get(&prefix).or_else(|| self.old.get(&prefix))
    }

    fn promote(&mut self, prefix: u64) -> &mut HolderList {
        if !self.young.contains_key(&prefix) {
            if self.young.len() >= self.capacity / 2 {
                self.old = std::mem::take(&mut self.young);
            }
            let list = self.old.remove(&prefix).unwrap_or_default();
            self.young.insert(prefix, list);
        }
        self.young.entry(prefix).or_default()
    }

    /// Records that a target holds a prefix. Once a prefix has more than `MAX_HOLDERS` holders, the
    /// single ones are forgotten.
    pub fn insert(&mut self, prefix: u64, target: TargetKey) {
        let list = self.promote(prefix);
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

    /// Records that a target no longer holds a prefix; has no effect on one that counts as held by
    /// all targets.
    pub fn remove(&mut self, prefix: u64, target: TargetKey) {
        for map in [&mut self.young, &mut self.old] {
            let Some(list) = map.get_mut(&prefix) else {
                continue;
            };
            list.targets.retain(|other| *other != target);
        }
    }

    /// Records that a prompt with these prefix hashes, one per block, was sent to a target.
    pub fn insert_prompt(&mut self, prefixes: &[u64], target: TargetKey) {
        for depth in lookup_depths(prefixes.len()) {
            if let Some(prefix) = prefixes.get(depth - 1) {
                self.insert(*prefix, target);
            }
        }
    }

    /// Finds the holders of the longest prefixes of a prompt, at most `limit` targets.
    #[must_use]
    pub fn look_up(&self, prefixes: &[u64], limit: usize) -> PrefixMatch {
        let mut found = PrefixMatch::default();
        for depth in lookup_depths(prefixes.len()).into_iter().rev() {
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
