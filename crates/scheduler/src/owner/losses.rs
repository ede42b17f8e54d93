//! Numbers of VM losses, which show whether an order was decided before a loss.

use std::sync::atomic::{AtomicU64, Ordering};

/// The number of a VM loss: of two losses reported to one owner, the later one has the higher number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct LossNumber(u64);

/// Numbers the losses reported to one owner.
#[derive(Debug, Default)]
pub struct LossCounter(AtomicU64);

impl LossCounter {
    /// Returns the number of the next loss.
    pub fn next(&self) -> LossNumber {
        LossNumber(self.0.fetch_add(1, Ordering::Relaxed) + 1)
    }
}

/// The newest loss of one VM.
#[derive(Debug, Default)]
pub struct NewestLoss(AtomicU64);

impl NewestLoss {
    /// Records a loss.
    pub fn record(&self, loss: LossNumber) {
        self.0.fetch_max(loss.0, Ordering::Relaxed);
    }

    /// Returns whether the VM was lost after `handled_loss`.
    pub fn is_after(&self, handled_loss: LossNumber) -> bool {
        self.0.load(Ordering::Relaxed) > handled_loss.0
    }
}
