//! Placement of waiting tasks on VMs.

use super::incarnation::Vm;
use super::job::TaskState;
use super::run::Run;
use super::suspects::Isolation;
use super::{JobKey, Now, Order, Pool, StartOrder, StepId, VmKey};
use crate::Ms;
use crate::crash_history::Verdict;
use crate::id::{JobId, RunId, TaskId};
use crate::progress::Phase;
use crate::spec::Step;
use crate::vm::Room;

/// A step of one repetition of a job that has waiting tasks.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReadyStep {
    pub job_key: JobKey,
    pub job_id: JobId,
    pub repetition: u32,
    /// The step's index in the job's specification.
    pub step: usize,
}

impl ReadyStep {
    /// Returns the step's ID.
    pub fn step_id(&self) -> StepId {
        let step = u16::try_from(self.step).unwrap_or(u16::MAX);
        StepId { job: self.job_id, repetition: self.repetition, step }
    }

    pub fn task(&self, index: usize) -> TaskId {
        TaskId {
            job: self.job_id,
            repetition: self.repetition,
            step: u16::try_from(self.step).unwrap_or(u16::MAX),
            index: u32::try_from(index).unwrap_or(u32::MAX),
        }
    }
}

impl Pool {
    pub(super) fn open_due_repetitions(&mut self, now: Now) {
        for job in self.jobs.values_mut().filter(|j| j.phase == Phase::Open) {
            job.open_due_repetitions(now);
        }
    }

    /// Places waiting tasks while there is room. Jobs are ordered by the crashes under their suspects, then by rank.
    pub(super) fn place_waiting(&mut self, now: Now) {
        if !self.vms.values().any(|vm| vm.accepts_work() && vm.excluded_until <= now.steady) {
            return;
        }
        let mut ranked = Vec::new();
        for (key, job) in self.jobs.iter().filter(|(_, j)| j.phase == Phase::Open) {
            if job.ready_steps().next().is_some() {
                let crashes = self.max_crashes(key);
                ranked.push((crashes, self.rank(job, now.steady), job.accepted, key));
            }
        }
        self.rank_in_overload(&mut ranked, now.steady);
        ranked.sort_unstable();
        self.update_start_record_bytes();
        self.count_unanswered_starts();
        let mut most_free = self.most_free(now.steady);
        for key in self.overdue_jobs(now.steady) {
            self.place_job(key, 1, &mut most_free, now);
        }
        for (.., key) in ranked {
            if !self.owner_has_room() {
                return;
            }
            self.place_job(key, usize::MAX, &mut most_free, now);
        }
    }

    /// Returns, for each resource, the largest free amount on any VM. A task that needs more fits nowhere.
    fn most_free(&self, now: Ms) -> Room {
        let takes = |vm: &&Vm| vm.accepts_work() && vm.excluded_until <= now;
        self.vms.values().filter(takes).map(Vm::free).fold(Room::default(), Room::greater_of_each)
    }

    /// Places the tasks of a job, of each step at most `limit`.
    fn place_job(&mut self, key: JobKey, limit: usize, most_free: &mut Room, now: Now) {
        self.update_record_room(key);
        let job = &self.jobs[key];
        let job_id = job.id;
        let ready: Vec<ReadyStep> = job
            .ready_steps()
            .map(|(repetition, step, _)| ReadyStep { job_key: key, job_id, repetition, step })
            .collect();
        for step in ready {
            let spec = self.jobs[key].spec.clone();
            let step_spec = &spec.steps[step.step];
            // Placement only reduces free room, so `most_free` may be too large but never too small.
            if !most_free.fits(step_spec.room()) {
                // No VM has enough room, so the search is skipped.
            } else if step_spec.gang {
                self.place_gang(step, step_spec, now);
            } else if !self.place_step(step, step_spec, limit, now) {
                *most_free = self.most_free(now.steady);
            }
            let waits = !self.waiting_tasks(step).is_empty();
            if let Some(policy) = spec.advice.filter(|_| waits) {
                self.request_advice(step, step_spec, policy, now);
            }
        }
    }

