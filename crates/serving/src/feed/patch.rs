//! A short form of a changed row: the part in which it differs from the version before.
//!
//! Rows of hosts describe the whole host, but most changes touch its state only. During a start of
//! all replicas, whole rows filled the links of the nodes that pass them on.

use bytes::Bytes;

/// The difference between two values that share a beginning and an end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowPatch {
    /// Bytes shared at the beginning.
    pub prefix: usize,
    /// Bytes shared at the end, behind the prefix.
    pub suffix: usize,
    /// Bytes of the new value between the two.
    pub middle: Bytes,
}

impl RowPatch {
    /// Difference from one value to another.
    #[must_use]
    pub fn between(old: &[u8], new: &Bytes) -> Self {
        let shared = |pairs: &mut dyn Iterator<Item = (&u8, &u8)>| {
            pairs.take_while(|(left, right)| left == right).count()
        };
        let prefix = shared(&mut old.iter().zip(new.iter()));
        let (old_rest, new_rest) = (&old[prefix..], &new[prefix..]);
        let suffix = shared(&mut old_rest.iter().rev().zip(new_rest.iter().rev()));
        Self {
            prefix,
            suffix,
            middle: new.slice(prefix..new.len() - suffix),
        }
    }

    /// New value that results from the old one; `None` if the old one is too short.
    #[must_use]
    pub fn apply(&self, old: &[u8]) -> Option<Bytes> {
        let suffix_start = old.len().checked_sub(self.suffix)?;
        let prefix = old.get(..self.prefix)?;
        if suffix_start < self.prefix {
            return None;
        }
        Some([prefix, &self.middle, &old[suffix_start..]].concat().into())
    }
}
