//! Which node owns which pool, by what nodes write to the store.
//!
//! A node becomes owner by a conditional append; the place of that record is its token, so tokens
//! rise. Ownership changes for cause only: the owner gave it up, was restarted, or fell silent for
//! longer than its own lease lasts. Nothing here decides who *is* owner: the store does.

mod readers;
mod vacancy;

pub use readers::READERS;
use vacancy::Ended;

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thistle_model::rendezvous::weight;

use crate::Ms;

/// How long a node may act as owner after it sent a heartbeat that the store took, in
/// milliseconds. Longer rides out longer outages, shorter moves pools sooner from dead nodes.
pub const OWNER_LEASE_MS: Ms = 2_200;
/// How long a node must be silent before its pools are taken: its lease, the longest pause between
/// two looks at the heartbeats, and a margin for clocks that differ by 2%.
pub const SILENCE_MS: Ms = 2_700;
/// How long a member without pools, which sends few heartbeats, counts as alive, in milliseconds.
const ALIVE_MS: Ms = 7_500;
/// A pause between two readings of the heartbeats after which silence counts anew, in
/// milliseconds: a little more than two readings lie apart.
const DEAF_MS: Ms = 1_200;
/// How long an owner must be silent to be looked for where heartbeats go that their first partition
/// does not take, in milliseconds: twice the time between two of them.
const QUIET_MS: Ms = 900;

/// One life of a node.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct NodeLife {
    /// The node's name.
    pub name: String,
    /// A number drawn at start.
    pub life: u64,
}

/// What a node writes to own a pool, or to give it up.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The owner.
    pub owner: NodeLife,
    /// The owner has given it up.
    pub released: bool,
}

/// What a node writes to be known as alive.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Its life.
    pub life: u64,
    /// A count, so that each record differs.
    pub sequence: u64,
    /// It is about to stop and takes no pools.
    pub leaving: bool,
    /// Where it passes calls to the store on for others, if it does.
    #[serde(default)]
    pub relay: Option<SocketAddr>,
    /// How fast it computes, as it measured at its start, in any unit; 0 if it has not.
    #[serde(default)]
    pub speed: u32,
}

#[derive(Clone, Debug)]
struct Member {
    speed: u32,
    relay: Option<SocketAddr>,
    life: u64,
    sequence: u64,
    leaving: bool,
    heard_at: Ms,
}

#[derive(Clone, Debug)]
struct Owned {
    claim: Claim,
    token: u64,
    seen_at: Ms,
    /// The claim before it was given up, not taken from a silent owner.
    was_given_up: bool,
}

/// What one node knows of owners and members.
#[derive(Debug)]
pub struct Ownership {
    me: NodeLife,
    started_at: Ms,
    /// When heartbeats were last read.
    listened_at: Option<Ms>,
    members: HashMap<String, Member>,
    claims: HashMap<Arc<str>, Owned>,
    /// Pools whose progress may stand in further partitions.
    further_lanes: HashSet<Arc<str>>,
    /// Since when pools are known to have no owner.
    vacant_since: HashMap<Arc<str>, Ms>,
    /// The last owner of each pool on this node that ended by itself.
    ended: HashMap<Arc<str>, Ended>,
}

impl Ownership {
    /// Makes the view of a node that has just started.
    pub fn new(me: NodeLife, now: Ms) -> Self {
        let (members, claims, vacant_since) = (HashMap::new(), HashMap::new(), HashMap::new());
        Self {
            me,
            started_at: now,
            listened_at: None,
            members,
            claims,
            further_lanes: HashSet::new(),
            vacant_since,
            ended: HashMap::new(),
        }
    }

    /// Takes in a heartbeat that was read.
    pub fn heard(&mut self, name: &str, beat: &Heartbeat, now: Ms) {
        let Heartbeat { life, sequence, leaving, relay, speed } = *beat;
        let news = Member { speed, relay, life, sequence, leaving, heard_at: now };
        match self.members.get_mut(name) {
            Some(m) if m.life == life && m.sequence >= sequence => m.leaving |= leaving,
            Some(m) => *m = news,
            None => {
                self.members.insert(name.to_owned(), news);
            }
        }
    }

    /// Takes in a heartbeat that was read where those go that their first partition does not take. It may
    /// be an old one: it is no word of a life that is not known.
    pub fn heard_aside(&mut self, name: &str, beat: &Heartbeat, now: Ms) {
        let other_life = self.members.get(name).is_some_and(|m| m.life != beat.life);
        if !other_life {
            self.heard(name, beat, now);
        }
    }

    /// Returns whether some other node that owns something has not been heard for a while.
    pub fn has_quiet_owner(&self, now: Ms) -> bool {
        let quiet = |owned: &Owned| {
            let heard = self.members.get(&owned.claim.owner.name).map_or(0, |m| m.heard_at);
            let latest = heard.max(owned.seen_at);
            let other = owned.claim.owner != self.me && !owned.claim.released;
            other && now.saturating_sub(latest) >= QUIET_MS
        };
        self.claims.values().any(quiet)
    }

