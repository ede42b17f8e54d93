//! Which jobs have started, as reported to callers.
//!
//! Load pattern: a rack loses power, and the starts that were ordered there get no answer for seconds. Their jobs are recorded as
//! ordered, so that no other owner orders them again, and still count as pending: only a VM knows that a run exists.

use super::Pool;
use crate::id::TaskId;
use crate::progress::Phase;
use crate::vm::{EndKind, RunEnd};

impl Pool {
    /// Records that a VM has accepted a run of the schedule or has listed it as running.
    pub(super) fn record_reported_run(&mut self, task: TaskId) {
        self.record_run(task);
        if !self.has_started(task) && self.is_whole(task) {
            self.set_started(task);
        }
    }

    /// Records that a VM lists a run which is not in the schedule.
    pub(super) fn record_unknown_run(&mut self, task: TaskId) {
        if !self.has_started(task) && !self.is_in_gang(task) {
            self.set_started(task);
        }
    }

    /// Records that a run has ended. Not every end shows that its task has worked: a stop that overtakes its start may be listed as an
    /// end, and members of a gang may end before all of them are there.
    pub(super) fn record_reported_end(&mut self, end: &RunEnd) {
        let task = end.run.task;
        let has_worked = match end.kind {
            EndKind::Done | EndKind::Failed => true,
            EndKind::Lapsed | EndKind::Broken => !self.is_in_gang(task),
            EndKind::Stopped | EndKind::Alone => false,
        };
        if has_worked && !self.has_started(task) {
            self.set_started(task);
        }
    }

    fn has_started(&self, task: TaskId) -> bool {
        self.job_key(task).and_then(|key| self.jobs.get(key)).is_some_and(|job| job.has_started)
    }

    /// Has the record of a job say that the job has started.
    fn set_started(&mut self, task: TaskId) {
        let Some(key) = self.job_key(task) else { return };
        let Some(job) = self.jobs.get_mut(key).filter(|job| job.phase == Phase::Open) else {
            return;
        };
        (job.has_started, job.start_ordered, job.may_have_run) = (true, true, true);
        self.mark_changed(key);
    }

    fn is_in_gang(&self, task: TaskId) -> bool {
        let job = self.job_key(task).and_then(|key| self.jobs.get(key));
        let step = job.and_then(|job| job.spec.steps.get(usize::from(task.step)));
        step.is_some_and(|step| step.gang)
    }

    /// Returns whether a task works as soon as its VM has it: a gang works once all of its members are there.
    fn is_whole(&self, task: TaskId) -> bool {
        let Some(job) = self.job_key(task).and_then(|key| self.jobs.get(key)) else { return false };
        let Some(step) = job.spec.steps.get(usize::from(task.step)) else { return false };
        let Some(attempt) = job.task(task).map(|t| t.attempt) else { return false };
        let is_reported = |member: TaskId| {
            let mut runs = self.vms.values().filter_map(|vm| vm.runs.get(&member));
            runs.any(|run| run.attempt == attempt && run.reported)
        };
        !step.gang || (0..step.count).all(|index| is_reported(TaskId { index, ..task }))
    }
}
