//! Jobs: tasks that run under leases on a pool's workers.

use serde::{Deserialize, Serialize};

use crate::{JobName, MemberId, PoolName, TeamName, VmName};

/// How soon a job must start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Urgency {
    /// Starts within seconds; night jobs yield to it.
    Urgent,
    /// Runs when there is spare capacity.
    Night,
}

/// The properties of a job as declared by its submitter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The job's name, unique among all known jobs.
    pub name: JobName,
    /// The workspace whose pool runs it.
    pub pool: PoolName,
    /// The team whose quota it uses.
    pub team: TeamName,
    /// How soon it must start.
    pub urgency: Urgency,
    /// The number of slots that it needs on one worker.
    pub slots: u16,
    /// Whether it may be started again after a start that failed or was lost.
    pub repeatable: bool,
}

/// How one start of a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobEnd {
    /// The worker reports that it is done.
    Done,
    /// The worker reports that the task failed.
    Failed,
    /// It was stopped, with a checkpoint if possible, to free capacity.
    Yielded,
    /// The lease expired, and the time in which the worker stops the task by itself has passed.
    Lost,
}

/// One start of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStart {
    /// The job.
    pub job: JobName,
    /// The VM on which it starts.
    pub vm: VmName,
    /// The number of this start, from 1.
    pub attempt: u32,
    /// The only member that sends the start to the worker; it sends it once.
    pub by: MemberId,
}