    /// Takes in that heartbeats are being read now; to be called before those that were read are
    /// taken in. After a pause silence counts anew: returns whether there was one.
    pub fn listen(&mut self, now: Ms) -> bool {
        let was_deaf = self.is_deaf(now);
        self.listened_at = Some(now);
        if was_deaf {
            self.forgive_silence(now);
        }
        was_deaf
    }

    /// Returns whether heartbeats were not read for a while, so that nothing is known of silence.
    fn is_deaf(&self, now: Ms) -> bool {
        self.listened_at.is_none_or(|at| now.saturating_sub(at) > DEAF_MS)
    }

    /// Takes in that not all heartbeats could be read: silence counts anew.
    pub fn forgive_silence(&mut self, now: Ms) {
        for member in self.members.values_mut() {
            member.heard_at = now;
        }
        for owned in self.claims.values_mut() {
            owned.seen_at = now;
        }
    }

    /// Takes in a claim that was read, with the offset of its record.
    pub fn claimed(&mut self, pool: &Arc<str>, claim: Claim, offset: u64, now: Ms) {
        let token = token_of(offset);
        let known = self.claims.get(pool);
        if known.is_some_and(|o| o.token >= token) {
            return;
        }
        // A node that was taken for dead may give up what it no longer owns.
        if claim.released && known.is_some_and(|o| o.claim.owner != claim.owner) {
            return;
        }
        let was_given_up = known.is_some_and(|o| o.claim.released);
        self.vacant_since.remove(pool);
        let owned = Owned { claim, token, seen_at: now, was_given_up };
        self.claims.insert(pool.clone(), owned);
    }

    /// Takes in whether a pool's progress may stand in further partitions than the usual ones.
    pub fn set_further_lanes(&mut self, pool: &Arc<str>, open: bool) {
        match open {
            true => self.further_lanes.insert(pool.clone()),
            false => self.further_lanes.remove(pool),
        };
    }

    /// Takes in all pools of which that is told: what is told of no other one any more holds no longer.
    pub fn replace_further_lanes(&mut self, pools: HashSet<Arc<str>>) {
        self.further_lanes = pools;
    }

    /// Returns whether a pool's progress may stand in further partitions.
    pub fn has_further_lanes(&self, pool: &str) -> bool {
        self.further_lanes.contains(pool)
    }

    /// Returns the owner's name, its token, and whether it has given the pool up.
    pub fn owner(&self, pool: &str) -> Option<(&NodeLife, u64, bool)> {
        self.claims.get(pool).map(|o| (&o.claim.owner, o.token, o.claim.released))
    }

    /// Returns where a pool's owner, if it is another node and was heard in this life of it, takes what
    /// nodes hand to each other.
    pub fn relay_of_owner(&self, pool: &str) -> Option<SocketAddr> {
        let claim = self.claims.get(pool).map(|o| &o.claim).filter(|claim| !claim.released)?;
        let member = self.members.get(&claim.owner.name)?;
        // A former life of this node is gone.
        let other = claim.owner.name != self.me.name;
        let is_there = member.life == claim.owner.life && !member.leaving;
        member.relay.filter(|_| other && is_there)
    }

    /// Returns whether the present owner's predecessor gave the pool up by itself.
    pub fn was_given_up(&self, pool: &str) -> bool {
        self.claims.get(pool).is_some_and(|o| o.was_given_up)
    }

    /// Returns this node's token for a pool, if the newest claim read is its own and no owner has worked under it and ended.
    pub fn my_token(&self, pool: &str) -> Option<u64> {
        let owned = self.claims.get(pool)?;
        let mine = owned.claim.owner == self.me && !owned.claim.released;
        (mine && !self.is_spent(pool, owned.token)).then_some(owned.token)
    }

    /// Returns whether this node owns anything, by the claims that it has read.
    pub fn owns_any(&self) -> bool {
        self.claims.values().any(|o| o.claim.owner == self.me && !o.claim.released)
    }

    /// Returns where other members that were heard lately pass calls to the store on, in the order in which this node is to ask
    /// them. An owner asks fast ones first: what it writes is more than a slow node's link carries.
    pub fn relays(&self, now: Ms) -> Vec<SocketAddr> {
        let lately = |m: &Member| !m.leaving && now.saturating_sub(m.heard_at) < ALIVE_MS;
        let others = self.members.iter().filter(|(name, m)| **name != self.me.name && lately(m));
        let slow_below = if self.owns_any() { self.slow_below() } else { 0 };
        // Each node begins with another one.
        let nth = |addr| weight(format!("{}/{addr}", self.me.name).as_bytes(), 0);
        let ranked = |m: &Member| m.relay.map(|addr| (m.speed < slow_below, nth(addr), addr));
        let mut relays: Vec<(bool, u64, SocketAddr)> =
            others.filter_map(|(_, m)| ranked(m)).collect();
        relays.sort_unstable();
        relays.into_iter().map(|(.., addr)| addr).collect()
    }
}

/// Returns the token of a claim at an offset: above 0, which stands for none.
pub const fn token_of(offset: u64) -> u64 {
    offset + 1
}