    /// Places at most `limit` of the waiting tasks of a step. Returns `false` if no VM was found for a task that is not a suspect.
    fn place_step(&mut self, ready: ReadyStep, step_spec: &Step, limit: usize, now: Now) -> bool {
        for index in self.waiting_tasks(ready).into_iter().take(limit) {
            if !self.owner_has_room() || !self.record_has_room(ready, 1) {
                return true;
            }
            if self.is_deferred(ready, index, now.steady) {
                continue;
            }
            if !self.quota.may_start(self.jobs[ready.job_key].workspace, step_spec.demand) {
                return true;
            }
            let Some(mut isolation) = self.isolation(ready, index, now.steady) else { continue };
            let suspect = self.verdict(ready.task(index)) == Verdict::Suspect;
            if suspect && !self.may_occupy_one_more_vm(step_spec, isolation, now.steady) {
                isolation = Isolation::WithOwnSuspect;
            }
            // Apart from suspects, all tasks of a step fit on the same VMs: a VM to avoid is still used as a last resort. If one
            // task finds no VM, the others find none either.
            let Some(vm) = self.choose_vm(ready, step_spec, index, None, isolation, now.steady)
            else {
                if suspect {
                    continue;
                }
                return false;
            };
            let attempt = self.next_attempt(ready, index);
            self.start(ready, step_spec, index, attempt, vm, now);
        }
        true
    }

    pub(super) fn waiting_tasks(&self, ready: ReadyStep) -> Vec<usize> {
        let step = &self.jobs[ready.job_key].repetitions[&ready.repetition].steps[ready.step];
        let waits = |&i: &usize| step.tasks[i].waits();
        (0..step.tasks.len()).filter(waits).collect()
    }

    /// Returns whether the next start of a task is still deferred because its last run failed soon after its start.
    fn is_deferred(&self, ready: ReadyStep, index: usize, now: Ms) -> bool {
        self.jobs[ready.job_key].task(ready.task(index)).is_some_and(|t| now < t.not_before)
    }

    fn avoided_vm(&self, ready: ReadyStep, index: usize) -> Option<VmKey> {
        self.jobs[ready.job_key].task(ready.task(index)).and_then(|t| t.avoid)
    }

    pub(super) fn next_attempt(&self, ready: ReadyStep, index: usize) -> u32 {
        self.jobs[ready.job_key].task(ready.task(index)).map_or(1, |t| t.attempt + 1)
    }

    /// Returns the best VM for a task, or `None` if no VM fits.
    pub(super) fn choose_vm(
        &self,
        ready: ReadyStep,
        step_spec: &Step,
        index: usize,
        rack: Option<&str>,
        isolation: Isolation,
        now: Ms,
    ) -> Option<VmKey> {
        let avoid = self.avoided_vm(ready, index);
        let needs_ticket = self.jobs[ready.job_key].spec.advice.is_some();
        let recent_crash = self.has_recent_crash(now);
        let fits = |vm: &Vm| {
            has_place(vm, ready, step_spec)
                && vm.excluded_until <= now
                && vm.may_share(ready.job_id, isolation, now)
                && rack.is_none_or(|r| vm.facts.as_ref().is_some_and(|f| &*f.rack == r))
                && (!needs_ticket || self.ticket(ready.step_id(), &vm.id, now).is_some())
        };
        // VMs are compared by these criteria in order. A VM on which the task failed is only a last resort.
        let score = |(key, vm): &(VmKey, &Vm)| {
            // Among VMs on which a start would wait long for its turn, the one with the shortest wait is preferred.
            let wait = std::cmp::Reverse(self.long_start_wait(vm));
            let near = step_spec.affinity.as_deref().is_some_and(|a| has_label(vm, a));
            // On a VM due for maintenance, a lasting task would have to move again.
            let not_due = !step_spec.lasting
                || !vm.name().is_some_and(|n| self.due_for_maintenance.contains(n));
            // A crash costs least on a VM without lasting tasks.
            let avoids_lasting = step_spec.lasting || !recent_crash || vm.lasting_runs() == 0;
            // Lasting tasks are packed on few VMs so that the others can be removed when load is low.
            let packed = if step_spec.lasting { vm.lasting_runs() } else { 0 };
            // Lasting tasks of the same step are still spread, so that the loss of a VM affects few of them.
            let spread = if step_spec.lasting {
                std::cmp::Reverse(count_tasks_of_step(vm, ready))
            } else {
                std::cmp::Reverse(0)
            };
            // The fullest VM that fits is preferred, so that the others become empty and can serve other pools.
            let fullness = std::cmp::Reverse(vm.free().cpu);
            // When a data hall returns to service, all of its VMs are cold; tasks finish sooner on warm VMs.
            let warm = vm.facts.as_ref().is_some_and(|f| !f.cold);
            (
                Some(*key) != avoid,
                warm,
                !interferes(vm, step_spec),
                not_due,
                avoids_lasting,
                wait,
                near,
                spread,
                packed,
                fullness,
            )
        };
        self.vms.iter().filter(|(_, vm)| fits(vm)).max_by_key(score).map(|(key, _)| key)
    }

