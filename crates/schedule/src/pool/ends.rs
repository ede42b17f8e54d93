//! Effects of a run's end on its task and its job.

use super::job::Spot;
use super::{JobKey, Now, Pool, VmKey};
use crate::Ms;
use crate::harm::MOST_PAUSE_MS;
use crate::id::{RunId, TaskId};
use crate::progress::Phase;
use crate::spec::Step;
use crate::vm::{EndKind, RunEnd};

/// A lasting task that has run for this long counts as having worked, in milliseconds. Its start takes one to two seconds.
const WORKED_MS: Ms = 3_000;
/// The base delay before a lasting task that failed soon after its start is restarted, in milliseconds. The first two failures
/// cause no delay; from the third on the delay doubles with each failure.
const FAILED_PAUSE_MS: Ms = 125;
/// The maximum number of doublings of that delay.
const MOST_PAUSE_DOUBLINGS: u32 = 4;

impl Pool {
    /// Applies a run's end that a VM reported.
    pub(super) fn take_end(&mut self, vm_key: VmKey, end: &RunEnd, now: Now) {
        let vm = &mut self.vms[vm_key];
        vm.strays.remove(&end.run);
        vm.ends_taken = vm.ends_taken.max(end.sequence);
        let Some(run) = self.remove_run(vm_key, end.run) else {
            self.take_late_end(end, now);
            return;
        };
        let vm = &mut self.vms[vm_key];
        match end.kind {
            EndKind::Done => vm.note_success(),
            EndKind::Failed => {
                vm.note_failure(end.run.task.job, now.steady);
            }
            EndKind::Stopped | EndKind::Lapsed | EndKind::Broken | EndKind::Alone => (),
        }
        let Some(key) = self.job_key(end.run.task) else { return };
        if end.kind == EndKind::Done {
            self.learn(key, end.run, now.steady.saturating_sub(run.started));
            self.clear(end.run.task);
        }
        self.settle_run(key, vm_key, end, now);
        if end.kind == EndKind::Failed && run.lasting {
            self.pause_after_failure(end.run.task, run.started, now);
        }
    }

    /// Applies the end of a run that was already abandoned. If the run is done and its task still waits, the task is marked done
    /// so that the work is not repeated.
    fn take_late_end(&mut self, end: &RunEnd, now: Now) {
        let Some(key) = self.job_key(end.run.task).filter(|_| end.kind == EndKind::Done) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(key).filter(|job| job.phase == Phase::Open) else {
            return;
        };
        let ends_by_itself = |shape: &Step| !shape.lasting && !shape.gang;
        if !job.spec.steps.get(usize::from(end.run.task.step)).is_some_and(ends_by_itself) {
            return;
        }
        let Some((step, index)) = job.step_mut(end.run.task) else { return };
        let task = &step.tasks[index];
        if task.attempt != end.run.attempt || task.spot != Spot::Waiting {
            return;
        }
        step.set(index, Spot::Done);
        self.clear(end.run.task);
        self.touch(key);
        self.close_time(key, end.run, now);
    }

    /// Defers the next start of a lasting task that failed soon after its last start.
    fn pause_after_failure(&mut self, task: TaskId, started: Ms, now: Now) {
        let Some((step, index)) = self.job_mut(task).and_then(|job| job.step_mut(task)) else {
            return;
        };
        let task = &mut step.tasks[index];
        if now.steady.saturating_sub(started) >= WORKED_MS {
            task.quick_failures = 0;
            return;
        }
        let pause = match task.quick_failures {
            // Two failures may be chance.
            0 | 1 => 0,
            n => (FAILED_PAUSE_MS << n.min(MOST_PAUSE_DOUBLINGS)).min(MOST_PAUSE_MS),
        };
        task.quick_failures += 1;
        task.not_before = now.steady + pause;
    }

    fn settle_run(&mut self, key: JobKey, vm: VmKey, end: &RunEnd, now: Now) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        let open = job.phase == Phase::Open;
        let spec = job.spec.clone();
        let Some(shape) = spec.steps.get(usize::from(end.run.task.step)) else { return };
        let Some((step, index)) = job.step_mut(end.run.task) else { return };
        let task = &mut step.tasks[index];
        if task.attempt != end.run.attempt || task.spot != Spot::On(vm) {
            return;
        }
        if !open {
            step.set(index, Spot::Waiting);
            self.touch(key);
            return;
        }
        if !end.checkpoint.is_empty() {
            task.checkpoint.clone_from(&end.checkpoint);
        }
        if end.kind == EndKind::Done && !shape.lasting {
            step.set(index, Spot::Done);
            if shape.gang {
                // The gang's work is done; the remaining members end by themselves.
                for i in 0..step.tasks.len() {
                    step.set(i, Spot::Done);
                }
            }
            self.touch(key);
            self.close_time(key, end.run, now);
            return;
        }
        step.set(index, Spot::Waiting);
        let mut failures = 0;
        if end.kind == EndKind::Failed && !shape.lasting {
            let already_counted = shape.gang && step.failed_attempt == end.run.attempt;
            step.failed_attempt = end.run.attempt;
            let task = &mut step.tasks[index];
            task.failures += u32::from(!already_counted);
            task.avoid = Some(vm);
            failures = if shape.gang { step.gang_failures() } else { step.tasks[index].failures };
        } else if end.kind == EndKind::Failed {
            step.tasks[index].avoid = Some(vm);
        }
        self.touch(key);
        if failures > 0 && failures >= spec.objective.max_attempts.max(1) {
            self.settle(key, Phase::Failed, now);
        }
    }

    fn close_time(&mut self, key: JobKey, run: RunId, now: Now) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        if job.close_done_time(run.task.time) {
            job.phase = Phase::Completed;
            job.settled_ms = now.wall;
        }
    }
}
