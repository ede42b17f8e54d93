//! Queries between nodes about a pool's jobs, and the replies.

use serde::{Deserialize, Serialize};
use thistle_schedule::{Caller, JobId, JobState};

/// The path of queries.
pub const PATH: &str = "/questions";

/// A query from one node to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Query {
    /// Requests the state of a job.
    State {
        /// The pool that may contain the job.
        pool: String,
        /// The job's ID.
        id: JobId,
        /// The caller who requests the state.
        caller: Caller,
    },
    /// Requests the number of jobs of a queue that have not started.
    Pending {
        /// The queue's pool.
        pool: String,
        /// The queue's name.
        queue: String,
    },
    /// Requests whether the store answers the node about a partition of the pool's records.
    Partition {
        /// The pool.
        pool: String,
        /// The partition.
        part: u32,
    },
}

impl Query {
    /// Returns the pool that the query is about.
    pub fn pool(&self) -> &str {
        match self {
            Self::State { pool, .. }
            | Self::Pending { pool, .. }
            | Self::Partition { pool, .. } => pool,
        }
    }
}

/// The reply to a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QueryReply {
    /// The job's state.
    State(JobState),
    /// The pool has no such job, according to all records that the store had when the query arrived.
    NoSuchJob,
    /// The job exists but belongs to another workspace.
    NotTheirs,
    /// The number of jobs of the queue that have not started.
    Pending(u64),
    /// The node does not follow this pool's records, or currently cannot read them.
    NotRead,
    /// Whether the store answers the node about the partition; it answers about others.
    Answered(bool),
}
