//! Parts of the simulation: ways to split a cap, safeguards that can be disabled, owners and runs.

use thistle_schedule::Room;
use thistle_schedule::quota::{Ledger, WorkspaceKey};

/// How a cap is split between the pools.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Split {
    /// A lender splits the cap by the demand of the pools.
    Lent,
    /// Each pool always has an equal part.
    Equal,
}

/// A safeguard that is disabled to show that the check finds the fault it prevents. Each variant says what happens without it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DisabledSafeguard {
    Nothing,
    /// A pool's usage report counts as a confirmation of the newest record.
    Confirmation,
    /// A new owner uses old records of lent caps.
    ReadingFirst,
    /// The records count as made for the cap that the owner knows, even after that cap was lowered.
    LoweredCap,
    /// A new owner does not count the runs that its predecessor started.
    Predecessor,
    /// A job has no limit as long as the owner does not know its workspace.
    Admission,
}

pub struct Run {
    pub room: Room,
    pub ends_at: u64,
    pub end_reported_at: u64,
}

pub struct Owner {
    pub ledger: Ledger,
    pub key: Option<WorkspaceKey>,
    pub token: u64,
    pub report_count: u64,
    pub version: usize,
    /// The first configuration version that the owner's node has read.
    pub first_version: usize,
    /// The number of lender records that the owner has read.
    pub cursor: usize,
    /// The tick at which the owner first reads the records.
    pub first_read_at: u64,
    /// The runs whose end is not reported yet.
    pub runs: Vec<Run>,
    pub waiting: Vec<Room>,
    /// The tick since which the first waiting task does not fit into the pool's share.
    pub short_since: Option<u64>,
    pub next_report_at: u64,
}
