//! Effects of a run's end on its task and its job.

use super::job::TaskState;
use super::{JobKey, Now, Pool, VmKey};
use crate::Ms;
use crate::crash_history::MAX_RESTART_DELAY_MS;
use crate::id::{RunId, TaskId};
use crate::progress::Phase;
use crate::spec::Step;
use crate::vm::{EndKind, RunEnd};

/// A lasting task that has run for this long counts as having worked, in milliseconds. Its start takes one to two seconds.
const WORKED_MS: Ms = 3_000;
/// The base delay before a lasting task that failed soon after its start is restarted, in milliseconds. The first two failures
/// cause no delay; from the third on the delay doubles with each failure.
const FAILURE_DELAY_MS: Ms = 125;
/// The maximum number of doublings of that delay.
const MAX_DELAY_DOUBLINGS: u32 = 4;

impl Pool {
    /// Applies a run's end that a VM reported.
    pub(super) fn apply_end(&mut self, vm_key: VmKey, end: &RunEnd, now: Now) {
        self.record_reported_end(end);
        let vm = &mut self.vms[vm_key];
        vm.unknown_runs.remove(&end.run);
        vm.last_end_sequence = vm.last_end_sequence.max(end.sequence);
        let Some(run) = self.remove_run(vm_key, end.run) else {
            self.apply_late_end(end, now);
            return;
        };
        self.record_run(end.run.task);
        let vm = &mut self.vms[vm_key];
        match end.kind {
            EndKind::Done => vm.record_success(),
            EndKind::Failed => {
                vm.record_failure(end.run.task.job, now.steady);
            }
            EndKind::Stopped | EndKind::Lapsed | EndKind::Broken | EndKind::Alone => (),
        }
        let Some(key) = self.job_key(end.run.task) else { return };
        if end.kind == EndKind::Done {
            self.learn_task_time(key, end.run, now.steady.saturating_sub(run.started));
            self.clear_crash_history(end.run.task);
        }
        self.apply_end_to_task(key, vm_key, end, now);
        if end.kind == EndKind::Failed && run.lasting {
            self.defer_after_failure(end.run.task, run.started, now);
        }
    }

    /// Applies the end of a run that is no longer in the schedule, for example because its VM counted as lost. If the run is done
    /// and its task still waits, the task is marked done so that the work is not repeated.
    fn apply_late_end(&mut self, end: &RunEnd, now: Now) {
        let Some(key) = self.job_key(end.run.task).filter(|_| end.kind == EndKind::Done) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(key).filter(|job| job.phase == Phase::Open) else {
            return;
        };
        let ends_by_itself = |step_spec: &Step| !step_spec.lasting && !step_spec.gang;
        if !job.spec.steps.get(usize::from(end.run.task.step)).is_some_and(ends_by_itself) {
            return;
        }
        let Some((step, index)) = job.step_mut(end.run.task) else { return };
        let task = &step.tasks[index];
        if task.attempt != end.run.attempt || task.state != TaskState::Waiting {
            return;
        }
        step.set(index, TaskState::Done);
        self.clear_crash_history(end.run.task);
        self.mark_changed(key);
        self.close_repetition(key, end.run, now);
    }

    /// Defers the next start of a lasting task that failed soon after its last start.
    fn defer_after_failure(&mut self, task: TaskId, started: Ms, now: Now) {
        let Some((step, index)) = self.job_mut(task).and_then(|job| job.step_mut(task)) else {
            return;
        };
        let task = &mut step.tasks[index];
        if now.steady.saturating_sub(started) >= WORKED_MS {
            task.early_failures = 0;
            return;
        }
        let pause = match task.early_failures {
            // Two failures in a row may be a coincidence.
            0 | 1 => 0,
            n => (FAILURE_DELAY_MS << n.min(MAX_DELAY_DOUBLINGS)).min(MAX_RESTART_DELAY_MS),
        };
        task.early_failures += 1;
        task.not_before = now.steady + pause;
    }

    fn apply_end_to_task(&mut self, key: JobKey, vm: VmKey, end: &RunEnd, now: Now) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        let open = job.phase == Phase::Open;
        let spec = job.spec.clone();
        let Some(step_spec) = spec.steps.get(usize::from(end.run.task.step)) else { return };
        let Some((step, index)) = job.step_mut(end.run.task) else { return };
        let task = &mut step.tasks[index];
        if task.attempt != end.run.attempt || task.state != TaskState::Assigned(vm) {
            return;
        }
        if !open {
            step.set(index, TaskState::Waiting);
            self.mark_changed(key);
            return;
        }
        if !end.checkpoint.is_empty() {
            task.checkpoint.clone_from(&end.checkpoint);
        }
        if end.kind == EndKind::Done && !step_spec.lasting {
            step.set(index, TaskState::Done);
            if step_spec.gang {
                // The gang's work is done; the remaining members end by themselves.
                for i in 0..step.tasks.len() {
                    step.set(i, TaskState::Done);
                }
            }
            self.mark_changed(key);
            self.close_repetition(key, end.run, now);
            return;
        }
        step.set(index, TaskState::Waiting);
        let mut failures = 0;
        if end.kind == EndKind::Failed && !step_spec.lasting {
            let already_counted = step_spec.gang && step.failed_attempt == end.run.attempt;
            step.failed_attempt = end.run.attempt;
            let task = &mut step.tasks[index];
            task.failures += u32::from(!already_counted);
            task.avoid = Some(vm);
            failures =
                if step_spec.gang { step.gang_failures() } else { step.tasks[index].failures };
        } else if end.kind == EndKind::Failed {
            step.tasks[index].avoid = Some(vm);
        }
        self.mark_changed(key);
        if failures > 0 && failures >= spec.objective.max_attempts.max(1) {
            self.settle(key, Phase::Failed, now);
        }
    }

    /// Closes the repetition of a run if all its tasks are done, and completes the job with its last repetition.
    fn close_repetition(&mut self, key: JobKey, run: RunId, now: Now) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        if job.close_repetition_if_done(run.task.repetition) {
            job.phase = Phase::Completed;
            job.settled_ms = now.wall;
        }
    }
}
