//! One node's view of which node owns which shard, by the records that nodes write to the store. A shard is what a node can
//! own: a pool, the fleet or the caps.
//!
//! A node becomes the owner of a shard by a conditional append. The offset of that record determines its token, so tokens
//! only increase. Ownership changes only if the owner released the shard, was restarted, or was unresponsive for longer than
//! its own lease lasts. The store alone decides who is the owner, not this module.

mod heartbeats;
mod leases;
mod means;
mod records;
mod renewal;
mod spread;
mod standbys;
mod unreached;
mod vacancy;

use heartbeats::HeartbeatReads;
pub use heartbeats::{HEARTBEAT_MS, HeartbeatPartition};
pub use leases::Leases;
pub use means::{Means, Standing};
pub use records::{Claim, Heartbeat, NodeIncarnation};
pub use renewal::LeaseRenewals;
pub use spread::{Handover, HandoverReason};
pub use standbys::STANDBYS;
use unreached::OwnReaches;
pub use unreached::{Reach, Unreached, VmAnswer};
use vacancy::EndedOwner;

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use thistle_model::rendezvous::weight;

use crate::Ms;
use crate::lease_bounds::LeaseRecord;
use crate::policy::OwnershipPolicy;

/// How long a node may act as owner after it sent a heartbeat that the store accepted, or a claim or renewal, in milliseconds.
/// A longer lease tolerates longer outages; a shorter one moves shards away from dead nodes sooner.
pub const OWNER_LEASE_MS: Ms = 2_200;
/// How long a node must be unresponsive before other nodes claim its shards, in milliseconds: its lease, the longest time
/// between two reads of the heartbeats, and a margin for clocks that differ by 2%.
pub const UNRESPONSIVE_MS: Ms = 2_700;
/// How long a member counts as alive after its last heartbeat, in milliseconds. Members without shards send few heartbeats.
const ALIVE_MS: Ms = 7_500;
/// The time between two reads of the heartbeats after which all timeouts are reset, in milliseconds: a little more than the
/// usual time between two reads.
const MAX_READ_GAP_MS: Ms = 1_200;
/// How long an owner's heartbeat must be overdue before this node reads the fallback partition of heartbeats, in
/// milliseconds: twice the time between two heartbeats.
const OVERDUE_MS: Ms = 900;

#[derive(Clone, Debug)]
struct Member {
    speed: u32,
    means: Means,
    relay: Option<SocketAddr>,
    incarnation: u64,
    sequence: u64,
    leaving: bool,
    reads_owner_heartbeats: bool,
    reads_shard_heartbeats: bool,
    last_contact: Ms,
    /// The time between the two latest heartbeats that were read.
    heartbeat_interval: Ms,
    /// When the first heartbeat of this incarnation was read.
    joined_at: Ms,
    /// The incarnation that this one replaced, if it is known to be an earlier one.
    replaced: Option<u64>,
}

/// The newest claim of a shard that this node has read.
#[derive(Clone, Debug)]
struct NewestClaim {
    claim: Claim,
    token: u64,
    /// When the claim or a later renewal of its owner's lease was read, or when all timeouts were last reset.
    seen_at: Ms,
    /// Whether the previous owner released the shard, instead of losing it to this claim.
    was_released: bool,
}

/// One node's view of owners and members.
#[derive(Debug)]
pub struct Ownership {
    me: NodeIncarnation,
    policy: OwnershipPolicy,
    started_at: Ms,
    /// When heartbeats were last read; with an owners' partition, when that one was.
    last_read_at: Option<Ms>,
    /// The complete reads of the two partitions of heartbeats.
    reads: HeartbeatReads,
    members: HashMap<String, Member>,
    claims: HashMap<Arc<str>, NewestClaim>,
    /// The pools whose progress may be in overflow partitions.
    overflow_partitions: HashSet<Arc<str>>,
    /// The time since which each vacant shard is known to have no owner.
    vacant_since: HashMap<Arc<str>, Ms>,
    /// The last owner of each shard on this node that ended by itself, without losing the shard.
    ended_owners: HashMap<Arc<str>, EndedOwner>,
    /// Whether the owners on this node reach the VMs of their pools.
    own_reaches: OwnReaches,
}

impl Ownership {
    /// Creates the view of a node that has just started.
    pub fn new(me: NodeIncarnation, now: Ms) -> Self {
        let (members, claims, vacant_since) = (HashMap::new(), HashMap::new(), HashMap::new());
        Self {
            me,
            policy: OwnershipPolicy::default(),
            started_at: now,
            last_read_at: None,
            reads: HeartbeatReads::default(),
            members,
            claims,
            overflow_partitions: HashSet::new(),
            vacant_since,
            ended_owners: HashMap::new(),
            own_reaches: HashMap::new(),
        }
    }

