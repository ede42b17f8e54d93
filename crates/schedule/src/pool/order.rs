//! Orders to VMs and their results.

use std::sync::Arc;

use super::job::TaskState;
use super::{Now, Pool, VmKey};
use crate::Ms;
use crate::id::{RunId, TaskId, VmIncarnation};
use crate::spec::JobSpec;
use crate::vm::Room;

/// An order to start a run.
#[derive(Clone, Debug)]
pub struct StartOrder {
    /// The VM incarnation.
    pub vm: VmIncarnation,
    /// The run.
    pub run: RunId,
    /// The job's specification, whose text is sent with the order.
    pub spec: Arc<JobSpec>,
    /// The checkpoint to resume from; empty to start from the beginning.
    pub checkpoint: String,
    /// The ticket from the advice service, if the queue has an advice policy.
    pub ticket: Option<String>,
    /// CPU that remains free on the VM with this run, in thousandths of a core; for the log line.
    pub free_cpu: u32,
    /// When the run was placed on the VM.
    pub placed_at: Ms,
    /// The configured cap of the job's workspace when the run was placed.
    pub cap: Room,
}

/// An order to a VM, or a request to the advice service.
#[derive(Clone, Debug)]
pub enum Order {
    /// Start a run.
    Start(StartOrder),
    /// Stop a run, or block its start if the start has not arrived yet.
    Stop {
        /// The VM incarnation.
        vm: VmIncarnation,
        /// The run.
        run: RunId,
        /// Whether the run is stopped only to move its task to another VM.
        for_move: bool,
    },
    /// Request advice on which VMs may run a step.
    RequestAdvice(super::AdviceRequest),
    /// Limit a run to a share of its full speed.
    Throttle {
        /// The VM incarnation.
        vm: VmIncarnation,
        /// The run.
        run: RunId,
        /// The share of the full speed, in percent.
        percent: u32,
    },
}

/// The result of an order to start a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartResult {
    /// The VM has the run.
    Started,
    /// The VM has the run, and an unanswered copy of the order may still be executed.
    StartedWithCopies,
    /// The VM did not accept the run, and no copy of the order is in flight.
    NotTaken,
    /// The order was not sent, because the VM no longer accepts it; no copy of it is in flight.
    Withheld,
    /// The VM has no room for the run; nothing was started.
    NoRoom,
    /// The VM rejected the run because the VM is unhealthy; nothing was started.
    Unhealthy,
    /// The VM refused a repeated order: an earlier copy may have been executed or still be in flight. The VM's next report shows
    /// the former, and a stop prevents the latter.
    Unclear,
}

impl Pool {
    /// Applies the result of a start order.
    pub fn apply_start_result(
        &mut self,
        vm: &VmIncarnation,
        run: RunId,
        result: StartResult,
        now: Now,
    ) {
        let Some(&vm_key) = self.vm_keys.get(vm) else { return };
        let Some(v) = self.vms.get_mut(vm_key) else { return };
        let Some(found) = v.runs.get_mut(&run.task).filter(|r| r.attempt == run.attempt) else {
            return;
        };
        match result {
            StartResult::Started | StartResult::StartedWithCopies => {
                found.has_copies = result == StartResult::StartedWithCopies;
                if found.confirmed.is_none() {
                    self.start_rate.record_confirmed(found.ordered_at, now.steady);
                    self.standstill.record_start(now.steady);
                }
                found.confirmed = Some(now.steady);
                found.started = now.steady;
                found.reported = true;
                v.room_rejections = 0;
                self.record_reported_run(run.task);
            }
            StartResult::Unclear => {
                (found.confirmed, found.unclear) = (Some(now.steady), true);
                self.record_run(run.task);
            }
            StartResult::NotTaken => self.release_unstarted(vm_key, run, now),
            StartResult::Withheld => {
                self.release_unstarted(vm_key, run, now);
                self.stop_gang_of(run, now);
            }
            StartResult::NoRoom => {
                v.exclude_for_room(now.steady);
                self.release_unstarted(vm_key, run, now);
            }
            StartResult::Unhealthy => {
                v.exclude_briefly(now.steady);
                self.release_unstarted(vm_key, run, now);
            }
        }
    }

    /// Releases a run whose start was not carried out.
    fn release_unstarted(&mut self, vm: VmKey, run: RunId, now: Now) {
        self.release(vm, run, now);
        if let Some(job) = self.job_mut(run.task) {
            job.record_not_started();
        }
    }

    /// Records that a run of a task may have existed.
    pub(super) fn record_run(&mut self, task: TaskId) {
        if let Some(job) = self.job_mut(task) {
            job.may_have_run = true;
        }
    }

    /// Records that a VM has answered a stop: the run is about to end, or its start is blocked.
    pub fn record_stop_answer(&mut self, vm: &VmIncarnation, run: RunId, now: Now) {
        let Some(&vm_key) = self.vm_keys.get(vm) else { return };
        let Some(v) = self.vms.get_mut(vm_key) else { return };
        if let Some(found) = v.runs.get_mut(&run.task).filter(|r| r.attempt == run.attempt) {
            found.confirmed = Some(now.steady);
        }
    }

    /// Frees the room of a run that certainly does not exist, and returns its task to the waiting state.
    pub(super) fn release(&mut self, vm: VmKey, run: RunId, _now: Now) {
        let Some(removed) = self.remove_run(vm, run) else { return };
        let Some(&key) = self.job_keys.get(&run.task.job) else { return };
        let Some(job) = self.jobs.get_mut(key) else { return };
        let Some((step, index)) = job.step_mut(run.task) else { return };
        if step.tasks[index].attempt == run.attempt
            && step.tasks[index].state == TaskState::Assigned(vm)
        {
            step.set(index, TaskState::Waiting);
            step.tasks[index].avoid = Some(vm);
            if !removed.checkpoint.is_empty() {
                step.tasks[index].checkpoint = removed.checkpoint;
            }
            self.mark_changed(key);
        }
    }

    pub(super) fn order_stop(&mut self, vm: VmKey, task: TaskId, attempt: u32) {
        let Some(v) = self.vms.get(vm) else { return };
        let for_move = v.runs.get(&task).is_some_and(|r| r.attempt == attempt && r.moving);
        let run = RunId { task, attempt };
        self.orders.push(Order::Stop { vm: v.id.clone(), run, for_move });
    }
}
