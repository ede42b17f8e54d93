//! Keeps the starts of a pool within what the links of its owner and its standbys can carry.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use thistle_schedule::pool::{StartBudget, StartOrder};
use thistle_schedule::{Ms, StartBacklog, StartRelays, VmIncarnation};

use super::Owner;
use crate::clock::steady_ms;
use crate::locks::lock;
use crate::relayed_start::Relayed;
use crate::uplink::Uplink;

/// How the first copy of a start is sent.
#[derive(Debug)]
pub struct FirstCopy {
    /// The node that sends it, if it is not this one.
    pub through: Option<SocketAddr>,
    /// The nodes that can send starts.
    relays: Arc<Mutex<StartRelays>>,
    /// When its bytes were recorded.
    given_at: Ms,
    unsent: UnsentStart,
}

/// A start in the backlog of its owner, until it is sent or dropped.
#[derive(Debug)]
struct UnsentStart {
    backlog: Arc<Mutex<StartBacklog>>,
    vm: VmIncarnation,
    is_sent: bool,
}

impl UnsentStart {
    fn new(backlog: &Arc<Mutex<StartBacklog>>, vm: &VmIncarnation) -> Self {
        lock(backlog).record_ordered(vm);
        Self { backlog: backlog.clone(), vm: vm.clone(), is_sent: false }
    }
}

impl Drop for UnsentStart {
    fn drop(&mut self) {
        if !self.is_sent {
            lock(&self.backlog).record_dropped(&self.vm);
        }
    }
}

impl FirstCopy {
    /// Records that the start is being sent.
    pub fn record_sent(&mut self) {
        let UnsentStart { backlog, vm, is_sent } = &mut self.unsent;
        if !std::mem::replace(is_sent, true) {
            lock(backlog).record_sent(vm, steady_ms());
        }
    }

    /// Records that a standby has not sent the start: its bytes are counted again when it is sent or placed again.
    pub fn record_unsent(
        &self,
        standby: SocketAddr,
        order: &StartOrder,
        unsent: &Relayed,
        uplink: &Uplink,
    ) {
        let (now, size) = (steady_ms(), order.size());
        uplink.take_back_relayed(size, now.saturating_sub(self.given_at));
        let mut relays = lock(&self.relays);
        relays.take_back(standby, size, self.given_at, now);
        if let Relayed::Refused(refusal) = *unsent {
            relays.record_refused(standby, order.run.task.job, refusal, now);
        }
    }
}

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
        let (now, mut relays) = (steady_ms(), lock(&self.start_relays));
        let budget = self.node.uplink.available().map(|bytes| {
            let relayed_bytes = relays.available(now);
            StartBudget { bytes, relayed_bytes }
        });
        self.pool.set_start_budget(budget);
        self.pool.set_start_limit(lock(&self.start_backlog).available(now));
        self.pool.set_jobs_without_relay(relays.jobs_without_relay(now));
    }

    /// Chooses how the first copy of a start is sent, and records its bytes.
    pub(super) fn first_copy(&self, start: &StartOrder) -> FirstCopy {
        let (uplink, size, given_at) = (&self.node.uplink, start.size(), steady_ms());
        let mut relays = lock(&self.start_relays);
        let through = match uplink.prefers_relay(size) {
            true => relays.choose(&start.vm, start.run.task.job, size, given_at),
            false => None,
        };
        drop(relays);
        match through {
            Some(_) => uplink.give_relayed(size),
            None => uplink.give(size.direct),
        }
        let relays = self.start_relays.clone();
        let unsent = UnsentStart::new(&self.start_backlog, &start.vm);
        FirstCopy { through, relays, given_at, unsent }
    }
}
