//! How far the partition of claims was read.

use std::sync::atomic::{AtomicU64, Ordering};

/// The end of the partition of claims, as far as this node knows; it only rises. What lies before it was taken in.
#[derive(Debug, Default)]
pub struct ClaimsEnd(AtomicU64);

impl ClaimsEnd {
    /// Takes in that all before `end` was read.
    pub fn reached(&self, end: u64) {
        // 0 stands for not known.
        self.0.fetch_max(end + 1, Ordering::Relaxed);
    }

    /// Returns the end, if it is known.
    pub fn get(&self) -> Option<u64> {
        self.0.load(Ordering::Relaxed).checked_sub(1)
    }
}
