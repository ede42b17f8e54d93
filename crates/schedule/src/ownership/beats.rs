//! How often nodes tell that they are alive, and how often they look at what others tell.
//!
//! The load pattern: 585 nodes that start within 0.3 s, of which five own something. Heartbeats share one partition, which takes
//! 250 a second, and each is read by all: one every 2.5 s from each node fills it, with hundreds refused whenever many start
//! together, owners' among them. The time between two of an idle node grows with the nodes, so that their number a second does not.

use super::{Member, Ownership};
use crate::Ms;

/// How often a node that owns nothing sends a heartbeat where there are few nodes, in milliseconds.
const IDLE_MS: Ms = 2_500;
/// Heartbeats a second that idle nodes send together at most: a quarter of what a partition takes.
const IDLE_BEATS_PER_S: u64 = 60;
/// Heartbeats that a member may miss until it does not count as alive.
const MISSED: u64 = 3;

impl Ownership {
    /// Returns how long a node that owns nothing waits between two heartbeats, in milliseconds.
    pub fn idle_pause_ms(&self) -> Ms {
        let members = u64::try_from(self.members.len()).unwrap_or(u64::MAX);
        IDLE_MS.max(members.saturating_mul(1_000) / IDLE_BEATS_PER_S)
    }

    /// Returns whether a member was heard lately enough to count as alive.
    pub(super) fn is_alive(&self, member: &Member, now: Ms) -> bool {
        !member.leaving && now.saturating_sub(member.heard_at) < MISSED * self.idle_pause_ms()
    }

    /// Returns whether this node owns something, or is among those that would come to own a pool next: it is the one to notice
    /// soon that an owner is silent.
    pub fn stands_by<'a>(&self, mut pools: impl Iterator<Item = &'a str>, now: Ms) -> bool {
        self.owns_any() || pools.any(|pool| self.reads(pool, now) != Some(false))
    }
}
