//! The progress record of a job, which the pool's owner always writes as a whole.

use serde::{Deserialize, Serialize};

use crate::crash_history::CrashHistoryRecord;
use crate::id::VmIncarnation;

/// The phase of a job: open or settled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// The job has work left.
    #[default]
    Open,
    /// All of its tasks are done.
    Completed,
    /// One of its tasks failed too often.
    Failed,
    /// A caller cancelled the job.
    Cancelled,
    /// The submission was passed on to another pool, by the assignment of its queue that is recorded at this offset. The job is
    /// decided anew when the assignment changes, until the pool is notified that it is bound.
    Moved(u64),
    /// The job is bound to another pool, and this is a copy of its submission.
    Copy,
}

/// The state of a job as callers see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// None of its tasks has started.
    Queued,
    /// At least one of its tasks has started.
    Running,
    /// All of its tasks are done.
    Completed,
    /// One of its tasks failed too often.
    Failed,
    /// A caller cancelled the job.
    Cancelled,
}

impl JobState {
    /// Returns whether the state is final.
    pub const fn is_final(self) -> bool {
        match self {
            Self::Completed | Self::Failed | Self::Cancelled => true,
            Self::Queued | Self::Running => false,
        }
    }
}

/// The state of a task in a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskPlacement {
    /// The task waits for a run.
    Waiting,
    /// The task was ordered to run on this VM incarnation, and no end of the run is known.
    On(String),
    /// The task is done.
    Done,
}

/// The record of a task that is no longer in its initial state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRecord {
    /// The repetition.
    #[serde(rename = "time")]
    pub repetition: u32,
    /// The step.
    pub step: u16,
    /// The task within the step.
    pub index: u32,
    /// The state of the task.
    #[serde(rename = "place")]
    pub placement: TaskPlacement,
    /// The number of its last run.
    pub attempt: u32,
    /// The number of failed runs.
    pub failures: u32,
    /// The checkpoint from which its next run resumes, empty to start from the beginning.
    pub checkpoint: String,
}

/// The progress of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// The phase of the job.
    pub phase: Phase,
    /// Whether a start was ordered that may have been, or may yet be, carried out. No later owner may order it again.
    #[serde(rename = "begun")]
    pub start_ordered: bool,
    /// Whether a VM has reported a run, by which the state is reported to callers. It is encoded after the rest, as older versions
    /// record only ordered starts.
    #[serde(skip)]
    pub has_started: bool,
    /// When the job was settled, in milliseconds since 1970; 0 while it is open.
    pub settled_ms: u64,
    /// The repetitions whose tasks are all done.
    #[serde(rename = "done_times")]
    pub done_repetitions: Vec<u32>,
    /// The tasks of unfinished repetitions that are no longer in their initial state. Once the job is settled, only tasks
    /// that may still run.
    pub tasks: Vec<TaskRecord>,
    /// The crash histories of tasks whose VMs were lost, also once the job is settled. They come last in an encoded record,
    /// so that older versions can read the rest.
    #[serde(skip)]
    pub crash_histories: Vec<CrashHistoryRecord>,
}

impl Progress {
    /// Returns the state to report to callers. A cancelled job counts as cancelled as soon as the cancellation is accepted.
    pub const fn state(&self, cancelled: bool) -> JobState {
        match self.phase {
            Phase::Completed => JobState::Completed,
            Phase::Failed => JobState::Failed,
            Phase::Cancelled => JobState::Cancelled,
            Phase::Open if cancelled => JobState::Cancelled,
            Phase::Open if self.has_started => JobState::Running,
            Phase::Open | Phase::Moved(_) | Phase::Copy => JobState::Queued,
        }
    }

    /// Returns the VMs on which tasks were ordered to run and may still run.
    pub fn assigned_vms(&self) -> impl Iterator<Item = VmIncarnation> {
        self.tasks.iter().filter_map(|t| match &t.placement {
            TaskPlacement::On(vm) => Some(VmIncarnation::from(vm.as_str())),
            TaskPlacement::Waiting | TaskPlacement::Done => None,
        })
    }
}
