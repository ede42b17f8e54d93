//! Pools whose VMs do not answer their owner, which releases them to nodes that may reach the VMs.
//!
//! Load pattern: a node loses its routes to the VMs and to the other nodes, but not to the store. Its heartbeats are accepted, so it
//! keeps its pools, and the jobs that other nodes accept for them do not start. To the owner this looks like the loss of all VMs, in
//! which a change of the owner only adds a pause. So each further owner that reaches no VM waits twice as long as the one before.

use std::collections::HashMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::Ownership;
use super::spread::{Handover, HandoverReason};
use super::standbys::standby_rank;
use crate::Ms;

/// The least number of silent VMs that show that this node is cut off. A single VM may be lost itself.
const MIN_VMS: usize = 2;
/// The least number of consecutive calls to each VM that were not answered: a process that was paused finds one of them overdue.
const MIN_CALLS: u32 = 2;
/// How long no VM may answer before the first release, in milliseconds.
const PATIENCE_MS: Ms = 1_000;
/// How long VMs must answer an owner until the releases before it no longer count, in milliseconds. VMs that answer a call now and
/// then would otherwise change their owner every two seconds.
const STABLE_MS: Ms = 5_000;
/// How often [`PATIENCE_MS`] doubles at most, up to 64 s.
const MAX_DOUBLINGS: u32 = 6;
/// The age from which it is not known any more whether VMs answer, in milliseconds: several times the time between two checks.
const MAX_AGE_MS: Ms = 500;
/// How long a node that did not reach the VMs gets the pool only if no other one claims it, in milliseconds.
const AVOIDED_MS: Ms = 60_000;
/// How long such a node leaves the pool to others, in milliseconds.
pub(super) const AVOIDANCE_DELAY_MS: Ms = 2_000;
/// The most nodes that a claim names.
const MAX_NAMED: usize = 8;

/// The owners of a pool that released it one after the other because no VM answered them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Unreached {
    /// The number of releases since an owner was last answered by a VM.
    pub releases: u32,
    /// The names of these nodes, the last one last.
    pub by: Vec<String>,
}

/// Whether a VM answers the calls of its owner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum VmAnswer {
    /// No call is known to have failed or to have been answered.
    #[default]
    Unknown,
    /// The latest call was answered.
    Answered,
    /// Calls were not answered.
    Unanswered {
        /// When the first of them failed.
        since: Ms,
        /// The number of these calls.
        calls: u32,
        /// Whether an earlier call was answered.
        was_answered: bool,
    },
}

impl VmAnswer {
    /// Returns the state after a call that was not answered.
    #[must_use]
    pub const fn after_failure(self, now: Ms) -> Self {
        match self {
            Self::Unanswered { since, calls, was_answered } => {
                Self::Unanswered { since, calls: calls.saturating_add(1), was_answered }
            }
            Self::Answered => Self::Unanswered { since: now, calls: 1, was_answered: true },
            Self::Unknown => Self::Unanswered { since: now, calls: 1, was_answered: false },
        }
    }
}

/// Whether an owner reaches the VMs of its pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// There are too few VMs or calls to tell.
    Unknown,
    /// A VM answers.
    Some,
    /// No VM has answered since a time.
    None {
        /// When the last VM stopped answering, or when the first call failed if none has answered.
        since: Ms,
    },
}

impl Reach {
    /// Returns whether an owner reaches VMs, by the answers of all VMs that it should reach. VMs that have never answered, as they
    /// come to a pool that is short of VMs, do not delay the result.
    pub fn of(vms: impl Iterator<Item = VmAnswer>) -> Self {
        let (mut count, mut is_known) = (0, true);
        let (mut last_stopped, mut first_failed) = (None, None);
        for vm in vms {
            match vm {
                VmAnswer::Answered => return Self::Some,
                VmAnswer::Unknown => is_known = false,
                VmAnswer::Unanswered { since, calls, was_answered } => {
                    count += usize::from(calls >= MIN_CALLS);
                    if was_answered {
                        is_known &= calls >= MIN_CALLS;
                        last_stopped = last_stopped.max(Some(since));
                    } else if calls >= MIN_CALLS {
                        first_failed = Some(first_failed.map_or(since, |at: Ms| at.min(since)));
                    }
                }
            }
        }
        match last_stopped.or(first_failed) {
            Some(since) if is_known && count >= MIN_VMS => Self::None { since },
            Some(_) | None => Self::Unknown,
        }
    }
}

