//! The state of one job within a pool's schedule.

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;

use super::record_room::RecordRoom;
use super::{Now, VmKey};
use crate::Ms;
use crate::crash_history::{CrashHistory, CrashHistoryRecord};
use crate::id::{JobId, TaskId, VmIncarnation};
use crate::progress::{Phase, Progress, TaskPlacement, TaskRecord};
use crate::quota::WorkspaceKey;
use crate::spec::JobSpec;

/// The maximum number of open repetitions of a job, several times as many as are due at once under the expected load.
/// Further repetitions wait for these, so that a job that is long overdue uses a bounded part of the owner's memory and
/// time: planning 20,000 repetitions takes 65 s in a test build.
const MAX_OPEN_REPETITIONS: usize = 64;

/// The state of a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum TaskState {
    #[default]
    Waiting,
    Assigned(VmKey),
    Done,
}

/// A task with its state and its past attempts.
#[derive(Clone, Debug, Default)]
pub(super) struct Task {
    pub state: TaskState,
    pub attempt: u32,
    pub failures: u32,
    pub checkpoint: String,
    /// The VM on which the last run failed or was lost, or which rejected the start.
    pub avoid: Option<VmKey>,
    /// Whether a lasting task has completed its start and is working.
    pub working: bool,
    /// The number of consecutive failures of a lasting task soon after its start.
    pub early_failures: u32,
    /// The earliest time of the next start.
    pub not_before: Ms,
    /// Whether the task is not started again because VMs crashed under it.
    pub abandoned: bool,
}

impl Task {
    /// Returns whether the task waits to be started.
    pub fn waits(&self) -> bool {
        self.state == TaskState::Waiting && !self.abandoned
    }
}

/// The state of one step of one repetition.
#[derive(Clone, Debug)]
pub(super) struct StepState {
    pub tasks: Vec<Task>,
    pub done: usize,
    /// The number of tasks that wait to be started.
    pub waiting: u32,
    /// The last failed attempt of a gang, whose members fail together.
    pub failed_attempt: u32,
}

impl StepState {
    fn new(count: u32) -> Self {
        let tasks = vec![Task::default(); usize::try_from(count).unwrap_or(0)];
        Self { tasks, done: 0, waiting: count, failed_attempt: 0 }
    }

    pub const fn is_done(&self) -> bool {
        self.done == self.tasks.len()
    }

    /// Returns the number of waiting tasks that resume from a checkpoint.
    pub fn waiting_to_resume(&self) -> u32 {
        let resumes = |t: &&Task| t.waits() && !t.checkpoint.is_empty();
        u32::try_from(self.tasks.iter().filter(resumes).count()).unwrap_or(u32::MAX)
    }

    /// Returns the number of failed attempts of the whole gang. Only one member's failure is counted per attempt.
    pub fn gang_failures(&self) -> u32 {
        self.tasks.iter().map(|t| t.failures).sum()
    }

    /// Sets the state of a task and updates the counts.
    pub fn set(&mut self, index: usize, new_state: TaskState) {
        let task = &mut self.tasks[index];
        let (old_state, waited) = (task.state, task.waits());
        task.state = new_state;
        if new_state != old_state {
            task.working = false;
        }
        self.waiting -= u32::from(waited);
        self.waiting += u32::from(task.waits());
        self.done -= usize::from(old_state == TaskState::Done);
        self.done += usize::from(new_state == TaskState::Done);
    }

    /// Returns whether tasks run or may still start. A gang runs only as a whole.
    pub fn can_run_without_abandoned(&self, gang: bool) -> bool {
        let mut tasks = self.tasks.iter();
        match gang {
            true => tasks.all(|task| !task.abandoned),
            false => tasks.any(|task| !task.abandoned),
        }
    }

    /// Sets whether a task is abandoned and updates the number of waiting tasks.
    pub fn set_abandoned(&mut self, index: usize, abandoned: bool) {
        let task = &mut self.tasks[index];
        self.waiting -= u32::from(task.waits());
        task.abandoned = abandoned;
        self.waiting += u32::from(task.waits());
    }
}

/// The state of one open repetition.
#[derive(Clone, Debug)]
pub(super) struct RepetitionState {
    pub steps: Vec<StepState>,
}

impl RepetitionState {
    fn new(spec: &JobSpec) -> Self {
        Self { steps: spec.steps.iter().map(|s| StepState::new(s.count)).collect() }
    }

    fn is_done(&self) -> bool {
        self.steps.iter().all(StepState::is_done)
    }
}

