//! The budget of this node's link, if its settings state the bandwidth.

use std::sync::{Arc, Mutex};

use thistle_platform::http::traffic::total_bytes;
use thistle_platform::worker::LinkDelay;
use thistle_schedule::{LinkBudget, StartSize};

use crate::clock::steady_ms;
use crate::locks::lock;

/// The budget of this node's link. Without a stated bandwidth nothing is limited.
#[derive(Debug, Default)]
pub struct Uplink {
    budget: Option<Mutex<LinkBudget>>,
    delay: Arc<LinkDelay>,
}

impl Uplink {
    /// Creates the budget of a link with this bandwidth.
    pub fn new(bytes_per_s: Option<u64>) -> Self {
        let new = |bandwidth| LinkBudget::new(bandwidth, total_bytes().sent, steady_ms());
        Self { budget: bytes_per_s.map(new).map(Mutex::new), delay: Arc::default() }
    }

    fn with_budget<T>(&self, f: impl FnOnce(&mut LinkBudget) -> T) -> Option<T> {
        let mut budget = lock(self.budget.as_ref()?);
        budget.update(total_bytes().sent, steady_ms());
        self.delay.set_ms(budget.delay_ms());
        Some(f(&mut budget))
    }

    /// Returns how long calls wait for the link, which their timeouts allow for.
    pub const fn delay(&self) -> &Arc<LinkDelay> {
        &self.delay
    }

    /// Returns the bytes of starts that may be placed now, if they are limited.
    pub fn available(&self) -> Option<u64> {
        self.with_budget(|budget| budget.available())
    }

    /// Returns whether nothing more should be given to the link now.
    pub fn is_full(&self) -> bool {
        self.with_budget(|budget| budget.is_full()).unwrap_or(false)
    }

    /// Returns whether a start should go through another node, if one can send it.
    pub fn prefers_relay(&self, size: StartSize) -> bool {
        self.with_budget(|budget| budget.prefers_relay(size)).unwrap_or(false)
    }

    /// Reserves the bytes of an order.
    pub fn reserve(self: &Arc<Self>, bytes: u64) -> Reservation {
        self.with_budget(|budget| budget.reserve(bytes));
        Reservation { uplink: self.clone(), bytes }
    }
}

/// Bytes of a start that is ordered and not given to the link yet. They are released when this is dropped.
#[derive(Debug)]
pub struct Reservation {
    uplink: Arc<Uplink>,
    bytes: u64,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.uplink.with_budget(|budget| budget.release(self.bytes));
    }
}
