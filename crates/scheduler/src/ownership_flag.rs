//! A flag that indicates whether this node owns something, and waits that end when the flag changes.

use std::time::Duration;

use tokio::sync::watch;

/// A flag that indicates whether this node owns something.
#[derive(Debug)]
pub struct OwnershipFlag(watch::Sender<bool>);

impl Default for OwnershipFlag {
    fn default() -> Self {
        Self(watch::Sender::new(false))
    }
}

impl OwnershipFlag {
    /// Returns whether this node is the owner.
    pub fn get(&self) -> bool {
        *self.0.borrow()
    }

    /// Sets whether this node is the owner, and wakes the waiting tasks if the value has changed.
    pub fn set(&self, owned: bool) {
        self.0.send_if_modified(|was| std::mem::replace(was, owned) != owned);
    }

    /// Waits until the flag has the value `owned`.
    pub async fn wait_for(&self, owned: bool) {
        // The wait cannot fail, because the sender lives as long as `self`.
        let _ = self.0.subscribe().wait_for(|&now| now == owned).await;
    }

    /// Waits for `pause` or until this node is the owner. An owner that waited for the whole pause would receive
    /// cancellations and new jobs late by up to that pause.
    pub async fn wait_until_owned_or(&self, pause: Duration) {
        let mut owned = self.0.subscribe();
        // Both results end the pause.
        let _ = tokio::time::timeout(pause, owned.wait_for(|&owned| owned)).await;
    }
}
