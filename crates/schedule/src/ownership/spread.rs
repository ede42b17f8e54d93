//! Spreading shards over nodes: a weak node hands its shards over to strong ones, a node that owns several hands one over to a
//! node that owns none, and a node that stops names the next owners of its shards.
//!
//! Load pattern: all nodes are restarted in turn. Each releases its shards to the nodes that own the fewest, and the one that
//! is restarted last, or first, ends up with all pools and the fleet. It then does the work of six owners on an eighth of a core
//! until it is restarted itself. Or all strong nodes of a site are gone for a while, and when they are back, weak ones own the
//! pools and would keep them.

use std::collections::HashMap;
use std::sync::Arc;

use super::standbys::standby_rank;
use super::vacancy::{RANK_STEP_MS, WEAK_NODE_PENALTY};
use super::{Member, Ownership};
use crate::Ms;

/// How long a shard stays with its owner at least before it is handed over, in milliseconds.
const MIN_OWNED_MS: Ms = 20_000;
/// How long no shard must have changed its owner before one is handed over, in milliseconds: the previous handover is complete.
const SETTLED_MS: Ms = 5_000;
/// How long a node must be a member before it is handed a shard, in milliseconds. It begins to read pools two seconds after its
/// start, and nodes that are restarted in turn are often restarted again soon.
const MIN_MEMBER_MS: Ms = 10_000;
/// The least difference in owned shards between the node that hands one over and the node that receives it. With a difference
/// of one the handover would only swap their roles.
const MIN_DIFFERENCE: usize = 2;

/// Why a shard is handed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandoverReason {
    /// Its owner owns several shards.
    Spread,
    /// Its owner is weak.
    Weak,
    /// Its owner reaches none of its VMs.
    Unreachable,
}

impl HandoverReason {
    /// Returns the name for log lines and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Spread => "spread",
            Self::Weak => "weak",
            Self::Unreachable => "unreachable",
        }
    }
}

/// A shard that this node hands over to another one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Handover {
    /// The shard.
    pub shard: Arc<str>,
    /// The name of the node that receives it.
    pub successor: String,
    /// The number of shards that this node owns, of those that are spread.
    pub owned: usize,
    /// Why it is handed over.
    pub reason: HandoverReason,
}

impl Ownership {
    /// Returns the shard that this node hands over now, if any. `shards` are those to be spread, and `is_healthy` whether the
    /// store answers promptly.
    pub fn to_hand_over(&self, shards: &[Arc<str>], is_healthy: bool, now: Ms) -> Option<Handover> {
        let is_calm = is_healthy
            && !self.cannot_receive(now)
            && now >= self.started_at + MIN_MEMBER_MS
            && shards.iter().all(|shard| self.is_settled(shard, now));
        if !is_calm {
            return None;
        }
        let is_mine = |shard: &&Arc<str>| {
            let newest = self.claims.get(*shard);
            newest.is_some_and(|o| {
                o.claim.owner == self.me && now.saturating_sub(o.seen_at) >= MIN_OWNED_MS
            })
        };
        let shard = shards.iter().filter(is_mine).min_by_key(|s| self.claims[*s].seen_at)?;
        let owned = self.owned_counts(shards);
        let mine = owned.get(self.me.name.as_str()).copied().unwrap_or(0);
        let strongest = self.strongest();
        let am_weak = self.members.get(&self.me.name).is_some_and(|m| strongest.is_weak(m));
        let most = if am_weak {
            // The same as for claims: a weak node counts as owning more shards.
            WEAK_NODE_PENALTY - 1
        } else if self.policy.spread && mine >= MIN_DIFFERENCE {
            // All nodes read the same claims, by which only the one that owns the most hands one over.
            let (count, name) = owned.iter().map(|(name, count)| (*count, *name)).max()?;
            if (count, name) != (mine, self.me.name.as_str()) {
                return None;
            }
            0
        } else {
            return None;
        };
        let has = |name: &str| owned.get(name).copied().unwrap_or(0);
        let may_receive = |(name, m): &(&str, &Member)| {
            let is_new = now.saturating_sub(m.joined_at) < MIN_MEMBER_MS;
            let is_unfit = is_new || strongest.is_weak(m) || self.is_avoided(shard, name, now);
            *name != self.me.name && has(name) <= most && !is_unfit
        };
        let receivers = self.live_members(now).filter(may_receive);
        let rank = |name: &str| (has(name), standby_rank(shard, name, false));
        let (successor, _) = receivers.min_by_key(|(name, _)| rank(name))?;
        let reason = if am_weak { HandoverReason::Weak } else { HandoverReason::Spread };
        let (shard, successor) = (shard.clone(), successor.to_owned());
        Some(Handover { shard, successor, owned: mine, reason })
    }

