//! Which nodes read a pool's records besides its owner, and whom all others ask.
//!
//! Load pattern: all nodes of a large site lose power and come back within 100 ms, beside thousands of kept jobs. If each reads
//! every pool, what they ask for grows with nodes times jobs: 97 nodes asked for 1.25 GB of a store that reads 80 MB a
//! second, gave pages up before they came, and asked again for as long as the day lasted. With a fixed number of readers
//! it grows with the jobs alone.

use std::net::SocketAddr;

use thistle_model::rendezvous::weight;

use super::{ALIVE_MS, Member, Ownership};
use crate::Ms;

/// Nodes that read a pool's records beside its owner: as many as the smallest sites have, where the loss of any
/// number of nodes is borne by those that are left. Eight times five pools of 3 MB are 1.5 s of the store's 80 MB a second.
pub const READERS: usize = 8;
/// How long a node leaves the store to owners before it reads on for others, in milliseconds: an owner that comes back
/// reads its pool of 3 MB over 20 Mbit/s in 1.2 s.
const READ_AFTER_MS: Ms = 2_000;
/// Readers that are asked after the owner: a third tells nothing new if two that were heard lately are silent.
const ASKED_READERS: usize = 2;

impl Ownership {
    /// Returns whether this node is to read a pool's records though it does not own it; none while it does
    /// not hear the other nodes.
    pub fn reads(&self, pool: &str, now: Ms) -> Option<bool> {
        if now < self.started_at + READ_AFTER_MS {
            return Some(false);
        }
        if self.is_deaf(now) {
            return None;
        }
        let me = &self.me.name;
        let slow_below = self.slow_below();
        let my_speed = self.members.get(me).map_or(0, |m| m.speed);
        let mine = reading_rank(pool, me, my_speed < slow_below);
        let others = self.staying(now).filter(|(name, _)| name != me);
        let ranks = others.map(|(name, m)| reading_rank(pool, name, m.speed < slow_below));
        Some(ranks.filter(|rank| *rank < mine).count() < READERS)
    }

    /// Returns where to ask for what is known of a pool's jobs if its owner does not answer.
    pub fn readers_to_ask(&self, pool: &str, now: Ms) -> Vec<SocketAddr> {
        let owner = self.relay_of_owner(pool);
        let slow_below = self.slow_below();
        let mut others: Vec<_> = self
            .staying(now)
            .filter(|(name, m)| *name != self.me.name && m.relay != owner)
            .filter_map(|(name, m)| {
                Some((reading_rank(pool, name, m.speed < slow_below), m.relay?))
            })
            .collect();
        others.sort_unstable();
        others.into_iter().map(|(_, relay)| relay).take(ASKED_READERS).collect()
    }

    /// Members that were heard lately and are not about to stop.
    fn staying(&self, now: Ms) -> impl Iterator<Item = (&str, &Member)> {
        let stays = move |m: &Member| !m.leaving && now.saturating_sub(m.heard_at) < ALIVE_MS;
        self.members.iter().filter(move |(_, m)| stays(m)).map(|(name, m)| (name.as_str(), m))
    }
}

/// The order in which nodes are to read a pool: the same on all nodes, and the one in which they come to own it.
fn reading_rank(pool: &str, name: &str, slow: bool) -> (bool, u64) {
    (slow, weight(format!("{pool}/{name}").as_bytes(), 0))
}
