//! Tasks that are not started again because VMs crashed under them.

use super::{JobKey, Now, Pool};
use crate::crash_history::CrashHistory;
use crate::id::TaskId;
use crate::progress::Phase;
use crate::spec::Step;

/// A task that was abandoned because VMs crashed under it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AbandonedTask {
    /// The task.
    pub task: TaskId,
    /// Its crash history.
    pub crash_history: CrashHistory,
}

impl Pool {
    /// Returns the tasks that were abandoned since the last call.
    pub fn take_abandoned(&mut self) -> Vec<AbandonedTask> {
        std::mem::take(&mut self.abandoned)
    }

    /// Abandons a task, and with it its job unless other lasting tasks go on.
    pub(super) fn abandon(&mut self, task: TaskId, crash_history: CrashHistory, now: Now) {
        let Some(key) = self.job_key(task) else { return };
        if !self.set_abandoned(task, true) {
            return;
        }
        self.abandoned.push(AbandonedTask { task, crash_history });
        if !self.others_run_without(key, task) {
            self.settle(key, Phase::Failed, now);
        }
    }

    /// Sets whether a task is abandoned, and returns whether that has changed.
    pub(super) fn set_abandoned(&mut self, task: TaskId, abandoned: bool) -> bool {
        let Some((step, index)) = self.job_mut(task).and_then(|job| job.step_mut(task)) else {
            return false;
        };
        let has_changed = step.tasks[index].abandoned != abandoned;
        step.set_abandoned(index, abandoned);
        has_changed
    }

    /// Returns whether other lasting tasks of the job go on when one of them is abandoned. To bound the harm, it suffices that this
    /// one is not started again, while a stop of the others would take more of their steps away than these may miss.
    ///
    /// Load pattern: a VM crashes again and again under one task of a service whose other tasks work on sound VMs, or wait for
    /// others because a rack has lost power.
    fn others_run_without(&self, key: JobKey, task: TaskId) -> bool {
        let Some(job) = self.jobs.get(key) else { return false };
        let Some(state) = job.repetitions.get(&task.repetition) else { return false };
        let is_lasting = |step: &Step| step.lasting;
        let mut steps = job.spec.steps.iter().zip(&state.steps);
        job.spec.steps.get(usize::from(task.step)).is_some_and(is_lasting)
            && steps.any(|(spec, step)| spec.lasting && step.can_run_without_abandoned(spec.gang))
    }
}