    /// Returns whether a heartbeat was read since `since` of another node that is not about to stop. By then the heartbeats of
    /// nodes that began to stop earlier were read too.
    pub fn has_successor(&self, since: Ms, now: Ms) -> bool {
        self.live_members(now).any(|(name, m)| name != self.me.name && m.last_contact >= since)
    }

    /// Returns the shards with the nodes that are to own them next when this node stops, a different one for each shard as
    /// long as there are enough fast nodes.
    pub fn successors(&self, shards: &[Arc<str>], now: Ms) -> Vec<Option<String>> {
        if !self.policy.spread {
            return vec![None; shards.len()];
        }
        let all: Vec<Arc<str>> = self.claims.keys().cloned().collect();
        let mut owned = self.owned_counts(&all);
        let strongest = self.strongest();
        let mut chosen = Vec::with_capacity(shards.len());
        for shard in shards {
            let others = self.live_members(now).filter(|(name, _)| *name != self.me.name);
            let best = others.min_by_key(|(name, m)| {
                let weak = strongest.is_weak(m);
                let counted = usize::from(weak) * WEAK_NODE_PENALTY;
                let owned = owned.get(name).copied().unwrap_or(0) + counted;
                (self.is_avoided(shard, name, now), owned, standby_rank(shard, name, weak))
            });
            if let Some((name, _)) = best {
                *owned.entry(name).or_default() += 1;
            }
            chosen.push(best.map(|(name, _)| name.to_owned()));
        }
        chosen
    }

    /// Returns how long this node waits before it claims a shard that its owner released to a certain node, or `None` if the
    /// owner chose none or the chosen node is not alive.
    pub(super) fn successor_delay(&self, shard: &str, now: Ms) -> Option<Ms> {
        let claim = &self.claims.get(shard)?.claim;
        let successor = claim.successor.as_deref()?;
        let is_followed = self.policy.spread || claim.unreached.is_some();
        if !is_followed || !self.live_members(now).any(|(name, _)| name == successor) {
            return None;
        }
        let is_me = successor == self.me.name;
        Some(if is_me { 0 } else { RANK_STEP_MS + self.claim_delay(shard, now, &[]) })
    }

    /// Returns whether a shard has a live owner that did not change recently.
    fn is_settled(&self, shard: &str, now: Ms) -> bool {
        let Some(newest) = self.claims.get(shard) else { return false };
        let owner = &newest.claim.owner;
        let is_alive = *owner == self.me
            || self
                .live_members(now)
                .any(|(name, m)| name == owner.name && m.incarnation == owner.incarnation);
        !newest.claim.released && is_alive && now.saturating_sub(newest.seen_at) >= SETTLED_MS
    }

    /// Returns the number of shards that each owner has.
    pub(super) fn owned_counts(&self, shards: &[Arc<str>]) -> HashMap<&str, usize> {
        let mut counts = HashMap::new();
        for newest in shards.iter().filter_map(|shard| self.claims.get(shard)) {
            if !newest.claim.released {
                *counts.entry(newest.claim.owner.name.as_str()).or_default() += 1;
            }
        }
        counts
    }
}
