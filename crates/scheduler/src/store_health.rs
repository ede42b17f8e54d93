//! The health of the store as seen by this node: when the store last answered.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use thistle_schedule::Ms;
use thistle_schedule::admission::StoreView;

use crate::clock::steady_ms;

/// How long it takes until VMs whose entries expired in an outage of the store are listed again, in milliseconds: the
/// specified two seconds, and a margin for reading the list.
const RELISTING_MS: Ms = 2_500;

/// The health of the store as seen by this node.
#[derive(Debug, Default)]
pub struct StoreHealth {
    answered_at: AtomicU64,
    failed_at: AtomicU64,
    lost: AtomicBool,
}

impl StoreHealth {
    /// Records whether the store answered a call.
    pub fn record_call(&self, answered: bool) {
        if answered {
            self.answered_at.store(steady_ms(), Ordering::Relaxed);
            if self.lost.swap(false, Ordering::Relaxed) {
                log::info!("store step=regained");
            }
            return;
        }
        self.failed_at.store(steady_ms(), Ordering::Relaxed);
        if !self.is_reachable() && !self.lost.swap(true, Ordering::Relaxed) {
            let silent_ms = steady_ms().saturating_sub(self.view().answered_at);
            log::warn!("store step=lost silent_ms={silent_ms}");
        }
    }

    /// Returns when the store last answered and last failed to answer.
    pub fn view(&self) -> StoreView {
        StoreView {
            answered_at: self.answered_at.load(Ordering::Relaxed),
            failed_at: self.failed_at.load(Ordering::Relaxed),
        }
    }

    /// Returns whether the store has answered recently.
    pub fn is_reachable(&self) -> bool {
        self.view().is_reachable(steady_ms())
    }

    /// Returns whether the list of VMs is complete: the store has answered all calls for at least the time in which VMs are
    /// listed again after an outage.
    pub fn listing_is_complete(&self) -> bool {
        self.view().is_healthy_for(RELISTING_MS, steady_ms())
    }
}
