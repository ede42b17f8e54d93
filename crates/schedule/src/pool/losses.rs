//! Runs lost with a VM incarnation, and runs that may still start in the next incarnation.

use super::incarnation::Vm;
use super::job::TaskState;
use super::run::Run;
use super::{Now, Pool, VmKey};
use crate::Ms;
use crate::crash_history::UnclearLoss;
use crate::id::{RunId, TaskId, VmIncarnation};
use crate::vm::VmLoss;

/// A run that was lost with its VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LostRun {
    /// The run.
    pub run: RunId,
    /// The time since the VM confirmed the start, or else since the run was ordered, in milliseconds.
    pub age: Ms,
    /// Whether the run may exist, or may still start, in the VM's next incarnation, where it counts from now on.
    pub may_exist: bool,
}

/// The next incarnation of a VM that was lost.
#[derive(Clone, Copy)]
enum Successor<'a> {
    /// No run can exist there.
    Unrelated,
    /// It has the same ID, and its restart is certain.
    Restarted(&'a VmIncarnation),
    /// It has the same ID, but the restart is not certain.
    Uncertain(&'a VmIncarnation),
}

impl<'a> Successor<'a> {
    /// Returns the incarnation in which a run may exist, if there is one.
    fn may_have(self, run: &Run) -> Option<&'a VmIncarnation> {
        match self {
            Self::Unrelated => None,
            Self::Restarted(next) => (!run.ends_with_incarnation()).then_some(next),
            Self::Uncertain(next) => Some(next),
        }
    }
}

impl Pool {
    /// Records that nothing runs in a VM incarnation any more, and returns the runs that were lost with it.
    pub fn vm_lost(&mut self, id: &VmIncarnation, loss: VmLoss, now: Now) -> Vec<LostRun> {
        self.end_incarnation(id, loss, Successor::Unrelated, now)
    }

    /// Records that a VM has restarted under its ID, and returns the runs that were lost with its previous incarnation.
    /// `previous` and `next` may be equal if the VM reports no start time, or reports the same one again.
    ///
    /// Orders name only the VM's ID, so the new incarnation may have executed, or may yet execute, a start meant for the previous
    /// one. Unless that is impossible, a run counts in the new incarnation until its answer under this owner's token shows
    /// whether the run exists.
    pub fn vm_restarted(
        &mut self,
        previous: &VmIncarnation,
        next: &VmIncarnation,
        now: Now,
    ) -> Vec<LostRun> {
        self.end_incarnation(previous, VmLoss::Replaced, Successor::Restarted(next), now)
    }

    /// Records that a VM has probably restarted under its ID, and returns the runs of the earlier incarnation: an entry names a
    /// later one, or the VM's clock lags. All runs count in the later incarnation until its first answer under this owner's
    /// token, and the VM counts as crashed under those that this answer does not list. `previous` and `next` may be equal.
    ///
    /// Load pattern: a VM whose hold answers contain no start time restarts under its ID, and its clock has passed the last
    /// reading of the earlier incarnation by the time of its first answer.
    pub fn vm_maybe_restarted(
        &mut self,
        previous: &VmIncarnation,
        next: &VmIncarnation,
        now: Now,
    ) -> Vec<LostRun> {
        self.end_incarnation(previous, VmLoss::Replaced, Successor::Uncertain(next), now)
    }

    /// Ends the previous incarnations of a VM, known from records, when the listed incarnation answers for the first time. The
    /// records were written before that incarnation was queried.
    pub(super) fn end_previous_incarnations(&mut self, current: &VmIncarnation, now: Now) {
        if self.vm_keys.get(current).is_some_and(|&key| self.vms[key].token_confirmed) {
            return;
        }
        let previous = |vm: &&Vm| vm.id.is_other_incarnation_of(current) && !vm.listed;
        let previous: Vec<VmIncarnation> =
            self.vms.values().filter(previous).map(|vm| vm.id.clone()).collect();
        for previous in previous {
            self.vm_restarted(&previous, current, now);
        }
    }

    fn end_incarnation(
        &mut self,
        id: &VmIncarnation,
        loss: VmLoss,
        successor: Successor<'_>,
        now: Now,
    ) -> Vec<LostRun> {
        if loss == VmLoss::Replaced {
            self.resolve_unclear_loss(id, true, now);
        }
        let Some(&key) = self.vm_keys.get(id) else { return Vec::new() };
        let mut crashes = self.crashes_under(key, now);
        self.held_ends.remove(id);
        let vm = &mut self.vms[key];
        vm.token_confirmed = false;
        vm.reachable = false;
        vm.last_end_sequence = 0;
        vm.unknown_runs.clear();
        let lost = |(&task, run): (&TaskId, &Run)| LostRun {
            run: RunId { task, attempt: run.attempt },
            age: now.steady.saturating_sub(run.started),
            may_exist: successor.may_have(run).is_some(),
        };
        let lost: Vec<LostRun> = vm.runs.iter().map(lost).collect();
        let unclear = UnclearLoss {
            vm: vm.id.to_string(),
            name: vm.name().map(|n| n.as_ref().to_owned()).unwrap_or_default(),
            at_ms: now.wall,
        };
        if let Successor::Uncertain(_) = successor {
            for (task, crash) in crashes.drain(..) {
                if let Some(run) = self.vms[key].runs.get_mut(&task) {
                    run.crash_if_missing = Some(crash);
                }
            }
        }
        for lost in &lost {
            self.record_run(lost.run.task);
            let next =
                self.vms[key].runs.get(&lost.run.task).and_then(|run| successor.may_have(run));
            match next {
                Some(next) => self.move_run(key, next, lost.run, now),
                None => self.release(key, lost.run, now),
            }
        }
        self.count_loss(&unclear, crashes, loss, now);
        self.remove_vm_if_unused(key);
        lost
    }

    /// Moves a run to the VM's next incarnation, whose first answer shows whether the run exists.
    fn move_run(&mut self, from: VmKey, to: &VmIncarnation, id: RunId, now: Now) {
        let Some(run) = self.remove_run(from, id) else { return };
        let to = self.vm_key(to);
        let mut run = run.in_next_incarnation(now.steady);
        // If the incarnation has already answered, only a report requested from now on decides.
        run.confirmed = self.vms[to].token_confirmed.then_some(now.steady);
        self.add_run(to, id.task, run);
        let Some(key) = self.job_key(id.task) else { return };
        let Some((step, index)) = self.jobs.get_mut(key).and_then(|job| job.step_mut(id.task))
        else {
            return;
        };
        if step.tasks[index].attempt == id.attempt
            && step.tasks[index].state == TaskState::Assigned(from)
        {
            step.set(index, TaskState::Assigned(to));
        }
        self.mark_changed(key);
    }
}
