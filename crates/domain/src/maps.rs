//! Hash collections with a fast, non-cryptographic hasher.

/// Hash map with the `foldhash` hasher, seeded at random.
pub type FastMap<K, V> = std::collections::HashMap<K, V, foldhash::fast::RandomState>;

/// Hash set with the `foldhash` hasher, seeded at random.
pub type FastSet<K> = std::collections::HashSet<K, foldhash::fast::RandomState>;
