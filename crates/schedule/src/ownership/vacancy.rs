//! Which pools a node claims, and when: those that nobody had, that were given up, whose owner fell silent, or whose owner on this
//! node has ended by itself.

use std::sync::Arc;

use thistle_model::rendezvous::weight;

use super::{ALIVE_MS, Member, Owned, Ownership, SILENCE_MS};
use crate::Ms;

/// How long the second-best node waits before it takes a pool that the best has not, and each
/// further one as much longer.
const RANK_STEP_MS: Ms = 400;
/// As how many pools more it counts that a node computes less than half as fast as the fastest: an
/// owner of 100 VMs and more keeps an eighth of a core busy, which is all that some nodes have. With
/// 350 VMs the first start came 55 ms after handing in at p50, in place of 788 ms.
const SLOW_COUNTS_AS: usize = 3;
/// How long a new node listens before it takes pools that nobody had, and as much longer as the heartbeats of hundreds that start with it take: two
/// readings, of which the first may come before those have sent theirs.
const LISTEN_MS: Ms = 1_000;
/// So many first heartbeats a partition takes well within that time, and for each further one it needs as long as for an append, in milliseconds.
const HEARD_WITHIN: usize = 100;
const APPEND_MS: Ms = 4;
/// How long a node waits before it claims a pool again whose owner has ended by itself, in milliseconds; it doubles with
/// each end in a row.
const ENDED_PAUSE_MS: Ms = 200;
/// How often that time doubles at most, up to 3.2 s: others would take the pool from a silent node after 2.7 s.
const MOST_ENDED_DOUBLINGS: u32 = 4;
/// An owner that has worked for so long does not end in a row with the one before, in milliseconds.
const LASTED_MS: Ms = 10_000;

/// An owner of this node that ended by itself, though nobody took its pool.
#[derive(Clone, Copy, Debug)]
pub(super) struct Ended {
    token: u64,
    at: Ms,
    in_a_row: u32,
}

impl Ended {
    fn claim_again_at(self) -> Ms {
        self.at + (ENDED_PAUSE_MS << self.in_a_row.min(MOST_ENDED_DOUBLINGS))
    }
}

#[derive(Clone, Copy, Debug)]
enum Vacancy {
    Never,
    Released,
    MineBefore,
    Ended(Ended),
    Restarted,
    Silent,
}

impl Ownership {
    /// Takes in that this node's owner of a pool has ended by itself. Its token is spent: what the next one writes and
    /// orders could not be told from what is still on its way of this one.
    pub fn owner_ended(&mut self, pool: &Arc<str>, token: u64, now: Ms) {
        let Some(owned) = self.claims.get(pool).filter(|o| o.token == token) else { return };
        let lasted = now.saturating_sub(owned.seen_at) >= LASTED_MS;
        let before = self.ended.get(pool).filter(|_| !lasted);
        let in_a_row = before.map_or(0, |ended| ended.in_a_row + 1);
        self.ended.insert(pool.clone(), Ended { token, at: now, in_a_row });
    }

    /// Returns whether an owner of a pool on this node has ended by itself.
    pub fn has_ended(&self, pool: &str) -> bool {
        self.ended.contains_key(pool)
    }

    pub(super) fn is_spent(&self, pool: &str, token: u64) -> bool {
        self.ended.get(pool).is_some_and(|ended| ended.token == token)
    }

    /// Returns which of some pools this node is to claim now.
    pub fn to_claim<'a>(
        &mut self,
        pools: impl Iterator<Item = &'a Arc<str>>,
        now: Ms,
    ) -> Vec<Arc<str>> {
        let mut wanted: Vec<Arc<str>> = Vec::new();
        if self.is_deaf(now) {
            return wanted;
        }
        for pool in pools {
            let Some(vacancy) = self.vacancy(pool, now) else {
                self.vacant_since.remove(pool);
                continue;
            };
            let since = *self.vacant_since.entry(pool.clone()).or_insert(now);
            let due = match vacancy {
                // The node that had it has its VMs' connections and state at hand soonest.
                Vacancy::MineBefore => 0,
                Vacancy::Ended(ended) => ended.claim_again_at(),
                Vacancy::Restarted => since + 2 * RANK_STEP_MS + self.rank(pool, now, &wanted),
                Vacancy::Released | Vacancy::Silent => since + self.rank(pool, now, &wanted),
                Vacancy::Never => {
                    since.max(self.started_at + self.listen_ms()) + self.rank(pool, now, &wanted)
                }
            };
            if now >= due {
                wanted.push(pool.clone());
            }
        }
        wanted
    }

    fn vacancy(&self, pool: &str, now: Ms) -> Option<Vacancy> {
        let Some(Owned { claim, token, seen_at, .. }) = self.claims.get(pool) else {
            return Some(Vacancy::Never);
        };
        if claim.owner == self.me {
            let ended = self.ended.get(pool).filter(|ended| ended.token == *token);
            return match claim.released {
                true => Some(Vacancy::Released),
                false => ended.copied().map(Vacancy::Ended),
            };
        }
        if claim.released {
            return Some(Vacancy::Released);
        }
        if claim.owner.name == self.me.name {
            return Some(Vacancy::MineBefore);
        }
        let heard_at = match self.members.get(&claim.owner.name) {
            Some(m) if m.life != claim.owner.life && m.heard_at > *seen_at => {
                return Some(Vacancy::Restarted);
            }
            Some(m) => m.heard_at.max(*seen_at),
            None => *seen_at,
        };
        (now.saturating_sub(heard_at) >= SILENCE_MS).then_some(Vacancy::Silent)
    }

    /// Returns how long a new node listens, in milliseconds, by the nodes that it knows so far.
    fn listen_ms(&self) -> Ms {
        let more = self.members.len().saturating_sub(HEARD_WITHIN);
        LISTEN_MS + APPEND_MS * Ms::try_from(more).unwrap_or(Ms::MAX / APPEND_MS - LISTEN_MS)
    }

    /// Returns below which speed a node counts as slow: half of the fastest one's.
    pub(super) fn slow_below(&self) -> u32 {
        self.members.values().map(|m| m.speed).max().unwrap_or(0) / 2
    }

    /// Returns how long this node leaves a vacant pool to nodes that own less.
    fn rank(&self, pool: &str, now: Ms, wanted: &[Arc<str>]) -> Ms {
        let owned = |name: &str| {
            self.claims.values().filter(|o| !o.claim.released && o.claim.owner.name == name).count()
        };
        let weight = |name: &str| weight(format!("{pool}/{name}").as_bytes(), 0);
        let slow_below = self.slow_below();
        let slow = |name: &str| {
            let speed = self.members.get(name).map_or(0, |m| m.speed);
            usize::from(speed > 0 && speed < slow_below) * SLOW_COUNTS_AS
        };
        let me = &self.me.name;
        let mine = (owned(me) + wanted.len() + slow(me), weight(me));
        let lately = |m: &&Member| !m.leaving && now.saturating_sub(m.heard_at) < ALIVE_MS;
        let before = self
            .members
            .iter()
            .filter(|(name, m)| **name != self.me.name && lately(m))
            .filter(|(name, _)| (owned(name) + slow(name), weight(name)) < mine)
            .count();
        RANK_STEP_MS * u64::try_from(before).unwrap_or(u64::MAX)
    }
}
