//! How long runs will still take, by how far their VMs say they are.

use super::incarnation::Vm;
use super::run::Run;
use super::{Ms, Pool};
use crate::id::TaskId;

/// A run that saves its progress is stopped on a VM that another pool needs if it would take longer
/// than this, in milliseconds: to stop and to resume it elsewhere takes about as long (the users'
/// bounds on both: 400 and 100 ms, 900 and 250 ms).
pub(super) const WORTH_STOPPING_MS: Ms = 700;

impl Pool {
    /// Returns in how many milliseconds a run that ends by itself is expected to.
    pub(super) fn time_left(&self, task: TaskId, run: &Run, now: Ms) -> Ms {
        let whole = run.measured_ms().unwrap_or_else(|| self.expected_ms(task));
        let undone = Ms::from(100u32.saturating_sub(run.progress));
        (whole * undone / 100).saturating_sub(now.saturating_sub(run.progress_at))
    }

    /// Returns how long a task is expected to take, from its caller's guess and what its queue's
    /// tasks took.
    fn expected_ms(&self, task: TaskId) -> Ms {
        let Some(job) = self.job_key(task).and_then(|key| self.jobs.get(key)) else { return 0 };
        let guess = job.spec.steps.get(usize::from(task.step)).map_or(0, |s| s.estimated_ms);
        super::rank::scale(Ms::from(guess), self.estimates.factor(&job.spec.queue))
    }

    /// Returns how soon a VM can be empty, if what can be resumed elsewhere is stopped.
    pub(super) fn can_be_empty_in(&self, vm: &Vm, now: Ms) -> Ms {
        let time = |(&task, run): (&TaskId, &Run)| {
            let left = self.time_left(task, run, now);
            if run.can_be_resumed() { left.min(WORTH_STOPPING_MS) } else { left }
        };
        vm.runs.iter().map(time).max().unwrap_or(0)
    }
}
