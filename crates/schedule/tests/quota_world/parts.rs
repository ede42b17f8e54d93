//! What a world of caps is made of: ways of splitting, safeguards that can be taken out, owners and runs.

use thistle_schedule::Room;
use thistle_schedule::quota::{Ledger, WorkspaceKey};

/// How caps are split.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// By a lender, by what pools want.
    Lent,
    /// Each pool has an equal part for good.
    Equal,
}

/// A safeguard that is taken out, to see that the check would show it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Without {
    Nothing,
    /// What a pool says counts as said of the newest record.
    Confirmation,
    /// A new owner goes by old records of how caps are lent.
    ReadingFirst,
    /// A lowered cap counts as lent.
    LoweredCap,
    /// A new owner does not count what its predecessor started.
    Predecessor,
    /// A job of a workspace that is not known yet has no limit.
    Admission,
}

pub struct Run {
    pub room: Room,
    pub ends: u64,
    pub told: u64,
}

pub struct Owner {
    pub ledger: Ledger,
    pub key: Option<WorkspaceKey>,
    pub token: u64,
    pub count: u64,
    pub version: usize,
    /// The version that its node has read first.
    pub began: usize,
    /// Up to which record of the lender it has read.
    pub cursor: usize,
    /// When it has read the newest records.
    pub reads_at: u64,
    /// What its runs that are not known to have ended take.
    pub runs: Vec<Run>,
    pub waiting: Vec<Room>,
    pub short_since: Option<u64>,
    pub says_at: u64,
}
