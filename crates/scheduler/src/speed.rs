//! How fast this node computes, so that owners run where there is room for them.
//!
//! Settings tell what a node was promised; what it gets is measured once, at its start.

use std::time::Instant;

use thistle_model::rendezvous::weight;

/// Bytes that are hashed in one round.
const BLOCK: usize = 4_096;
/// Rounds: about a millisecond on a whole core.
const ROUNDS: u64 = 2_000;

/// Returns how many rounds this node does in a second, in hundreds.
pub fn measure() -> u32 {
    let block = [7; BLOCK];
    let began = Instant::now();
    let mut sum = 0;
    for round in 0..ROUNDS {
        sum ^= weight(&block, round);
    }
    std::hint::black_box(sum);
    let micros = u64::try_from(began.elapsed().as_micros()).unwrap_or(u64::MAX).max(1);
    u32::try_from(ROUNDS * 10_000 / micros).unwrap_or(u32::MAX).max(1)
}