    /// Sets the parameters for the ownership of shards.
    pub fn with_policy(self, policy: OwnershipPolicy) -> Self {
        Self { policy, ..self }
    }

    /// Records a heartbeat that was read.
    pub fn record_heartbeat(&mut self, name: &str, heartbeat: &Heartbeat, now: Ms) {
        let Heartbeat {
            incarnation,
            sequence,
            leaving,
            relay,
            speed,
            means,
            reads_owner_heartbeats,
            reads_shard_heartbeats,
        } = *heartbeat;
        if self.is_earlier_incarnation(name, incarnation) {
            return;
        }
        let last_contact = now;
        let update = Member {
            speed,
            means,
            relay,
            incarnation,
            sequence,
            leaving,
            reads_owner_heartbeats,
            reads_shard_heartbeats,
            last_contact,
            heartbeat_interval: 0,
            joined_at: now,
            replaced: None,
        };
        match self.members.get_mut(name) {
            Some(m) if m.incarnation == incarnation && m.sequence >= sequence => {
                m.leaving |= leaving;
            }
            Some(m) if m.incarnation == incarnation => {
                let heartbeat_interval = now.saturating_sub(m.last_contact);
                let Member { joined_at, replaced, .. } = *m;
                *m = Member { heartbeat_interval, joined_at, replaced, ..update };
            }
            Some(m) => {
                // Of two incarnations that replace each other, neither is known to be the earlier one.
                let replaced = Some(m.incarnation).filter(|_| m.replaced != Some(incarnation));
                *m = Member { replaced, ..update };
            }
            None => {
                self.members.insert(name.to_owned(), update);
            }
        }
    }

    /// Records a heartbeat that was read from the fallback partition, or as the newest one of its node. It may be outdated, so
    /// it introduces another incarnation of a known member only if that has claimed something later than the known one.
    pub fn record_fallback_heartbeat(&mut self, name: &str, heartbeat: &Heartbeat, now: Ms) {
        let incarnation = heartbeat.incarnation;
        let known = self.members.get(name).filter(|m| m.incarnation != incarnation);
        let may_be_outdated = known.is_some_and(|m| {
            self.newest_token(name, incarnation) <= self.newest_token(name, m.incarnation)
        });
        if !may_be_outdated {
            self.record_heartbeat(name, heartbeat, now);
        }
    }

    /// Returns whether the heartbeat of some other node that owns a shard is overdue.
    pub fn has_overdue_owner(&self, now: Ms) -> bool {
        let is_overdue = |newest: &NewestClaim| {
            let owner = &newest.claim.owner;
            let other = *owner != self.me && !newest.claim.released;
            other && now.saturating_sub(self.last_contact(owner)) >= self.overdue_ms()
        };
        self.claims.values().any(is_overdue)
    }

    /// Records that heartbeats are being read now, before they are recorded themselves. After a gap between reads all
    /// timeouts are reset. Returns whether there was such a gap.
    pub fn record_read(&mut self, now: Ms) -> bool {
        let could_not_receive = self.cannot_receive(now);
        self.last_read_at = Some(now);
        if could_not_receive {
            self.reset_timeouts(now);
        }
        could_not_receive
    }

    /// Returns whether heartbeats were not read for a while, so that no node can be considered unresponsive.
    fn cannot_receive(&self, now: Ms) -> bool {
        self.last_read_at.is_none_or(|at| now.saturating_sub(at) > self.max_read_gap_ms())
    }

    /// Resets all timeouts, because some heartbeats could not be read.
    pub fn reset_timeouts(&mut self, now: Ms) {
        for member in self.members.values_mut() {
            member.last_contact = now;
        }
        for newest in self.claims.values_mut() {
            newest.seen_at = now;
        }
    }

    /// Records a claim that was read, with the offset of its record.
    pub fn record_claim(&mut self, shard: &Arc<str>, claim: Claim, offset: u64, now: Ms) {
        let token = token_of(offset);
        let known = self.claims.get(shard);
        if known.is_some_and(|o| o.token >= token) {
            return;
        }
        // A node that was wrongly considered dead may release a shard that it no longer owns.
        if claim.released && known.is_some_and(|o| o.claim.owner != claim.owner) {
            return;
        }
        let was_released = known.is_some_and(|o| o.claim.released);
        self.vacant_since.remove(shard);
        let newest = NewestClaim { claim, token, seen_at: now, was_released };
        self.claims.insert(shard.clone(), newest);
    }

    /// Records whether a pool's progress may be in overflow partitions.
    pub fn set_overflow_partitions(&mut self, pool: &Arc<str>, in_use: bool) {
        match in_use {
            true => self.overflow_partitions.insert(pool.clone()),
            false => self.overflow_partitions.remove(pool),
        };
    }

