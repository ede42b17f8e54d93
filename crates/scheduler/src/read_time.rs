//! When this node last read a partition to its end.

use std::sync::atomic::{AtomicU64, Ordering};

use thistle_schedule::{Ms, halls};

use crate::clock::steady_ms;

/// When the latest read that reached the end of a partition was sent: all records that the store had at that time are applied.
#[derive(Debug, Default)]
pub struct ReadTime(AtomicU64);

impl ReadTime {
    /// Records a fully applied read.
    pub fn record(&self, sent_at: Option<Ms>) {
        self.0.fetch_max(sent_at.unwrap_or(0), Ordering::Relaxed);
    }

    /// Forgets all reads, because the records are no longer kept.
    pub fn clear(&self) {
        self.0.store(0, Ordering::Relaxed);
    }

    /// Returns when the latest read was sent, or `None` before the first one.
    pub fn get(&self) -> Option<Ms> {
        let read_at = self.0.load(Ordering::Relaxed);
        (read_at > 0).then_some(read_at)
    }

    /// Returns the age of the latest read in milliseconds, or `None` before the first one.
    pub fn age(&self) -> Option<Ms> {
        halls::read_age(self.get(), steady_ms())
    }
}
