//! Moving tasks off VMs that are cordoned or leaving. Lasting tasks are moved, and if another pool urgently needs the VM, also
//! tasks that can be resumed elsewhere. The evacuation of a data hall is no reason to move tasks: those
//! that run there end as usual.

use super::job::{Job, Task, TaskState};
use super::remaining::WORTH_STOPPING_MS;
use super::run::Run;
use super::{Now, Pool, VmKey};
use crate::id::{RunId, TaskId, VmIncarnation};
use crate::spec::Step;

impl Pool {
    /// Stops lasting tasks on VMs that are cordoned or leaving, as far as each step's limit on absent tasks allows and there is
    /// room elsewhere. Also stops resumable tasks on VMs that another pool urgently needs.
    pub(super) fn move_tasks_off_leaving_vms(&mut self, now: Now) {
        let leaving = |key: VmKey| {
            let vm = &self.vms[key];
            // Some VMs leave unannounced: they are no longer listed but keep running for a while.
            let left_the_list = self.listing_is_complete && !vm.listed;
            let leaves = vm.cordoned || vm.draining() || left_the_list;
            leaves && vm.reachable && !vm.runs.is_empty()
        };
        let mut vms: Vec<VmKey> = self.vms.keys().filter(|&k| leaving(k)).collect();
        // Draining VMs go first: the tasks stopped there count as absent when tasks whose move can wait are checked.
        vms.sort_by_key(|&key| !self.vms[key].draining());
        for key in vms {
            let can_stop = |(_, run): &(&TaskId, &Run)| !run.stopping && run.confirmed.is_some();
            let runs: Vec<(TaskId, u32)> = self.vms[key]
                .runs
                .iter()
                .filter(can_stop)
                .map(|(&task, run)| (task, run.attempt))
                .collect();
            for (task, attempt) in runs {
                if self.may_move(key, task, now) || self.is_urgent(key, task, now) {
                    self.stop_to_move(key, task, attempt, now);
                }
            }
        }
    }

    /// Returns the runs whose stops must not be sent now, or not again: they only move, and so many other tasks of their steps
    /// have gone away since that none may be stopped.
    pub fn withheld_moves(&self) -> Vec<(VmIncarnation, RunId)> {
        let mut withheld = Vec::new();
        for (key, vm) in &self.vms {
            for (&task, run) in vm.runs.iter().filter(|(_, run)| run.moving) {
                if self.is_move_withheld(key, task) {
                    withheld.push((vm.id.clone(), RunId { task, attempt: run.attempt }));
                }
            }
        }
        withheld
    }

    /// Returns whether too many other tasks of a lasting step are absent to stop this one, unless its VM drains.
    pub(super) fn is_move_withheld(&self, vm: VmKey, task: TaskId) -> bool {
        let Some(job) = self.job_key(task).and_then(|key| self.jobs.get(key)) else { return false };
        let Some(step_spec) = job.spec.steps.get(usize::from(task.step)) else { return false };
        step_spec.lasting && !self.vms[vm].draining() && !self.may_be_absent(job, step_spec, task)
    }

    /// Returns whether a task may be stopped by the limit on absent tasks of its step.
    fn may_be_absent(&self, job: &Job, step_spec: &Step, task: TaskId) -> bool {
        let Some(step) =
            job.repetitions.get(&task.repetition).and_then(|t| t.steps.get(usize::from(task.step)))
        else {
            return false;
        };
        let index = usize::try_from(task.index).unwrap_or(usize::MAX);
        let others = step.tasks.iter().enumerate().filter(|&(i, _)| i != index);
        let others_absent = others.filter(|(_, t)| !self.is_working(t)).count();
        others_absent < usize::try_from(step_spec.may_miss.max(1)).unwrap_or(1)
    }

    /// Returns whether a run must be stopped because another pool urgently needs its VM. The task may have to wait for room, as
    /// its own pool needs the VM less.
    fn is_urgent(&self, vm: VmKey, task: TaskId, now: Now) -> bool {
        if !self.policy.moves.stop_tasks {
            return false;
        }
        let vm = &self.vms[vm];
        let urgent = vm.cordoned && vm.name().is_some_and(|name| self.urgent.contains(name));
        let Some(run) = vm.runs.get(&task).filter(|run| urgent && run.can_be_resumed()) else {
            return false;
        };
        self.time_left(task, run, now.steady) > WORTH_STOPPING_MS
    }

    /// Returns whether the task is a lasting task that may now be stopped on its VM and moved to another.
    fn may_move(&self, vm: VmKey, task: TaskId, now: Now) -> bool {
        let Some(job) = self.job_key(task).and_then(|key| self.jobs.get(key)) else { return false };
        let Some(step_spec) = job.spec.steps.get(usize::from(task.step)).filter(|s| s.lasting)
        else {
            return false;
        };
        let Some(step) =
            job.repetitions.get(&task.repetition).and_then(|t| t.steps.get(usize::from(task.step)))
        else {
            return false;
        };
        let index = usize::try_from(task.index).unwrap_or(usize::MAX);
        if step.tasks.get(index).is_none_or(|t| t.state != TaskState::Assigned(vm)) {
            return false;
        }
        // A draining VM soon ends all of its runs, so the limit on absent tasks does not apply.
        if self.vms[vm].draining() {
            return self.fits_elsewhere(vm, task, step_spec, now);
        }
        if now.steady < self.moves_allowed_from {
            return false;
        }
        self.may_be_absent(job, step_spec, task) && self.fits_elsewhere(vm, task, step_spec, now)
    }

    /// Returns whether a lasting task is known to be working. On an unreachable VM it may have died.
    fn is_working(&self, task: &Task) -> bool {
        let TaskState::Assigned(vm) = task.state else { return false };
        task.working && self.vms.get(vm).is_some_and(|vm| vm.reachable)
    }

    /// Returns whether some other VM has room for a task and its step's anti-affinity limit allows it there.
    fn fits_elsewhere(&self, vm: VmKey, task: TaskId, step_spec: &Step, now: Now) -> bool {
        let same_step = |t: &TaskId| {
            t.job == task.job && t.repetition == task.repetition && t.step == task.step
        };
        self.vms.iter().any(|(key, other)| {
            let same_step_count = other.runs.keys().filter(|t| same_step(t)).count();
            let max_per_vm = usize::try_from(step_spec.anti_affinity).unwrap_or(usize::MAX);
            key != vm
                && other.accepts_work()
                && other.excluded_until <= now.steady
                && other.free().fits(step_spec.room())
                && (max_per_vm == 0 || same_step_count < max_per_vm)
        })
    }

    fn stop_to_move(&mut self, vm: VmKey, task: TaskId, attempt: u32, now: Now) {
        if let Some(run) = self.vms[vm].runs.get_mut(&task) {
            (run.stopping, run.moving) = (true, true);
            run.stop_ordered = now.steady;
        }
        if let Some((step, index)) = self.job_mut(task).and_then(|j| j.step_mut(task)) {
            step.tasks[index].working = false;
        }
        self.order_stop(vm, task, attempt);
    }
}