    /// Replaces the set of pools whose progress may be in overflow partitions.
    pub fn replace_overflow_partitions(&mut self, pools: HashSet<Arc<str>>) {
        self.overflow_partitions = pools;
    }

    /// Returns whether a pool's progress may be in overflow partitions.
    pub fn has_overflow_partitions(&self, pool: &str) -> bool {
        self.overflow_partitions.contains(pool)
    }

    /// Returns a shard's owner, its token, and whether it has released the shard.
    pub fn owner(&self, shard: &str) -> Option<(&NodeIncarnation, u64, bool)> {
        self.claims.get(shard).map(|o| (&o.claim.owner, o.token, o.claim.released))
    }

    /// Returns the relay address of a pool's owner, if the owner is another node and a heartbeat of its current incarnation
    /// was read.
    pub fn relay_of_owner(&self, pool: &str) -> Option<SocketAddr> {
        let claim = self.claims.get(pool).map(|o| &o.claim).filter(|claim| !claim.released)?;
        let member = self.members.get(&claim.owner.name)?;
        // A previous incarnation of this node no longer exists.
        let other = claim.owner.name != self.me.name;
        let is_running = member.incarnation == claim.owner.incarnation;
        member.relay.filter(|_| other && is_running)
    }

    /// Returns the token from which on all owners of a shard, and the node that claims it next, keep the record of lease bounds.
    pub fn lease_bounds_since(&self, shard: &str) -> u64 {
        let newest = self.claims.get(shard);
        newest.map_or(1, |o| o.claim.lease_bounds_since.unwrap_or(o.token + 1))
    }

    /// Returns the record of lease bounds in a shard's newest claim, and a time no earlier than that at which it was read.
    pub fn claimed_lease_bounds(&self, shard: &str) -> Option<(&LeaseRecord, Ms)> {
        let newest = self.claims.get(shard)?;
        newest.claim.lease_bounds.as_ref().map(|record| (record, newest.seen_at))
    }

    /// Returns whether the predecessor of a shard's current owner released the shard.
    pub fn was_released(&self, shard: &str) -> bool {
        self.claims.get(shard).is_some_and(|o| o.was_released)
    }

    /// Returns this node's token for a shard, if the newest claim read is its own and no owner has already used the token and
    /// ended.
    pub fn my_token(&self, shard: &str) -> Option<u64> {
        let newest = self.claims.get(shard)?;
        let mine = newest.claim.owner == self.me && !newest.claim.released;
        (mine && !self.is_spent(shard, newest.token)).then_some(newest.token)
    }

    /// Returns the shards that this node owns by the claims that it has read, with their tokens.
    pub fn own_shards(&self) -> Vec<(Arc<str>, u64)> {
        let own = self.claims.iter().filter(|(_, o)| o.claim.owner == self.me && !o.claim.released);
        own.map(|(shard, o)| (shard.clone(), o.token)).collect()
    }

    /// Returns whether this node owns any shard, by the claims that it has read.
    pub fn owns_any(&self) -> bool {
        self.claims.values().any(|o| o.claim.owner == self.me && !o.claim.released)
    }

    /// Returns the relay addresses of other live members, in the order in which this node tries them. An owner tries strong
    /// members first, because it writes more than the link of a weak node can carry. Members that own a shard come last, as
    /// their links carry the starts of their pools.
    pub fn relays(&self, now: Ms) -> Vec<SocketAddr> {
        let is_alive = |m: &Member| !m.leaving && now.saturating_sub(m.last_contact) < ALIVE_MS;
        let others = self.members.iter().filter(|(name, m)| **name != self.me.name && is_alive(m));
        let strongest = self.owns_any().then(|| self.strongest());
        let is_weak = |m: &Member| strongest.is_some_and(|strongest| strongest.is_weak(m));
        // The order differs from node to node, which spreads the load.
        let owners: HashSet<&str> = self
            .claims
            .values()
            .filter(|o| !o.claim.released)
            .map(|o| o.claim.owner.name.as_str())
            .collect();
        let hash_rank = |addr| weight(format!("{}/{addr}", self.me.name).as_bytes(), 0);
        let ranked = |(name, m): (&String, &Member)| {
            let owns = owners.contains(name.as_str());
            m.relay.map(|addr| (is_weak(m), owns, hash_rank(addr), addr))
        };
        let mut relays: Vec<(bool, bool, u64, SocketAddr)> = others.filter_map(ranked).collect();
        relays.sort_unstable();
        relays.into_iter().map(|(.., addr)| addr).collect()
    }
}

/// Returns the token of a claim at an offset. It is above 0, which means no token.
pub const fn token_of(offset: u64) -> u64 {
    offset + 1
}
