//! Which shards a node claims, and when: shards that never had an owner, that were released, whose owner is unresponsive or
//! restarted, or whose owner on this node has ended by itself.

use std::sync::Arc;

use thistle_model::rendezvous::weight;

use super::unreached::AVOIDANCE_DELAY_MS;
use super::{
    ALIVE_MS, HEARTBEAT_MS, Member, NewestClaim, NodeIncarnation, Ownership, UNRESPONSIVE_MS,
};
use crate::Ms;

/// How long the second-best node waits for the best one to claim a shard, in milliseconds. Each further node waits this much
/// longer.
pub(super) const RANK_STEP_MS: Ms = 400;
/// The number of shards that a weak node is counted as owning in addition. An owner of 100 VMs or more uses an eighth of a core, which is all that some nodes have. With 350 VMs this lowers the median
/// time from submission to the first start from 788 ms to 55 ms.
pub(super) const WEAK_NODE_PENALTY: usize = 3;
/// How long a new node reads heartbeats before it claims shards that never had an owner, in milliseconds: two reads, as the
/// first may come before the nodes that start with it have sent their heartbeats. With hundreds of nodes the wait is longer.
const INITIAL_WAIT_MS: Ms = 1_000;
/// The number of first heartbeats that a partition accepts well within [`INITIAL_WAIT_MS`].
const HEARTBEATS_WITHIN_WAIT: usize = 100;
/// The time that a partition needs for each further heartbeat, which is that of one append, in milliseconds.
const APPEND_MS: Ms = 4;
/// The delay before a node reclaims a shard whose owner on this node has ended by itself, in milliseconds. It doubles with
/// each consecutive end.
const RECLAIM_DELAY_MS: Ms = 200;
/// How often [`RECLAIM_DELAY_MS`] doubles at most, up to 3.2 s. Other nodes claim the shard of an unresponsive node after 2.7 s.
const MAX_RECLAIM_DOUBLINGS: u32 = 4;
/// The time after which an owner counts as stable, so that its end is not consecutive to earlier ones, in milliseconds.
const STABLE_AFTER_MS: Ms = 10_000;

/// An owner on this node that ended by itself though no other node claimed its shard.
#[derive(Clone, Copy, Debug)]
pub(super) struct EndedOwner {
    token: u64,
    at: Ms,
    /// The number of consecutive ends before this one.
    earlier_ends: u32,
}

impl EndedOwner {
    fn reclaim_at(self) -> Ms {
        self.at + (RECLAIM_DELAY_MS << self.earlier_ends.min(MAX_RECLAIM_DOUBLINGS))
    }
}

#[derive(Clone, Copy, Debug)]
enum Vacancy {
    NeverOwned,
    Released,
    PreviousIncarnation,
    Ended(EndedOwner),
    Restarted,
    Unresponsive,
}

impl Ownership {
    /// Records that this node's owner of a shard has ended by itself. Its token must not be used again: the records and orders
    /// of the next owner would be indistinguishable from late ones of this owner.
    pub fn record_owner_end(&mut self, shard: &Arc<str>, token: u64, now: Ms) {
        let Some(newest) = self.claims.get(shard).filter(|o| o.token == token) else { return };
        let was_stable = now.saturating_sub(newest.seen_at) >= STABLE_AFTER_MS;
        let before = self.ended_owners.get(shard).filter(|_| !was_stable);
        let earlier_ends = before.map_or(0, |ended| ended.earlier_ends + 1);
        self.ended_owners.insert(shard.clone(), EndedOwner { token, at: now, earlier_ends });
    }

    /// Returns whether an owner of a shard on this node has ended by itself.
    pub fn has_ended(&self, shard: &str) -> bool {
        self.ended_owners.contains_key(shard)
    }

    pub(super) fn is_spent(&self, shard: &str, token: u64) -> bool {
        self.ended_owners.get(shard).is_some_and(|ended| ended.token == token)
    }

