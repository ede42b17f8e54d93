//! The position up to which the partition of claims was read.

use std::sync::atomic::{AtomicU64, Ordering};

/// The end of the partition of claims known to this node, which only increases. All records before it were applied.
#[derive(Debug, Default)]
pub struct ClaimsEnd(AtomicU64);

impl ClaimsEnd {
    /// Records that all records before `end` were applied.
    pub fn advance_to(&self, end: u64) {
        // 0 stands for an unknown end.
        self.0.fetch_max(end + 1, Ordering::Relaxed);
    }

    /// Returns the end, if it is known.
    pub fn get(&self) -> Option<u64> {
        self.0.load(Ordering::Relaxed).checked_sub(1)
    }
}
