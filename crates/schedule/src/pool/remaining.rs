//! Estimation of the remaining time of runs from their reported progress.

use super::incarnation::Vm;
use super::run::Run;
use super::{Ms, Pool};
use crate::id::TaskId;

/// The remaining time, in milliseconds, above which a resumable run is stopped on a VM that another pool needs. Stopping the run
/// and resuming it elsewhere takes about as long: a stop takes 400 to 900 ms, and a resumption 100 to 250 ms.
pub(super) const WORTH_STOPPING_MS: Ms = 700;

impl Pool {
    /// Returns the expected remaining time of a run that ends by itself, in milliseconds.
    pub(super) fn time_left(&self, task: TaskId, run: &Run, now: Ms) -> Ms {
        let whole = run.projected_ms().unwrap_or_else(|| self.expected_ms(task));
        let undone = Ms::from(100u32.saturating_sub(run.progress));
        (whole * undone / 100).saturating_sub(now.saturating_sub(run.progress_at))
    }

    /// Returns the expected duration of a task, from its caller's estimate and the factor learned for its queue.
    fn expected_ms(&self, task: TaskId) -> Ms {
        let Some(job) = self.job_key(task).and_then(|key| self.jobs.get(key)) else { return 0 };
        let estimate = job.spec.steps.get(usize::from(task.step)).map_or(0, |s| s.estimated_ms);
        super::rank::scale(Ms::from(estimate), self.estimates.factor(&job.spec.queue))
    }

    /// Returns how soon a VM can be empty if resumable runs are stopped, in milliseconds.
    pub(super) fn time_to_empty(&self, vm: &Vm, now: Ms) -> Ms {
        let time = |(&task, run): (&TaskId, &Run)| {
            let left = self.time_left(task, run, now);
            if run.can_be_resumed() { left.min(WORTH_STOPPING_MS) } else { left }
        };
        vm.runs.iter().map(time).max().unwrap_or(0)
    }
}
