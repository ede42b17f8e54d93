//! Rendezvous hashing: every process picks the same node for a key without communication.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the weight of `node` for `key`; the node with the highest weight holds the key.
pub fn weight(key: &[u8], node: u64) -> u64 {
    xxh3_64_with_seed(key, node)
}

/// Returns the node that holds `key`, or `None` when there are no nodes.
pub fn pick<T: Copy>(
    key: &[u8],
    nodes: impl IntoIterator<Item = T>,
    id: impl Fn(T) -> u64,
) -> Option<T> {
    nodes.into_iter().max_by_key(|&n| (weight(key, id(n)), id(n)))
}
