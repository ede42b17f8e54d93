//! Taking turns, for no longer than one that waits may be held.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Turns that a few may have at once.
#[derive(Clone, Debug)]
pub struct Turns {
    free: Arc<Semaphore>,
    all: u32,
}

/// A turn; it ends when this is dropped.
#[derive(Debug)]
pub struct Turn(#[expect(dead_code, reason = "held until it is dropped")] OwnedSemaphorePermit);

impl Turns {
    /// Makes turns that `all` may have at once.
    pub fn new(all: u32) -> Self {
        Self { free: Arc::new(Semaphore::new(all as usize)), all }
    }

    /// Waits for a turn, or for all turns at once if `alone`; none if that takes longer than `most`.
    pub async fn take(&self, alone: bool, most: Duration) -> Option<Turn> {
        let count = if alone { self.all } else { 1 };
        let turn = tokio::time::timeout(most, self.free.clone().acquire_many_owned(count)).await;
        turn.ok()?.ok().map(Turn)
    }
}
