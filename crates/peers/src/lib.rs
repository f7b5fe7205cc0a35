//! Links between the nodes: h2 streams that carry bincode digests.