/// What an owner on this node has last found.
#[derive(Clone, Copy, Debug)]
pub(super) struct OwnReach {
    token: u64,
    reach: Reach,
    at: Ms,
    /// Since when VMs have answered this owner without a break.
    answered_since: Option<Ms>,
    /// Whether VMs have answered this owner for long enough that the releases before it no longer count.
    was_stable: bool,
}

/// What this node knows of the pools that it owns, by pool.
pub(super) type OwnReaches = HashMap<Arc<str>, OwnReach>;

impl Ownership {
    /// Records whether this node's owner of a pool reaches VMs.
    pub fn record_reach(&mut self, pool: &Arc<str>, token: u64, reach: Reach, now: Ms) {
        let before = self.own_reaches.get(pool).filter(|own| own.token == token);
        let answered_since = match reach {
            Reach::Some => before.and_then(|own| own.answered_since).or(Some(now)),
            Reach::Unknown => before.and_then(|own| own.answered_since),
            Reach::None { .. } => None,
        };
        let is_stable = answered_since.is_some_and(|since| now >= since + STABLE_MS);
        let was_stable = is_stable || before.is_some_and(|own| own.was_stable);
        let own = OwnReach { token, reach, at: now, answered_since, was_stable };
        self.own_reaches.insert(pool.clone(), own);
    }

    /// Returns the pool that this node releases now because it reaches none of its VMs, if any.
    pub fn to_release_unreached(&self, pools: &[Arc<str>], now: Ms) -> Option<Handover> {
        if self.cannot_receive(now) {
            return None;
        }
        pools.iter().find_map(|pool| {
            let own = self.own_reaches.get(pool)?;
            let Reach::None { since } = own.reach else { return None };
            let is_current = self.my_token(pool) == Some(own.token) && now <= own.at + MAX_AGE_MS;
            let unreached = self.unreached(pool);
            let patience = PATIENCE_MS << unreached.releases.min(MAX_DOUBLINGS);
            if !is_current || now < since + patience {
                return None;
            }
            let owned = self.owned_counts(pools);
            let strongest = self.strongest();
            let others = self.live_members(now).filter(|(name, _)| *name != self.me.name);
            // Of the nodes that did not reach the VMs either, the one that tried longest ago may reach them now.
            let tried = |name: &str| unreached.by.iter().position(|by| by == name);
            let best = others.min_by_key(|(name, m)| {
                let owned = owned.get(name).copied().unwrap_or(0);
                let weak = strongest.is_weak(m);
                (tried(name), weak, owned, standby_rank(pool, name, weak))
            });
            let (successor, _) = best?;
            Some(Handover {
                shard: pool.clone(),
                successor: successor.to_owned(),
                owned: owned.get(self.me.name.as_str()).copied().unwrap_or(0),
                reason: HandoverReason::Unreachable,
            })
        })
    }

    /// Returns what the release of a pool whose VMs this node does not reach tells the next owners.
    pub fn unreached_after_release(&self, pool: &str) -> Unreached {
        let Unreached { releases, mut by } = self.unreached(pool);
        by.retain(|name| *name != self.me.name);
        by.push(self.me.name.clone());
        let excess = by.len().saturating_sub(MAX_NAMED);
        by.drain(..excess);
        Unreached { releases: releases + 1, by }
    }

    /// Returns what this node's claim of a shard passes on.
    pub fn unreached_to_claim(&self, shard: &str) -> Option<Unreached> {
        let newest = self.claims.get(shard)?;
        let passes = newest.claim.released || newest.claim.owner == self.me;
        newest.claim.unreached.clone().filter(|_| passes)
    }

    /// Returns whether a node recently did not reach the VMs of a pool.
    pub(super) fn is_avoided(&self, pool: &str, name: &str, now: Ms) -> bool {
        let Some(newest) = self.claims.get(pool) else { return false };
        let is_recent = now.saturating_sub(newest.seen_at) < AVOIDED_MS;
        let unreached = newest.claim.unreached.as_ref().filter(|_| is_recent);
        unreached.is_some_and(|unreached| unreached.by.iter().any(|by| by == name))
    }

    /// Returns the owners before this node that did not reach the VMs of its pool, unless VMs have answered this node for a while.
    fn unreached(&self, pool: &str) -> Unreached {
        let newest = self.claims.get(pool);
        let own =
            newest.and_then(|o| self.own_reaches.get(pool).filter(|own| own.token == o.token));
        let was_stable = own.is_some_and(|own| own.was_stable);
        let unreached = newest.and_then(|o| o.claim.unreached.clone()).filter(|_| !was_stable);
        unreached.unwrap_or_default()
    }
}
