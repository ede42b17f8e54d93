//! Placement of gangs, whose tasks work only together.

use super::place::ReadyStep;
use super::run::Run;
use super::suspects::Isolation;
use super::{Now, Pool};
use crate::Ms;
use crate::crash_history::Verdict;
use crate::id::{RunId, TaskId};
use crate::spec::Step;

impl Pool {
    /// Places all tasks of a gang or none. A rack-local gang is placed on one rack if possible.
    pub(super) fn place_gang(&mut self, ready: ReadyStep, step_spec: &Step, now: Now) {
        let waiting = self.waiting_tasks(ready);
        let all =
            self.jobs[ready.job_key].repetitions[&ready.repetition].steps[ready.step].tasks.len();
        if waiting.len() < all || !self.record_has_room(ready, all) {
            return;
        }
        let whole = step_spec.demand.times(step_spec.count);
        if !self.quota.may_start(self.jobs[ready.job_key].workspace, whole) {
            return;
        }
        let Some(isolation) = self.gang_isolation(ready, step_spec, &waiting, now.steady) else {
            return;
        };
        let mut racks: Vec<Option<std::sync::Arc<str>>> = Vec::new();
        if step_spec.rack_local {
            for vm in self.vms.values().filter_map(|vm| vm.facts.as_ref()) {
                if !racks.iter().flatten().any(|r| *r == vm.rack) {
                    racks.push(Some(vm.rack.clone()));
                }
            }
        }
        racks.push(None);
        let attempt = waiting.iter().map(|&i| self.next_attempt(ready, i)).max().unwrap_or(1);
        for rack in racks {
            let mut placed = Vec::new();
            for &index in &waiting {
                let Some(vm) =
                    self.choose_vm(ready, step_spec, index, rack.as_deref(), isolation, now.steady)
                else {
                    break;
                };
                let before = self.next_attempt(ready, index) - 1;
                self.reserve(ready, step_spec, index, attempt, vm, now);
                placed.push((index, vm, before));
            }
            if placed.len() == waiting.len() {
                self.share_checkpoint(ready);
                for (index, vm, _) in placed {
                    self.order_start(ready, index, attempt, vm, now.steady);
                }
                return;
            }
            for (index, vm, before) in placed {
                let run = RunId { task: ready.task(index), attempt };
                self.unreserve(ready, vm, run, before);
            }
        }
    }

    /// Stops the other members of a gang of which one is not started, instead of letting them wait for it in vain.
    pub(super) fn stop_gang_of(&mut self, run: RunId, now: Now) {
        let is_member = |task: &TaskId, other: &Run| {
            let same_step = TaskId { index: run.task.index, ..*task } == run.task;
            let stops = other.stopping && !other.moving;
            other.in_gang && same_step && other.attempt == run.attempt && !stops
        };
        let mut members = Vec::new();
        for (vm, state) in &mut self.vms {
            for (&task, member) in state.runs.iter_mut().filter(|(task, r)| is_member(task, r)) {
                (member.stopping, member.moving, member.stop_ordered) = (true, false, now.steady);
                members.push((vm, task));
            }
        }
        for (vm, task) in members {
            self.order_stop(vm, task, run.attempt);
        }
    }

    /// Gives all members of a gang the same checkpoint. Any member's checkpoint is valid, but all must start from the same one.
    fn share_checkpoint(&mut self, ready: ReadyStep) {
        let job = &mut self.jobs[ready.job_key];
        let Some((step, _)) = job.step_mut(ready.task(0)) else { return };
        let saved = step.tasks.iter().map(|t| &t.checkpoint).find(|c| !c.is_empty());
        let Some(saved) = saved.cloned() else { return };
        for task in &mut step.tasks {
            task.checkpoint.clone_from(&saved);
        }
    }

    /// Returns the isolation of a gang, or `None` while it may not be started. A gang with a suspect member is treated as a
    /// suspect.
    pub(super) fn gang_isolation(
        &self,
        ready: ReadyStep,
        step_spec: &Step,
        members: &[usize],
        now: Ms,
    ) -> Option<Isolation> {
        let suspect = |&&i: &&usize| self.verdict(ready.task(i)) != Verdict::Clear;
        let Some(&suspect) = members.iter().find(suspect) else {
            return Some(Isolation::FromSuspects);
        };
        let isolation = self.isolation(ready, suspect, now)?;
        self.may_occupy_one_more_vm(step_spec, isolation, now).then_some(isolation)
    }
}
