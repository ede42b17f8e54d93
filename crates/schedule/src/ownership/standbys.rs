//! The standbys of a pool: the nodes that follow its records besides its owner, and that all other nodes query.
//!
//! Load pattern: all nodes of a large site lose power and restart within 100 ms, with thousands of stored jobs. If each node
//! reads every pool, the load on the store grows with nodes times jobs: 97 nodes request 1.25 GB from a store that reads
//! 80 MB a second, time out before the pages arrive, and retry without end. With a fixed number of standbys the load grows
//! with the number of jobs alone.

use std::net::SocketAddr;

use thistle_model::rendezvous::weight;

use super::{ALIVE_MS, Member, Ownership};
use crate::Ms;

/// The number of nodes that read a pool's records besides its owner. The smallest sites have as many nodes: every node there
/// is a standby, so that the remaining nodes can bear the loss of any number of others. Eight standbys of five pools of 3 MB
/// take 1.5 s of the store's 80 MB a second.
pub const STANDBYS: usize = 8;
/// How long a node waits after its start before it reads pools that it does not own, in milliseconds. This leaves the store
/// to owners: a restarted owner reads its pool of 3 MB over 20 Mbit/s in 1.2 s.
const READ_DELAY_MS: Ms = 2_000;
/// The number of standbys to query after the owner. If two live standbys do not answer, a third is unlikely to help.
const QUERIED_STANDBYS: usize = 2;

impl Ownership {
    /// Returns whether this node is a standby of a pool that it does not own, or `None` while it cannot receive heartbeats.
    pub fn is_standby(&self, pool: &str, now: Ms) -> Option<bool> {
        if now < self.started_at + READ_DELAY_MS {
            return Some(false);
        }
        if self.cannot_receive(now) {
            return None;
        }
        let me = &self.me.name;
        let strongest = self.strongest();
        let am_weak = self.members.get(me).is_some_and(|m| strongest.is_weak(m));
        let mine = standby_rank(pool, me, am_weak);
        let others = self.live_members(now).filter(|(name, _)| name != me);
        let ranks = others.map(|(name, m)| standby_rank(pool, name, strongest.is_weak(m)));
        Some(ranks.filter(|rank| *rank < mine).count() < STANDBYS)
    }

    /// Returns the addresses of the other nodes that follow a pool's records, each with the stated bandwidth of its link in
    /// kbit/s. Nodes that state none are left out.
    pub fn standby_links(&self, pool: &str, now: Ms) -> Vec<(SocketAddr, u32)> {
        let strongest = self.strongest();
        let members = self.live_members(now);
        let ranks = members.map(|(name, m)| standby_rank(pool, name, strongest.is_weak(m)));
        let mut ranks: Vec<_> = ranks.collect();
        ranks.sort_unstable();
        // Each node counts all others when it decides whether to follow the pool, the owner too.
        let last = ranks.get(STANDBYS);
        let others = self.ranked(pool, now).into_iter();
        let followers = others.filter(|(rank, ..)| last.is_none_or(|last| rank < last));
        let links = followers.map(|(_, addr, m)| (addr, m.means.link_kbps));
        links.filter(|(_, kbps)| *kbps > 0).collect()
    }

    /// Returns the addresses of the standbys to query about a pool's jobs if its owner does not answer.
    pub fn standbys_to_query(&self, pool: &str, now: Ms) -> Vec<SocketAddr> {
        let queried = self.ranked(pool, now).into_iter().take(QUERIED_STANDBYS);
        queried.map(|(_, addr, _)| addr).collect()
    }

    /// Returns all live members but this node and the pool's owner, with their addresses, by their ranks as standbys.
    fn ranked(&self, pool: &str, now: Ms) -> Vec<((bool, u64), SocketAddr, &Member)> {
        let owner = self.relay_of_owner(pool);
        let strongest = self.strongest();
        let rank = |(name, m): (&str, &'_ Member)| standby_rank(pool, name, strongest.is_weak(m));
        let mut others: Vec<_> = self
            .live_members(now)
            .filter(|(name, m)| *name != self.me.name && m.relay != owner)
            .filter_map(|(name, m)| Some((rank((name, m)), m.relay?, m)))
            .collect();
        others.sort_unstable_by_key(|&(rank, addr, _)| (rank, addr));
        others
    }

    /// Returns the members that are alive and not about to stop.
    pub(super) fn live_members(&self, now: Ms) -> impl Iterator<Item = (&str, &Member)> {
        let is_alive =
            move |m: &Member| !m.leaving && now.saturating_sub(m.last_contact) < ALIVE_MS;
        self.members.iter().filter(move |(_, m)| is_alive(m)).map(|(name, m)| (name.as_str(), m))
    }
}

/// Returns a node's rank among the standbys of a pool. It is the same on all nodes and matches the order in which nodes claim
/// the pool.
pub(super) fn standby_rank(pool: &str, name: &str, weak: bool) -> (bool, u64) {
    (weak, weight(format!("{pool}/{name}").as_bytes(), 0))
}
