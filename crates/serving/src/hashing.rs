//! Hashing that gives the same result on all nodes, and the order of nodes that follows from it.

use std::hash::{Hash, Hasher};

/// An FNV-1a hasher whose results are the same on all nodes and in all versions of the program.
#[derive(Debug, Clone, Copy)]
pub struct StableHasher(u64);

impl Default for StableHasher {
    fn default() -> Self {
        Self(0xcbf2_9ce4_8422_2325)
    }
}

impl Hasher for StableHasher {
    fn finish(&self) -> u64 {
        // The last bytes of the input affect few of the high bits of an FNV hash. One more mixing
        // step spreads them.
        let mixed = (self.0 ^ (self.0 >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        mixed ^ (mixed >> 29)
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 ^= u64::from(*byte);
            self.0 = self.0.wrapping_mul(0x0000_0100_0000_01b3);
        }
    }
}

/// Hashes a value with [`StableHasher`].
#[must_use]
pub fn stable_hash(value: &impl Hash) -> u64 {
    let mut hasher = StableHasher::default();
    value.hash(&mut hasher);
    hasher.finish()
}

/// Number from 0 to 1 that follows from a value alone, so that it can be reproduced from a log.
#[must_use]
pub fn unit_draw(value: &impl Hash) -> f64 {
    let high_bits = u32::try_from(stable_hash(value) >> 32).unwrap_or(u32::MAX);
    f64::from(high_bits) / f64::from(u32::MAX)
}

/// Returns the rank of `node` among `nodes` for a subject by rendezvous hashing; 0 is first.
///
/// Each node computes the same order without exchanging messages, and the loss of a node moves only
/// the subjects for which it was first.
#[must_use]
pub fn rendezvous_rank<'a>(
    node: &str,
    nodes: impl IntoIterator<Item = &'a str>,
    subject: &str,
) -> usize {
    let own = (stable_hash(&(node, subject)), node);
    let before = nodes
        .into_iter()
        .filter(|other| *other != node && (stable_hash(&(*other, subject)), *other) > own);
    before.count()
}
