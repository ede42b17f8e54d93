//! Measures the computing speed of this node, so that owners run on nodes with enough CPU.
//!
//! It is used for nodes whose settings state no CPU share. The speed is determined once, when the node starts.

use std::time::Instant;

use thistle_model::rendezvous::weight;

/// The number of bytes that one round hashes.
const BLOCK: usize = 4_096;
/// The number of rounds, which take about a millisecond on a whole core.
const ROUNDS: u64 = 2_000;

/// Returns the number of rounds per second that this node computes, in hundreds.
pub fn measure() -> u32 {
    let block = [7; BLOCK];
    let started_at = Instant::now();
    let mut sum = 0;
    for round in 0..ROUNDS {
        sum ^= weight(&block, round);
    }
    std::hint::black_box(sum);
    let micros = u64::try_from(started_at.elapsed().as_micros()).unwrap_or(u64::MAX).max(1);
    u32::try_from(ROUNDS * 10_000 / micros).unwrap_or(u32::MAX).max(1)
}