/// A job with the state of its open repetitions.
#[derive(Clone, Debug)]
pub(super) struct Job {
    pub id: JobId,
    pub spec: Arc<JobSpec>,
    /// The workspace that submitted the job, if any.
    pub workspace: Option<WorkspaceKey>,
    /// Whether the workspace had exceeded its share when the job was submitted.
    pub beyond_share: bool,
    /// The estimated length of the critical path from each step to the end of the job, in milliseconds.
    pub critical_paths: Vec<u64>,
    pub phase: Phase,
    /// Whether a start was ordered that may have been, or may yet be, carried out.
    pub start_ordered: bool,
    /// Whether a VM has reported a run of one of its tasks.
    pub has_started: bool,
    /// Whether a run of a task may have existed.
    pub may_have_run: bool,
    pub settled_ms: u64,
    /// Open repetitions: those that are due and not done.
    pub repetitions: BTreeMap<u32, RepetitionState>,
    /// The next repetition to open.
    pub next_repetition: u32,
    pub done_repetitions: Vec<u32>,
    /// When the job was accepted, on the monotonic clock of this process.
    pub accepted: Ms,
    /// Whether the job has changed since its progress record was last taken.
    pub dirty: bool,
    /// The room for starts in its progress record, if that may become too long.
    pub record_room: Option<RecordRoom>,
    /// The crash histories of its tasks. Most tasks have none.
    pub crash_histories: BTreeMap<TaskId, CrashHistory>,
    /// When a crash history last changed, on the monotonic clock.
    pub crash_history_changed_at: Ms,
}

impl Job {
    pub fn new(id: JobId, spec: Arc<JobSpec>, now: Now) -> Self {
        let age = now.wall.saturating_sub(spec.accepted_ms);
        Self {
            id,
            workspace: None,
            beyond_share: false,
            critical_paths: spec.critical_paths(),
            phase: Phase::Open,
            start_ordered: false,
            has_started: false,
            may_have_run: false,
            settled_ms: 0,
            repetitions: BTreeMap::new(),
            next_repetition: 0,
            done_repetitions: Vec::new(),
            accepted: now.steady.saturating_sub(age),
            dirty: false,
            record_room: None,
            crash_histories: BTreeMap::new(),
            crash_history_changed_at: now.steady,
            spec,
        }
    }

    /// Opens the repetitions that are due, up to [`MAX_OPEN_REPETITIONS`].
    pub fn open_due_repetitions(&mut self, now: Now) {
        while self.repetitions.len() < MAX_OPEN_REPETITIONS
            && self.next_repetition < self.spec.repetitions()
            && self.spec.due_ms(self.next_repetition) <= now.wall
        {
            self.open_repetition(self.next_repetition);
            self.next_repetition += 1;
        }
    }

    /// Opens a repetition unless it is done or already open.
    pub fn open_repetition(&mut self, repetition: u32) {
        if !self.done_repetitions.contains(&repetition) {
            let spec = &self.spec;
            self.repetitions.entry(repetition).or_insert_with(|| RepetitionState::new(spec));
        }
    }

    /// Opens all repetitions up to and including `last` that are not done.
    pub fn open_repetitions_up_to(&mut self, last: u32) {
        let done: HashSet<u32> = self.done_repetitions.iter().copied().collect();
        for repetition in (self.next_repetition..=last).filter(|number| !done.contains(number)) {
            let spec = &self.spec;
            self.repetitions.entry(repetition).or_insert_with(|| RepetitionState::new(spec));
        }
        self.next_repetition = self.next_repetition.max(last + 1);
    }

    /// Returns when the next repetition is due, on the monotonic clock. Returns `None` if the job is settled, no repetition is
    /// left, or the next one waits for open ones.
    pub fn next_due(&self, now: Now) -> Option<Ms> {
        let waits_for_others = self.repetitions.len() >= MAX_OPEN_REPETITIONS;
        if self.phase != Phase::Open
            || self.next_repetition >= self.spec.repetitions()
            || waits_for_others
        {
            return None;
        }
        let wait = self.spec.due_ms(self.next_repetition).saturating_sub(now.wall);
        Some(now.steady + wait)
    }

    pub fn task(&self, id: TaskId) -> Option<&Task> {
        let step = self.repetitions.get(&id.repetition)?.steps.get(usize::from(id.step))?;
        step.tasks.get(usize::try_from(id.index).ok()?)
    }

