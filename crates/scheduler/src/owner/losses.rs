//! Numbers of losses of VMs, by which an order is known to have been decided before one.

use std::sync::atomic::{AtomicU64, Ordering};

/// The number of a loss: of two losses of VMs that one owner was told, the later one has the higher number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct LossNumber(u64);

/// Numbers the losses that one owner is told.
#[derive(Debug, Default)]
pub struct Losses(AtomicU64);

impl Losses {
    /// Returns the number of one more loss.
    pub fn next(&self) -> LossNumber {
        LossNumber(self.0.fetch_add(1, Ordering::Relaxed) + 1)
    }
}

/// The newest loss of one VM.
#[derive(Debug, Default)]
pub struct NewestLoss(AtomicU64);

impl NewestLoss {
    /// Takes in a loss.
    pub fn note(&self, loss: LossNumber) {
        self.0.fetch_max(loss.0, Ordering::Relaxed);
    }

    /// Returns whether the VM was lost after `taken_in`.
    pub fn is_after(&self, taken_in: LossNumber) -> bool {
        self.0.load(Ordering::Relaxed) > taken_in.0
    }
}
