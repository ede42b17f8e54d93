//! Keeps the starts of a pool within what the links of its owner and its standbys can carry.

use thistle_schedule::pool::{StartBudget, StartOrder};

use super::Owner;
use super::link::FirstCopy;
use crate::clock::steady_ms;
use crate::locks::lock;

impl Owner {
    /// Updates which standbys can send starts for this owner.
    pub(super) fn update_start_relays(&self) {
        let now = steady_ms();
        let links = lock(&self.node.ownership).standby_links(&self.log.pool, now);
        // A thousandth of a Mbit is 125 bytes.
        let links: Vec<_> =
            links.iter().map(|&(addr, kbps)| (addr, u64::from(kbps) * 125)).collect();
        lock(&self.start_relays).set(&links, now);
    }

    /// Limits what the next step places to what the links can take.
    pub(super) fn update_start_budget(&mut self) {
        let budget = self.node.uplink.available().map(|bytes| {
            let relayed_bytes = lock(&self.start_relays).available(steady_ms());
            StartBudget { bytes, relayed_bytes }
        });
        self.pool.set_start_budget(budget);
    }

    /// Chooses how the first copy of a start is sent, and records its bytes.
    pub(super) fn first_copy(&self, start: &StartOrder) -> FirstCopy {
        let (uplink, size) = (&self.node.uplink, start.size());
        let mut relays = lock(&self.start_relays);
        let through = match uplink.prefers_relay(size) {
            true => relays.choose(&start.vm, size, steady_ms()),
            false => None,
        };
        drop(relays);
        let bytes = if through.is_some() { size.relayed } else { size.direct };
        let relays = self.start_relays.clone();
        uplink.give(bytes);
        FirstCopy { through, relays }
    }
}
