//! The budget of this node's link, if its settings state the bandwidth.

use std::sync::{Arc, Mutex};

use thistle_platform::http::traffic::{Message, bytes_besides_starts, bytes_of};
use thistle_platform::worker::LinkDelay;
use thistle_schedule::{LinkBudget, Ms, StartSize};

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
        let new = |bandwidth| LinkBudget::new(bandwidth, bytes_besides_starts().sent, steady_ms());
        Self { budget: bytes_per_s.map(new).map(Mutex::new), delay: Arc::default() }
    }

    fn with_budget<T>(&self, f: impl FnOnce(&mut LinkBudget) -> T) -> Option<T> {
        let mut budget = lock(self.budget.as_ref()?);
        budget.record_forwarded(bytes_of(Message::Forwarded).sent);
        budget.update(bytes_besides_starts().sent, steady_ms());
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

    /// Returns whether a call of another node to the store may be forwarded now.
    pub fn may_forward(&self) -> bool {
        self.with_budget(|budget| budget.may_forward()).unwrap_or(true)
    }

    /// Returns whether a start should go through another node, if one can send it.
    pub fn prefers_relay(&self, size: StartSize) -> bool {
        self.with_budget(|budget| budget.prefers_relay(size)).unwrap_or(false)
    }

    /// Records a start that another node is asked to send.
    pub fn give_relayed(&self, size: StartSize) {
        self.with_budget(|budget| budget.give_relayed(size));
    }

    /// Takes back the demand of a start that another node was asked to send this long ago, and has not sent.
    pub fn take_back_relayed(&self, size: StartSize, elapsed: Ms) {
        self.with_budget(|budget| budget.take_back_relayed(size, elapsed));
    }

    /// Records a start that is given to the link.
    pub fn give(&self, bytes: u64) {
        self.with_budget(|budget| budget.give(bytes));
    }
}