    /// Returns the shards among `shards` that this node claims now.
    pub fn to_claim<'a>(
        &mut self,
        shards: impl Iterator<Item = &'a Arc<str>>,
        now: Ms,
    ) -> Vec<Arc<str>> {
        let mut wanted: Vec<Arc<str>> = Vec::new();
        if self.cannot_receive(now) {
            return wanted;
        }
        for shard in shards {
            let Some(vacancy) = self.vacancy(shard, now) else {
                self.vacant_since.remove(shard);
                continue;
            };
            let since = *self.vacant_since.entry(shard.clone()).or_insert(now);
            let due = match vacancy {
                // The node that owned the shard before regains its VMs' connections and state the soonest.
                Vacancy::PreviousIncarnation => 0,
                Vacancy::Ended(ended) => ended.reclaim_at(),
                Vacancy::Restarted => {
                    since + 2 * RANK_STEP_MS + self.claim_delay(shard, now, &wanted)
                }
                Vacancy::Released => {
                    since
                        + self
                            .successor_delay(shard, now)
                            .unwrap_or_else(|| self.claim_delay(shard, now, &wanted))
                }
                Vacancy::Unresponsive => since + self.takeover_delay(shard, now, &wanted),
                Vacancy::NeverOwned => {
                    since.max(self.started_at + self.initial_wait_ms())
                        + self.claim_delay(shard, now, &wanted)
                }
            };
            let is_current = match vacancy {
                Vacancy::Unresponsive => self.has_recent_reads(now),
                _ => true,
            };
            if now >= due && is_current {
                wanted.push(shard.clone());
            }
        }
        wanted
    }

    fn vacancy(&self, shard: &str, now: Ms) -> Option<Vacancy> {
        let Some(NewestClaim { claim, token, seen_at, .. }) = self.claims.get(shard) else {
            return Some(Vacancy::NeverOwned);
        };
        if claim.owner == self.me {
            let ended = self.ended_owners.get(shard).filter(|ended| ended.token == *token);
            return match claim.released {
                true => Some(Vacancy::Released),
                false => ended.copied().map(Vacancy::Ended),
            };
        }
        if claim.released {
            return Some(Vacancy::Released);
        }
        if claim.owner.name == self.me.name {
            return Some(Vacancy::PreviousIncarnation);
        }
        let is_after =
            |m: &Member| m.incarnation != claim.owner.incarnation && m.last_contact > *seen_at;
        if self.members.get(&claim.owner.name).is_some_and(is_after) {
            return Some(Vacancy::Restarted);
        }
        let last_contact = self.last_contact(&claim.owner);
        let is_silent = now.saturating_sub(last_contact) >= UNRESPONSIVE_MS;
        let is_vacant = is_silent && self.has_read_past_lease(shard, &claim.owner, last_contact);
        is_vacant.then_some(Vacancy::Unresponsive)
    }

    /// Returns when an owner was last heard of, by a heartbeat of its node or a claim. A claim of one shard renews the lease of
    /// all shards of its node, also if it is released right away.
    pub(super) fn last_contact(&self, owner: &NodeIncarnation) -> Ms {
        let claims = self.claims.values().filter(|o| o.claim.owner == *owner).map(|o| o.seen_at);
        let heartbeat = self.members.get(&owner.name).map(|m| m.last_contact);
        claims.chain(heartbeat).max().unwrap_or(0)
    }

    /// Returns the initial wait of a new node, in milliseconds, by the number of members known so far.
    pub(super) fn initial_wait_ms(&self) -> Ms {
        let more = self.members.len().saturating_sub(HEARTBEATS_WITHIN_WAIT);
        INITIAL_WAIT_MS
            + APPEND_MS * Ms::try_from(more).unwrap_or(Ms::MAX / APPEND_MS - INITIAL_WAIT_MS)
    }

    /// Returns how long this node leaves a vacant shard to nodes that own fewer shards.
    pub(super) fn claim_delay(&self, shard: &str, now: Ms, wanted: &[Arc<str>]) -> Ms {
        self.rank_delay(shard, wanted, now, |_, m| now.saturating_sub(m.last_contact) < ALIVE_MS)
    }

    /// Returns how long this node leaves the shard of an unresponsive owner to other nodes. Nodes that are silent as well, for
    /// longer than their heartbeats allow, are not waited for: strong ones often fail together, and each would delay the weak ones.
    pub(super) fn takeover_delay(&self, shard: &str, now: Ms, wanted: &[Arc<str>]) -> Ms {
        let as_owner = |name: &str, m: &Member| {
            let mut owners =
                self.claims.values().filter(|o| !o.claim.released).map(|o| &o.claim.owner);
            owners.find(|owner| owner.name == name && owner.incarnation == m.incarnation)
        };
        self.rank_delay(shard, wanted, now, |name, m| {
            // Nodes that own nothing send heartbeats less often, and their heartbeats queue while the store is slow.
            let (heard_at, max_silence) = match as_owner(name, m) {
                Some(owner) => (self.last_contact(owner), UNRESPONSIVE_MS),
                None => (m.last_contact, m.heartbeat_interval.max(UNRESPONSIVE_MS) + HEARTBEAT_MS),
            };
            now.saturating_sub(heard_at) < max_silence.min(ALIVE_MS)
        })
    }

    /// Returns the delay by the number of members that are alive and own fewer shards than this node. Nodes that recently did not
    /// reach the shard's VMs come last.
    fn rank_delay(
        &self,
        shard: &str,
        wanted: &[Arc<str>],
        now: Ms,
        is_alive: impl Fn(&str, &Member) -> bool,
    ) -> Ms {
        let owned = |name: &str| {
            self.claims.values().filter(|o| !o.claim.released && o.claim.owner.name == name).count()
        };
        let weight = |name: &str| weight(format!("{shard}/{name}").as_bytes(), 0);
        let strongest = self.strongest();
        let penalty = |name: &str| {
            let is_weak = self.members.get(name).is_some_and(|m| strongest.is_weak(m));
            usize::from(is_weak) * WEAK_NODE_PENALTY
        };
        let me = &self.me.name;
        let mine = (owned(me) + wanted.len() + penalty(me), weight(me));
        let before = self
            .members
            .iter()
            .filter(|(name, m)| **name != self.me.name && !m.leaving && is_alive(name, m))
            .filter(|(name, _)| (owned(name) + penalty(name), weight(name)) < mine)
            .filter(|(name, _)| !self.is_avoided(shard, name, now))
            .count();
        let avoidance = if self.is_avoided(shard, me, now) { AVOIDANCE_DELAY_MS } else { 0 };
        RANK_STEP_MS * u64::try_from(before).unwrap_or(u64::MAX) + avoidance
    }
}
