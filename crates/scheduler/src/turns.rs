//! Taking turns, for no longer than one that waits may be held.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Turns that a few may have at once, and others for those who come beside a slow store: they do not wait for those of before, which
/// such a store holds up for seconds.
#[derive(Clone, Debug)]
pub struct Turns {
    usual: Arc<Semaphore>,
    slow: Arc<Semaphore>,
}

/// A turn; it ends when this is dropped.
#[derive(Debug)]
pub struct Turn(#[expect(dead_code, reason = "held until it is dropped")] OwnedSemaphorePermit);

impl Turns {
    /// Makes turns that so many may have at once, usually and beside a slow store.
    pub fn new(usual: usize, slow: usize) -> Self {
        Self { usual: Arc::new(Semaphore::new(usual)), slow: Arc::new(Semaphore::new(slow)) }
    }

    /// Waits for a turn; none if that takes longer than `most`.
    pub async fn take(&self, slow: bool, most: Duration) -> Option<Turn> {
        let turns = if slow { &self.slow } else { &self.usual };
        let turn = tokio::time::timeout(most, turns.clone().acquire_owned()).await;
        turn.ok()?.ok().map(Turn)
    }
}
