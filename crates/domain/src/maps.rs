//! Hash collections with a fast hasher.

/// Hash map with a fast, randomly seeded hasher.
pub type FastMap<K, V> = std::collections::HashMap<K, V, foldhash::fast::RandomState>;

/// Hash set with a fast, randomly seeded hasher.
pub type FastSet<K> = std::collections::HashSet<K, foldhash::fast::RandomState>;