    fn start(
        &mut self,
        ready: ReadyStep,
        step_spec: &Step,
        index: usize,
        attempt: u32,
        vm: VmKey,
        now: Now,
    ) {
        self.reserve(ready, step_spec, index, attempt, vm, now);
        self.order_start(ready, index, attempt, vm, now.steady);
    }

    /// Reserves room on a VM for a run and assigns its task to the VM.
    pub(super) fn reserve(
        &mut self,
        ready: ReadyStep,
        step_spec: &Step,
        index: usize,
        attempt: u32,
        vm: VmKey,
        now: Now,
    ) {
        let task = self.jobs[ready.job_key].task(ready.task(index));
        let from_start = task.is_some_and(|t| t.checkpoint.is_empty());
        let unproven_for = self.unproven_for(ready.task(index));
        let run = Run::new(attempt, step_spec, now.steady);
        let run = Run { ordered_at: Some(now.steady), from_start, unproven_for, ..run };
        self.add_run(vm, ready.task(index), run);
        self.vms[vm].unanswered_starts += 1;
        if let Some((step, index)) = self.jobs[ready.job_key].step_mut(ready.task(index)) {
            step.set(index, TaskState::Assigned(vm));
            step.tasks[index].attempt = attempt;
        }
    }

    /// Reverts [`Pool::reserve`]; `before` is the attempt number before it.
    pub(super) fn unreserve(&mut self, ready: ReadyStep, vm: VmKey, run: RunId, before: u32) {
        // No order was issued for the run.
        let _ = self.remove_run(vm, run);
        self.vms[vm].unanswered_starts -= 1;
        if let Some((step, index)) = self.jobs[ready.job_key].step_mut(run.task) {
            step.set(index, TaskState::Waiting);
            step.tasks[index].attempt = before;
        }
    }

    pub(super) fn order_start(
        &mut self,
        ready: ReadyStep,
        index: usize,
        attempt: u32,
        vm: VmKey,
        now: Ms,
    ) {
        let task = ready.task(index);
        let ticket = self.ticket(ready.step_id(), &self.vms[vm].id, now);
        let cap = self.quota.configured_cap(self.jobs[ready.job_key].workspace);
        let job = &mut self.jobs[ready.job_key];
        job.start_ordered = true;
        let order = StartOrder {
            vm: self.vms[vm].id.clone(),
            run: RunId { task, attempt },
            spec: job.spec.clone(),
            checkpoint: job.task(task).map(|t| t.checkpoint.clone()).unwrap_or_default(),
            ticket,
            free_cpu: self.vms[vm].free().cpu,
            placed_at: now,
            cap,
        };
        self.spend_start_budget(ready, &order);
        self.spend_record_room(ready);
        self.orders.push(Order::Start(order));
        self.mark_changed(ready.job_key);
    }
}

/// Returns whether a VM has room for a task of a step and meets the step's constraints.
pub(super) fn has_place(vm: &Vm, ready: ReadyStep, step_spec: &Step) -> bool {
    vm.accepts_work()
        && vm.free().fits(step_spec.room())
        && has_labels(vm, step_spec)
        && within_anti_affinity(vm, ready, step_spec)
}

fn has_label(vm: &Vm, label: &str) -> bool {
    vm.facts.as_ref().is_some_and(|f| f.labels.iter().any(|l| &**l == label))
}

fn has_labels(vm: &Vm, step_spec: &Step) -> bool {
    step_spec.constraints.iter().all(|label| has_label(vm, label))
}

/// Returns the number of tasks of a step on a VM.
fn count_tasks_of_step(vm: &Vm, ready: ReadyStep) -> usize {
    let of_step = |t: &&TaskId| {
        t.job == ready.job_id
            && t.repetition == ready.repetition
            && usize::from(t.step) == ready.step
    };
    vm.runs.keys().filter(of_step).count()
}

/// Returns whether the step's anti-affinity limit allows one more task on the VM.
fn within_anti_affinity(vm: &Vm, ready: ReadyStep, step_spec: &Step) -> bool {
    if step_spec.anti_affinity == 0 {
        return true;
    }
    count_tasks_of_step(vm, ready) < usize::try_from(step_spec.anti_affinity).unwrap_or(usize::MAX)
}

/// Returns whether the placement would put a filling task and a serving task on the same VM.
fn interferes(vm: &Vm, step_spec: &Step) -> bool {
    if step_spec.fills {
        return vm.runs.values().any(|r| r.tail_target_ms > 0);
    }
    step_spec.tail_target_ms > 0 && vm.runs.values().any(|r| r.fills)
}
