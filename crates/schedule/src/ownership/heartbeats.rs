//! The partitions of heartbeats: the common one, that of the owners, and the fallback for heartbeats that these do not accept.
//!
//! Load pattern: the store becomes 34 to 60 times as slow and appends one record at a time to each partition. Dozens of nodes
//! that own nothing send more heartbeats than one partition then appends. An owner's heartbeat behind them in the queue would
//! be answered after its lease has expired.

use std::collections::HashMap;
use std::sync::Arc;

use super::{
    Heartbeat, MAX_READ_GAP_MS, Member, NodeIncarnation, OVERDUE_MS, OWNER_LEASE_MS, Ownership,
};
use crate::Ms;

/// A partition of heartbeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatPartition {
    /// The heartbeats of all nodes. Those of owners are rare there, except for nodes that read no other partition.
    Common,
    /// The heartbeats of owners.
    Owners,
    /// The heartbeats that the other two did not accept. It is read while an owner's heartbeat is overdue.
    Fallback,
}

/// When the latest read of each partition that reached its end was sent.
#[derive(Clone, Debug, Default)]
pub(super) struct HeartbeatReads {
    common: Option<Ms>,
    owners: Option<Ms>,
    fallback: Option<Ms>,
    /// The same for the own partitions of shards.
    shards: HashMap<Arc<str>, Ms>,
    /// When the common partition was last read, to its end or not.
    common_heard_at: Option<Ms>,
}

/// The pause of an owner between the answer to a heartbeat and the next heartbeat, and of each node between two reads of
/// heartbeats, in milliseconds: four of them fit in an owner's lease. Longer pauses, constant or growing with the time that
/// answers take, let leases expire sooner while the store is slow, as the next answer comes later too.
pub const HEARTBEAT_MS: Ms = 450;
/// Of this many reads of heartbeats, one reads the common partition. Nodes that own nothing send a heartbeat every 2.5 s.
const COMMON_READ_EVERY: u64 = 5;
/// The same on a node that owns something. It must notice an older node, which does not read the owners' partition, and send
/// it a heartbeat within [`super::UNRESPONSIVE_MS`].
const COMMON_READ_EVERY_AS_OWNER: u64 = 2;
/// How long an owner's heartbeat must be overdue before all partitions are read at once, in milliseconds: two reads of the
/// owners' partition with one of the common partition between them, one heartbeat, and a margin.
const OVERDUE_WITH_TWO_PARTITIONS_MS: Ms = 1_500;
/// The time between two reads of the owners' partition after which all timeouts are reset, in milliseconds: with two turns
/// between them in calm, as much more as [`MAX_READ_GAP_MS`] leaves after one turn.
const MAX_OWNERS_READ_GAP_MS: Ms = MAX_READ_GAP_MS + HEARTBEAT_MS;
/// The time between two reads of the common partition after which all timeouts are reset, in milliseconds: twice the usual time
/// on a node that owns nothing.
const MAX_COMMON_READ_GAP_MS: Ms = 4_500;
/// How long after the initial wait a new node reads both partitions at once, in milliseconds.
const BOTH_AFTER_INITIAL_WAIT_MS: Ms = 1_000;
/// The margin after an owner's lease for clocks that differ by 2%, in milliseconds.
const CLOCK_MARGIN_MS: Ms = OWNER_LEASE_MS / 50;

