//! What one node asks another about a pool's jobs, and what it is told.

use serde::{Deserialize, Serialize};
use thistle_schedule::{Caller, JobId, JobState};

/// The path of questions.
pub const PATH: &str = "/questions";

/// What a node asks another one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Question {
    /// How far a job is.
    State {
        /// The pool that may have it.
        pool: String,
        /// The job.
        id: JobId,
        /// Who asks.
        caller: Caller,
    },
    /// How many jobs of a queue have not begun.
    Pending {
        /// The queue's pool.
        pool: String,
        /// The queue.
        queue: String,
    },
}

impl Question {
    /// Returns the pool that it is about.
    pub fn pool(&self) -> &str {
        match self {
            Self::State { pool, .. } | Self::Pending { pool, .. } => pool,
        }
    }
}

/// What it is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Told {
    /// The job's state.
    State(JobState),
    /// The pool has no such job, by all that the store had when the question came.
    NoSuchJob,
    /// There is such a job, which is another workspace's.
    NotTheirs,
    /// So many have not begun.
    Pending(u64),
    /// The node does not read this pool, or cannot now.
    NotRead,
}
