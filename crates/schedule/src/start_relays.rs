//! Which standby sends a start for the owner of a pool, and how many bytes of starts the standbys can take.
//!
//! Load pattern: an owner whose link is full has hundreds of starts a second for its standbys, whose links may be as narrow. If
//! they get more than they can send, they refuse the rest, and each refused start has cost two messages and some time.

use std::net::SocketAddr;

use thistle_model::rendezvous::weight;

use crate::Ms;
use crate::id::VmIncarnation;
use crate::link_budget::{LinkBudget, StartSize};

/// The share of a standby's bandwidth for the starts of one owner, in percent. It may own a pool itself.
const SHARE_PERCENT: u64 = 50;
/// How long a standby that refused a start gets no further one, in milliseconds.
const REFUSED_PAUSE_MS: Ms = 300;

#[derive(Clone, Copy, Debug)]
struct Relay {
    addr: SocketAddr,
    budget: LinkBudget,
    paused_until: Ms,
}

/// The standbys of a pool as senders of starts.
#[derive(Clone, Debug, Default)]
pub struct StartRelays(Vec<Relay>);

impl StartRelays {
    /// Sets the standbys with the bandwidths of their links, in bytes per second.
    pub fn set(&mut self, standbys: &[(SocketAddr, u64)], now: Ms) {
        let known = std::mem::take(&mut self.0);
        let relay = |&(addr, bandwidth): &(SocketAddr, u64)| {
            known.iter().find(|r| r.addr == addr).copied().unwrap_or_else(|| Relay {
                addr,
                budget: LinkBudget::new(bandwidth * SHARE_PERCENT / 100, 0, now),
                paused_until: 0,
            })
        };
        self.0 = standbys.iter().map(relay).collect();
    }

    /// Returns the bytes of starts that the standbys can take now.
    pub fn available(&mut self, now: Ms) -> u64 {
        self.usable(now).map(|r| r.budget.available()).sum()
    }

    /// Returns the standby that sends a start to a VM, if one can. The starts to a VM go through the same one as long as it has
    /// room, so that few connections are opened.
    pub fn choose(&mut self, vm: &VmIncarnation, size: StartSize, now: Ms) -> Option<SocketAddr> {
        let rank = |r: &&mut Relay| weight(format!("{}/{}", r.addr, vm.id()).as_bytes(), 0);
        let has_room = |r: &&mut Relay| !r.budget.is_full();
        let relay = self.usable(now).filter(has_room).max_by_key(rank)?;
        relay.budget.give(size.direct);
        Some(relay.addr)
    }

    /// Records that a standby has not sent a start.
    pub fn record_refused(&mut self, addr: SocketAddr, now: Ms) {
        if let Some(relay) = self.0.iter_mut().find(|r| r.addr == addr) {
            relay.paused_until = now + REFUSED_PAUSE_MS;
        }
    }

    fn usable(&mut self, now: Ms) -> impl Iterator<Item = &mut Relay> {
        let update = move |r: &mut Relay| {
            r.budget.update(0, now);
            now >= r.paused_until
        };
        self.0.iter_mut().filter_map(move |r| update(r).then_some(r))
    }
}
