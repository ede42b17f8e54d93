//! The leases by which a node acts as the owner of its shards.
//!
//! Load pattern: the store becomes 5 to 60 times as slow at the onset of a burst and appends one record at a time to each
//! partition. In the partitions to which all nodes send heartbeats, an owner's heartbeat is answered after its lease has ended, while
//! the store answers other appends of the same owner in time. Each shard therefore has a partition to which only its owner
//! sends heartbeats, and only while those to the common partitions are late.
//!
//! A claim or a guarded renewal renews the leases of all shards of a node. A heartbeat renews those that have not ended before it
//! was answered, as another node may have decided to claim the others by then.

use std::collections::HashMap;
use std::sync::Arc;

use super::{HEARTBEAT_MS, OWNER_LEASE_MS};
use crate::Ms;

/// The rest of a lease from which heartbeats also go to the shard's own partition, in milliseconds: the last two to the common
/// partitions are unanswered, and the rest suffices for an append and one retry with a store 60 times as slow.
const OWN_PARTITION_BELOW_MS: Ms = OWNER_LEASE_MS - 2 * HEARTBEAT_MS;

/// The leases of one node.
#[derive(Clone, Debug, Default)]
pub struct Leases {
    /// Until when this node may act for all its shards.
    all_until: Ms,
    /// Until when it may act for single shards, by heartbeats after that time.
    until: HashMap<Arc<str>, Ms>,
    has_given_up: bool,
}

impl Leases {
    /// Returns until when this node may act as owner of a shard, by its steady clock.
    pub fn until(&self, shard: &str) -> Ms {
        match self.has_given_up {
            true => 0,
            false => self.until.get(shard).copied().unwrap_or(0).max(self.all_until),
        }
    }

    /// Returns whether this node may act as owner of a shard.
    pub fn is_valid(&self, shard: &str, now: Ms) -> bool {
        now < self.until(shard)
    }

    /// Returns whether the leases have ended for good.
    pub const fn has_given_up(&self) -> bool {
        self.has_given_up
    }

    /// Ends all leases for good.
    pub fn give_up(&mut self) {
        self.has_given_up = true;
    }

    /// Renews all leases after the store has written a claim or a renewal that was sent at `sent_at` and was guarded by the end of
    /// the claims that this node had applied.
    pub fn renew_all(&mut self, sent_at: Ms) {
        self.all_until = self.all_until.max(sent_at + OWNER_LEASE_MS);
        let all_until = self.all_until;
        self.until.retain(|_, until| *until > all_until);
    }

    /// Renews the leases of `shards` that are still valid, after the store has written a heartbeat that was sent at `sent_at` to a
    /// common partition. Returns whether all of them were.
    pub fn renew_valid(&mut self, shards: &[Arc<str>], sent_at: Ms, now: Ms) -> bool {
        if self.has_given_up {
            return true;
        }
        if now < self.all_until {
            self.renew_all(sent_at);
            return true;
        }
        let mut all = true;
        for shard in shards {
            all &= self.renew(shard, sent_at, now);
        }
        all
    }

    /// The same for one shard and a heartbeat in its own partition.
    pub fn renew(&mut self, shard: &Arc<str>, sent_at: Ms, now: Ms) -> bool {
        let is_valid = self.is_valid(shard, now);
        if is_valid {
            let until = self.until.entry(shard.clone()).or_default();
            *until = (*until).max(sent_at + OWNER_LEASE_MS);
        }
        is_valid || self.has_given_up
    }

    /// Returns whether a heartbeat to the shard's own partition is needed.
    pub fn needs_own_partition(&self, shard: &str, now: Ms) -> bool {
        !self.has_given_up && self.until(shard).saturating_sub(now) < OWN_PARTITION_BELOW_MS
    }
}
