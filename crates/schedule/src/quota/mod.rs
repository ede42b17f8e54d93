//! Caps of workspaces that hold over all pools: one node lends parts of each cap to the pools' owners.
//!
//! Load pattern: demand goes round the pools, five times its mean in one and a twentieth in the others, so that the pool
//! whose turn it is wants nearly all of a cap, and an equal split would leave most of it idle.
//!
//! What must hold: the bounds of all pools in a record add up to no more than the cap, or nobody is lent more. A pool's
//! bound is the most that it can have running, whoever owns it and whichever of the records up to this one its
//! owner has read. It falls to what the pool says that it has running, or to what it is lent if that is more, only once the pool
//! has said so of this very record. A successor of a pool's owner reads the newest records before it starts
//! anything, and finds all starts of its predecessor in the pool's records; so what a pool has said holds for all of
//! its owners to come.

mod ledger;
mod lender;

pub use ledger::{Held, Ledger, WorkspaceKey};
pub use lender::{Lender, divide};

use serde::{Deserialize, Serialize};

use crate::vm::Room;

/// How a workspace's cap is lent, as the lender writes it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LentCap {
    /// The workspace.
    pub workspace: String,
    /// The count of the records of this workspace.
    pub number: u64,
    /// The version of the configuration by which it was split.
    pub version: u64,
    /// The cap that is lent; a kind that is 0 has no limit and is not lent.
    pub cap: Room,
    /// What each pool is lent.
    pub shares: Vec<Share>,
    /// Some pool wants more than it is lent: the others say what they have left.
    pub is_short: bool,
}

/// What the lender has decided, to be written together.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Splits {
    /// Caps that are split anew.
    pub lent: Vec<LentCap>,
    /// The version of the configuration for which all splits hold from now on, if that is news.
    pub as_of: Option<u64>,
}

/// What a pool is lent of a cap.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// The pool.
    pub pool: String,
    /// How much it may have running, as soon as its owner reads this.
    pub room: Room,
    /// The most that it may have running until it says that it goes by this record.
    pub bound: Room,
}

impl LentCap {
    /// Returns what a pool is lent.
    pub fn share(&self, pool: &str) -> Option<&Share> {
        self.shares.iter().find(|share| share.pool == pool)
    }
}

/// What a pool's owner says of a workspace.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CapUse {
    /// The pool.
    pub pool: String,
    /// The workspace.
    pub workspace: String,
    /// The owner's token and the count of what it has said: what was said later holds.
    pub said: (u64, u64),
    /// The number of the record that it goes by.
    pub number: u64,
    /// What the workspace has running in the pool, or may have.
    pub used: Room,
    /// What it would have running if nothing held it back.
    pub wanted: Room,
}

/// Returns whether a cap limits anything.
pub const fn limits(cap: Room) -> bool {
    cap.cpu > 0 || cap.mem_mb > 0 || cap.gpu > 0
}

/// Returns whether `cap` limits every kind that `other` limits.
pub fn limits_all_of(cap: Room, other: Room) -> bool {
    kinds(other).into_iter().zip(kinds(cap)).all(|(other, cap)| other == 0 || cap > 0)
}

/// The kinds of a room, one after the other, for what is worked out for each kind by itself.
const fn kinds(room: Room) -> [u32; 3] {
    [room.cpu, room.mem_mb, room.gpu]
}

const fn of_kinds([cpu, mem_mb, gpu]: [u32; 3]) -> Room {
    Room { cpu, mem_mb, gpu }
}

/// Returns whether `room` stays within `share` in all kinds that `cap` limits.
pub fn within(room: Room, share: Room, cap: Room) -> bool {
    let mut kinds = kinds(room).into_iter().zip(kinds(share)).zip(kinds(cap));
    kinds.all(|((room, share), cap)| cap == 0 || room <= share)
}