impl Ownership {
    /// Returns the partitions of heartbeats to read now. `count` is the number of earlier reads and `is_slow` whether the store
    /// answers slowly. Only nodes with an owners' partition ask. In calm each read covers one partition, so that the second partition adds no calls to the store.
    pub fn partitions_to_read(
        &self,
        count: u64,
        is_slow: bool,
        now: Ms,
    ) -> &'static [HeartbeatPartition] {
        use HeartbeatPartition::{Common, Owners};
        let starting = now < self.started_at + self.initial_wait_ms() + BOTH_AFTER_INITIAL_WAIT_MS;
        let both = starting || is_slow || self.has_overdue_owner(now);
        if both || self.live_members(now).any(|(name, m)| self.reads_common_only(name, m)) {
            return &[Owners, Common];
        }
        let every = match self.owns_any() {
            true => COMMON_READ_EVERY_AS_OWNER,
            false => COMMON_READ_EVERY,
        };
        if count % every == every - 1 { &[Common] } else { &[Owners] }
    }

    /// Records that a partition was read, before its heartbeats are recorded. `read_at` is when the latest read that reached its
    /// end was sent. After a gap between reads all timeouts are reset. Returns whether there was such a gap.
    pub fn record_partition_read(
        &mut self,
        partition: HeartbeatPartition,
        read_at: Option<Ms>,
        now: Ms,
    ) -> bool {
        match partition {
            HeartbeatPartition::Fallback => {
                self.reads.fallback = read_at.max(self.reads.fallback);
                false
            }
            _ if !self.policy.owner_heartbeats => {
                self.reads.common = read_at.max(self.reads.common);
                self.record_read(now)
            }
            HeartbeatPartition::Owners => {
                self.reads.owners = read_at.max(self.reads.owners);
                self.record_read(now)
            }
            HeartbeatPartition::Common => {
                self.reads.common = read_at.max(self.reads.common);
                let before = self.reads.common_heard_at.replace(now);
                let gap = before.is_some_and(|at| now.saturating_sub(at) > MAX_COMMON_READ_GAP_MS);
                if gap {
                    self.reset_timeouts(now);
                }
                gap
            }
        }
    }

    /// Records a heartbeat that was read from the owners' partition. A node that restarted sends its first heartbeats to the
    /// common partition, and its last ones from before the restart may be read here later. So another incarnation of a known
    /// member counts only if it owns something.
    pub fn record_owner_heartbeat(&mut self, name: &str, heartbeat: &super::Heartbeat, now: Ms) {
        let owns = |newest: &super::NewestClaim| {
            let owner = &newest.claim.owner;
            owner.name == name && owner.incarnation == heartbeat.incarnation
        };
        if self.claims.values().any(owns) {
            self.record_heartbeat(name, heartbeat, now);
        } else {
            self.record_fallback_heartbeat(name, heartbeat, now);
        }
    }

    /// Returns whether an incarnation of a member is earlier than the known one, as far as claims show it: its newest claim is
    /// older, or it owns nothing and was replaced by the known one, which does. With several partitions, heartbeats of an
    /// earlier incarnation may be read after those of the next one.
    pub(super) fn is_earlier_incarnation(&self, name: &str, incarnation: u64) -> bool {
        let Some(known) = self.members.get(name).filter(|m| m.incarnation != incarnation) else {
            return false;
        };
        self.policy.owner_heartbeats
            && match (
                self.newest_token(name, known.incarnation),
                self.newest_token(name, incarnation),
            ) {
                (None, _) => false,
                (Some(_), None) => known.replaced == Some(incarnation),
                (Some(known), Some(other)) => other < known,
            }
    }

    /// Returns the token of the newest claim of an incarnation, among the newest claims of all shards.
    pub(super) fn newest_token(&self, name: &str, incarnation: u64) -> Option<u64> {
        let of = |owner: &NodeIncarnation| owner.name == name && owner.incarnation == incarnation;
        self.claims.values().filter(|o| of(&o.claim.owner)).map(|o| o.token).max()
    }

    /// Returns whether owners must send all their heartbeats to the common or the fallback partition too, and renew their leases
    /// only by those, because a member reads no other partition and would take them for unresponsive. A silent member counts:
    /// it may still claim shards while its own heartbeats are not accepted. It counts until it leaves or its next incarnation
    /// reads the owners' partition.
    pub fn must_send_to_common_partition(&self) -> bool {
        let may_claim =
            |(name, m): (&String, &Member)| !m.leaving && self.reads_common_only(name, m);
        !self.policy.owner_heartbeats || self.members.iter().any(may_claim)
    }

    fn reads_common_only(&self, name: &str, member: &Member) -> bool {
        name != self.me.name && !member.reads_owner_heartbeats
    }

    /// Returns whether owners may renew their leases by heartbeats in the own partitions of their shards. A member of an older build
    /// that reads none of them would take them for unresponsive. It counts until it leaves or its next incarnation reads them.
    pub fn all_read_shard_heartbeats(&self) -> bool {
        let reads = |(name, m): (&String, &Member)| {
            m.leaving || m.reads_shard_heartbeats || *name == self.me.name
        };
        self.members.iter().all(reads)
    }

    /// Returns the shards whose own partitions this node reads now: those of silent owners, and each node the sooner the sooner it
    /// would claim the shard. With a slow store all owners seem silent, and with hundreds of nodes few may read.
    pub fn shards_to_read(&self, now: Ms) -> Vec<Arc<str>> {
        let is_due = |(shard, newest): &(&Arc<str>, &super::NewestClaim)| {
            let owner = &newest.claim.owner;
            let silent = now.saturating_sub(self.last_contact(owner));
            owner.name != self.me.name
                && !newest.claim.released
                && silent >= self.overdue_ms()
                && self.may_use_own_partition(owner)
                && silent >= self.overdue_ms() + self.takeover_delay(shard, now, &[])
        };
        self.claims.iter().filter(is_due).map(|(shard, _)| shard.clone()).collect()
    }

    /// Records heartbeats in a shard's own partition, by a read that was sent at `sent_at` and reached the end: all since the
    /// previous read, or, after a reload, the newest one of each node. A late append of an earlier heartbeat may have replaced a
    /// later one there, so after a reload each heartbeat of the shard's owner counts as contact.
    pub fn record_shard_heartbeats<'a>(
        &mut self,
        shard: &Arc<str>,
        heartbeats: impl Iterator<Item = (&'a str, Heartbeat)>,
        is_reload: bool,
        sent_at: Ms,
        now: Ms,
    ) {
        for (name, heartbeat) in heartbeats {
            if let Some(newest) = self.claims.get_mut(shard).filter(|_| is_reload)
                && newest.claim.owner.name == name
            {
                newest.seen_at = now;
            }
            self.record_fallback_heartbeat(name, &heartbeat, now);
        }
        let read_at = self.reads.shards.entry(shard.clone()).or_default();
        *read_at = sent_at.max(*read_at);
    }

    /// Returns whether an owner may have renewed its lease in the own partition of a shard. Owners of older builds don't, as far as
    /// their heartbeats were read.
    fn may_use_own_partition(&self, owner: &NodeIncarnation) -> bool {
        let member = self.members.get(&owner.name);
        let member = member.filter(|m| m.incarnation == owner.incarnation);
        member.is_none_or(|m| m.reads_shard_heartbeats)
    }

    /// Returns whether all partitions were read to their ends after the lease of a shard's owner that was last heard at
    /// `last_contact` had ended, unless it had been renewed. A later heartbeat can therefore not be unread in one of them.
    pub(super) fn has_read_past_lease(
        &self,
        shard: &str,
        owner: &NodeIncarnation,
        last_contact: Ms,
    ) -> bool {
        let lease_end = last_contact + OWNER_LEASE_MS + CLOCK_MARGIN_MS;
        let HeartbeatReads { common, owners, fallback, ref shards, .. } = self.reads;
        let is_past = |read_at: Option<Ms>| read_at.is_some_and(|at| at >= lease_end);
        if self.may_use_own_partition(owner)
            && ![common, fallback, shards.get(shard).copied()].into_iter().all(is_past)
        {
            return false;
        }
        !self.policy.owner_heartbeats || [common, owners, fallback].into_iter().all(is_past)
    }

    /// Returns whether recent reads of all partitions reached their ends. While a shard is left to nodes that claim it first, its
    /// owner may renew its lease.
    pub(super) fn has_recent_reads(&self, now: Ms) -> bool {
        let HeartbeatReads { common, owners, fallback, .. } = self.reads;
        let is_recent = |read_at: Option<Ms>| {
            read_at.is_some_and(|at| now.saturating_sub(at) <= MAX_READ_GAP_MS)
        };
        !self.policy.owner_heartbeats || [common, owners, fallback].into_iter().all(is_recent)
    }

    /// Returns the time between two reads of heartbeats after which all timeouts are reset, in milliseconds.
    pub(super) const fn max_read_gap_ms(&self) -> Ms {
        if self.policy.owner_heartbeats { MAX_OWNERS_READ_GAP_MS } else { MAX_READ_GAP_MS }
    }

    /// Returns how long an owner must be silent before its heartbeat counts as overdue, in milliseconds.
    pub(super) const fn overdue_ms(&self) -> Ms {
        if self.policy.owner_heartbeats { OVERDUE_WITH_TWO_PARTITIONS_MS } else { OVERDUE_MS }
    }
}
