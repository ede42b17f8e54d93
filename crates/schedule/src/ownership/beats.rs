//! How often nodes tell that they are alive, and which of them are to notice soon that an owner is silent.
//!
//! The load pattern: 585 nodes that start within 0.3 s, of which five own something. Heartbeats share one partition, which takes
//! 250 a second, and each is read by all: one every 2.5 s from each node fills it, with hundreds refused whenever many start
//! together, owners' among them. Nodes that would come to own nothing soon send one now and then, so that those that count are as
//! many however many nodes there are: owners, and the readers of each pool.

use super::{Member, Ownership};
use crate::Ms;

/// How often a node that owns nothing, and stands by to, sends a heartbeat, in milliseconds.
const STANDING_BY_MS: Ms = 2_500;
/// How often any other node does, in milliseconds: 3,200 of them fill half of a partition.
const QUIET_NODE_MS: Ms = 25_000;
/// From how many nodes on those that start together spread their first heartbeats: fewer take a partition less than half a second.
const MANY_NODES: usize = 100;
/// Over what time they do, in milliseconds: all that are sent by then are heard within the time that nodes listen for.
const FIRST_BEATS_MS: Ms = 800;
/// How long a partition takes for a heartbeat, in milliseconds.
const APPEND_MS: Ms = 4;
/// How long a member without pools counts as alive, in milliseconds: two heartbeats may be missed.
const ALIVE_MS: Ms = 7_500;
/// How long any member counts as one that passes calls on, in milliseconds: two heartbeats of a quiet node may be missed. Owners and those that stand by
/// for them are few and alike, so that a store that turns some nodes away may turn away all of them.
const PASSES_ON_MS: Ms = 3 * QUIET_NODE_MS;

impl Ownership {
    /// Returns how long a node that owns nothing waits between two heartbeats, in milliseconds.
    pub fn idle_pause_ms<'a>(&self, pools: impl Iterator<Item = &'a str>, now: Ms) -> Ms {
        if self.stands_by(pools, now) { STANDING_BY_MS } else { QUIET_NODE_MS }
    }

    /// Returns over what time nodes that start together spread their first heartbeats, in milliseconds; 0 where few were ever known.
    pub fn first_beats_ms(&self) -> Ms {
        if self.members.len() < MANY_NODES { 0 } else { FIRST_BEATS_MS }
    }

    /// Returns how much longer the first heartbeats of all that are known so far take one partition than those of few nodes, in
    /// milliseconds.
    pub(super) fn more_first_beats_take_ms(&self) -> Ms {
        let more = self.members.len().saturating_sub(MANY_NODES);
        APPEND_MS * Ms::try_from(more).unwrap_or(Ms::MAX / APPEND_MS)
    }

    /// Returns whether a member was heard lately enough to count as alive.
    pub(super) fn is_alive(&self, member: &Member, now: Ms) -> bool {
        !member.leaving && now.saturating_sub(member.heard_at) < ALIVE_MS
    }

    /// Returns whether a member was heard lately enough to be asked to pass calls on.
    pub(super) fn passes_on(&self, member: &Member, now: Ms) -> bool {
        !member.leaving && now.saturating_sub(member.heard_at) < PASSES_ON_MS
    }

    /// Returns whether this node owns something, or is among those that would come to own a pool next.
    pub fn stands_by<'a>(&self, mut pools: impl Iterator<Item = &'a str>, now: Ms) -> bool {
        self.owns_any() || pools.any(|pool| self.reads(pool, now) != Some(false))
    }
}
