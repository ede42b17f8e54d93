//! Caps of workspaces over all pools: one node, the lender, lends parts of each cap to the pools' owners.
//!
//! Load pattern: the peak of demand moves from pool to pool, with five times the mean in one pool and a twentieth of it in the
//! others. The pool at its peak wants nearly all of a cap, and an equal split would leave most of the cap unused.
//!
//! Invariant: the bounds of all pools in a record add up to no more than the cap. While they exceed the cap, as when it was just
//! lowered or introduced, no pool is lent more. A pool's bound is the maximum that it can have running, whichever node owns it
//! and whichever record up to this one its owner has read. The bound falls to the use that the pool reports, or to the pool's
//! share if that is larger, only once the pool has reported on this very record. A new owner of a pool reads the newest records
//! before it starts any task, and finds all starts of its predecessor in the pool's records. So a pool's report also holds for
//! all of its later owners.

mod ledger;
mod lender;

pub(crate) use ledger::is_higher_cap;
pub use ledger::{Held, Ledger, WorkspaceKey};
pub use lender::{Lender, divide};

use serde::{Deserialize, Serialize};

use crate::vm::Room;

/// The record in which the lender writes how a workspace's cap is lent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LentCap {
    /// The workspace.
    pub workspace: String,
    /// The sequence number among the records of this workspace.
    pub number: u64,
    /// The version of the configuration on which the split is based.
    pub version: u64,
    /// The cap that is lent. A resource with the value 0 has no limit and is not lent.
    pub cap: Room,
    /// The share of each pool.
    pub shares: Vec<Share>,
    /// Whether some pool wants more than its share, so that the others report what they no longer want.
    pub is_short: bool,
}

/// The lender's decisions, which must be written together.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Splits {
    /// The caps with a new split.
    pub lent: Vec<LentCap>,
    /// The version of the configuration for which all splits now hold, if it has changed.
    pub as_of: Option<u64>,
}

/// The part of a cap that a pool is lent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// The pool.
    pub pool: String,
    /// The maximum that the pool may have running once its owner has read this record.
    pub room: Room,
    /// The maximum that the pool may have running until it reports that it follows this record.
    pub bound: Room,
}

impl LentCap {
    /// Returns the share of a pool.
    pub fn share(&self, pool: &str) -> Option<&Share> {
        self.shares.iter().find(|share| share.pool == pool)
    }
}

/// The report of a pool's owner on the use of a workspace's cap.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CapUse {
    /// The pool.
    pub pool: String,
    /// The workspace.
    pub workspace: String,
    /// The owner's token and the sequence number of its report. A later report replaces earlier ones.
    #[serde(rename = "said")]
    pub sequence: (u64, u64),
    /// The number of the record that the owner follows.
    pub number: u64,
    /// The capacity that the workspace uses in the pool, or may use.
    pub used: Room,
    /// The capacity that it would use without any limit.
    pub wanted: Room,
}

/// Returns whether a cap limits any resource.
pub const fn limits(cap: Room) -> bool {
    cap.cpu > 0 || cap.mem_mb > 0 || cap.gpu > 0
}

/// Returns whether `cap` limits every resource that `other` limits.
pub fn limits_all_of(cap: Room, other: Room) -> bool {
    amounts(other).into_iter().zip(amounts(cap)).all(|(other, cap)| other == 0 || cap > 0)
}

/// Returns the amount of each resource, for computations on each resource separately.
const fn amounts(room: Room) -> [u32; 3] {
    [room.cpu, room.mem_mb, room.gpu]
}

const fn from_amounts([cpu, mem_mb, gpu]: [u32; 3]) -> Room {
    Room { cpu, mem_mb, gpu }
}

/// Returns whether `room` is within `share` for all resources that `cap` limits.
pub fn within(room: Room, share: Room, cap: Room) -> bool {
    let mut resources = amounts(room).into_iter().zip(amounts(share)).zip(amounts(cap));
    resources.all(|((room, share), cap)| cap == 0 || room <= share)
}
