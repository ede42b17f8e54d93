//! Limits the number of concurrent operations, with a maximum waiting time.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// A limit on concurrent operations, with separate permits for operations that start while the store is slow. These
/// operations do not wait for earlier ones, which a slow store delays for seconds.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    usual: Arc<Semaphore>,
    slow: Arc<Semaphore>,
}

/// A permit, which is released when it is dropped.
#[derive(Debug)]
pub struct Permit(#[expect(dead_code, reason = "held until it is dropped")] OwnedSemaphorePermit);

impl ConcurrencyLimit {
    /// Creates a limit of `usual` concurrent operations, and of `slow` operations while the store is slow.
    pub fn new(usual: usize, slow: usize) -> Self {
        Self { usual: Arc::new(Semaphore::new(usual)), slow: Arc::new(Semaphore::new(slow)) }
    }

    /// Waits for a permit; returns `None` if that takes longer than `max_wait`.
    pub async fn acquire(&self, slow: bool, max_wait: Duration) -> Option<Permit> {
        let semaphore = if slow { &self.slow } else { &self.usual };
        let permit = tokio::time::timeout(max_wait, semaphore.clone().acquire_owned()).await;
        permit.ok()?.ok().map(Permit)
    }
}