    /// Returns the step of a task and the task's index in it.
    pub fn step_mut(&mut self, id: TaskId) -> Option<(&mut StepState, usize)> {
        let step = self.repetitions.get_mut(&id.repetition)?.steps.get_mut(usize::from(id.step))?;
        let index = usize::try_from(id.index).ok().filter(|&i| i < step.tasks.len())?;
        Some((step, index))
    }

    /// Returns the number of VMs required by its lasting tasks, given how many of them may share a VM.
    pub fn spread(&self) -> u32 {
        let lasting = self.spec.steps.iter().filter(|s| s.lasting && s.anti_affinity > 0);
        lasting.map(|s| s.count.div_ceil(s.anti_affinity)).max().unwrap_or(0)
    }

    /// Returns the repetition, step and number of waiting tasks of each step that is ready to start.
    pub fn ready_steps(&self) -> impl Iterator<Item = (u32, usize, u32)> {
        self.repetitions.iter().flat_map(move |(&repetition, repetition_state)| {
            let ready = move |&(i, step): &(usize, &StepState)| {
                let before = &self.spec.steps[i].depends_on;
                step.waiting > 0
                    && before.iter().all(|&on| repetition_state.steps[usize::from(on)].is_done())
            };
            repetition_state
                .steps
                .iter()
                .enumerate()
                .filter(ready)
                .map(move |(i, s)| (repetition, i, s.waiting))
        })
    }

    /// Closes a repetition if all its tasks are done. Returns whether the whole job is done.
    pub fn close_repetition_if_done(&mut self, repetition: u32) -> bool {
        if self.repetitions.get(&repetition).is_some_and(RepetitionState::is_done) {
            self.repetitions.remove(&repetition);
            self.done_repetitions.push(repetition);
        }
        self.repetitions.is_empty() && self.next_repetition >= self.spec.repetitions()
    }

    /// Records that a start was not carried out. Without any other one, the job has not started.
    pub fn record_not_started(&mut self) {
        let is_assigned = |task: &Task| matches!(task.state, TaskState::Assigned(_));
        let mut steps = self.repetitions.values().flat_map(|repetition| &repetition.steps);
        self.start_ordered = self.may_have_run || steps.any(|s| s.tasks.iter().any(is_assigned));
    }

    /// Returns the progress record of the job.
    pub fn progress(&self, vm_id: impl Fn(VmKey) -> Option<VmIncarnation>) -> Progress {
        let crash_history = |(task, crash_history): (&TaskId, &CrashHistory)| CrashHistoryRecord {
            repetition: task.repetition,
            step: task.step,
            index: task.index,
            crash_history: crash_history.clone(),
        };
        let mut progress = Progress {
            phase: self.phase,
            start_ordered: self.start_ordered,
            has_started: self.has_started,
            settled_ms: self.settled_ms,
            crash_histories: self.crash_histories.iter().map(crash_history).collect(),
            ..Progress::default()
        };
        let open = self.phase == Phase::Open;
        if open {
            progress.done_repetitions.clone_from(&self.done_repetitions);
        }
        for (&repetition, repetition_state) in &self.repetitions {
            for (step, step_state) in (0..).zip(&repetition_state.steps) {
                let tasks = (0..).zip(&step_state.tasks);
                // A settled job's record lists only tasks that may still run: the next owner accounts for and stops them.
                let is_recorded = |t: &Task| match t.state {
                    TaskState::Assigned(_) => true,
                    TaskState::Done => open,
                    TaskState::Waiting => open && t.attempt > 0,
                };
                for (index, task) in tasks.filter(|(_, t)| is_recorded(t)) {
                    let placement = match task.state {
                        TaskState::Waiting => TaskPlacement::Waiting,
                        TaskState::Done => TaskPlacement::Done,
                        TaskState::Assigned(vm) => vm_id(vm)
                            .map_or(TaskPlacement::Waiting, |id| TaskPlacement::On(id.to_string())),
                    };
                    let (attempt, failures) = (task.attempt, task.failures);
                    // Only a waiting task resumes from the recorded checkpoint; during a run, the VM has a newer one.
                    let checkpoint = match task.state {
                        TaskState::Waiting => task.checkpoint.clone(),
                        TaskState::Assigned(_) | TaskState::Done => String::new(),
                    };
                    progress.tasks.push(TaskRecord {
                        repetition,
                        step,
                        index,
                        placement,
                        attempt,
                        failures,
                        checkpoint,
                    });
                }
            }
        }
        progress
    }
}
