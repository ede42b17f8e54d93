//! Takeover of a pool from its records by a new owner.

use std::sync::Arc;

use super::job::TaskState;
use super::run::Run;
use super::{Now, Pool};
use crate::crash_history::{CrashHistoryRecord, Verdict};
use crate::id::{JobId, TaskId, VmIncarnation};
use crate::job_log::JobEntry;
use crate::progress::{Phase, Progress, TaskPlacement, TaskRecord};
use crate::spec::JobSpec;

impl Pool {
    /// Records that this owner has just taken over the pool.
    pub fn record_takeover(&mut self, now: Now) {
        self.moves_allowed_from = now.steady + self.policy.tasks.pause_after_takeover_ms;
    }

    /// Adds a job from its records. Tasks that were ordered to run on a VM count as running there until the VM has answered under
    /// this owner's token or its lease is over.
    pub fn adopt(&mut self, id: JobId, entry: &JobEntry, now: Now) {
        let Some(spec) = &entry.spec else { return };
        if self.job_keys.contains_key(&id) {
            return;
        }
        if entry.progress.phase != Phase::Open {
            self.adopt_settled(id, spec, &entry.progress, now);
            return;
        }
        let mut job = self.new_job(id, spec.clone(), now);
        self.record_arrival(spec, job.accepted, now.steady);
        // No record tells which of the ordered starts were carried out.
        (job.start_ordered, job.may_have_run) =
            (entry.progress.start_ordered, entry.progress.start_ordered);
        job.has_started = entry.progress.has_started;
        job.done_repetitions.clone_from(&entry.progress.done_repetitions);
        job.open_due_repetitions(now);
        if let Some(last) = entry.progress.tasks.iter().map(|record| record.repetition).max() {
            // All repetitions before a recorded one are due as well, whatever this node's clock says.
            job.open_repetitions_up_to(last);
        }
        for CrashHistoryRecord { repetition, step, index, crash_history } in
            &entry.progress.crash_histories
        {
            let task = TaskId { job: id, repetition: *repetition, step: *step, index: *index };
            job.crash_histories.insert(task, crash_history.clone());
        }
        let key = self.jobs.insert(job);
        self.job_keys.insert(id, key);
        self.update_jobs_with_crash_history(key);
        for record in &entry.progress.tasks {
            self.adopt_task(id, record, now);
        }
        if entry.cancelled {
            self.cancel(id, now);
        }
    }

    /// Adds a settled job whose tasks may still be running. They count as running and are to be stopped.
    fn adopt_settled(&mut self, id: JobId, spec: &Arc<JobSpec>, progress: &Progress, now: Now) {
        if progress.tasks.is_empty() {
            return;
        }
        let mut job = self.new_job(id, spec.clone(), now);
        (job.phase, job.settled_ms) = (progress.phase, progress.settled_ms);
        (job.start_ordered, job.has_started) = (true, progress.has_started);
        for record in &progress.tasks {
            job.open_repetition(record.repetition);
        }
        let key = self.jobs.insert(job);
        self.job_keys.insert(id, key);
        for record in &progress.tasks {
            self.adopt_task(id, record, now);
        }
        // Each stop is ordered when the VM lists the run.
        for vm in self.vms.values_mut() {
            let of_job = vm.runs.iter_mut().filter(|(task, _)| task.job == id);
            of_job.for_each(|(_, run)| run.stopping = true);
        }
    }

    fn adopt_task(&mut self, job_id: JobId, record: &TaskRecord, now: Now) {
        let id = TaskId {
            job: job_id,
            repetition: record.repetition,
            step: record.step,
            index: record.index,
        };
        let state = match &record.placement {
            TaskPlacement::Waiting => TaskState::Waiting,
            TaskPlacement::Done => TaskState::Done,
            TaskPlacement::On(vm) => {
                TaskState::Assigned(self.vm_key(&VmIncarnation::from(vm.as_str())))
            }
        };
        let Some(job) = self.job_mut(id) else { return };
        let step_spec = job.spec.steps.get(usize::from(id.step)).cloned();
        let is_abandoned =
            job.crash_histories.get(&id).is_some_and(|h| h.verdict() == Verdict::GivenUp);
        let Some((step, index)) = job.step_mut(id) else { return };
        step.set(index, state);
        step.set_abandoned(index, is_abandoned);
        let task = &mut step.tasks[index];
        task.attempt = record.attempt;
        task.failures = record.failures;
        task.checkpoint.clone_from(&record.checkpoint);
        let TaskState::Assigned(vm) = state else { return };
        let Some(step_spec) = step_spec else { return };
        let unproven_for = self.unproven_for(id);
        let run = Run {
            speed_percent: None,
            unproven_for,
            ..Run::new(record.attempt, &step_spec, now.steady)
        };
        self.add_run(vm, id, run);
    }

    /// Returns the VM incarnations that have runs, each with the platform's listing if there is one.
    pub fn vms_with_runs(&self) -> Vec<(VmIncarnation, Option<Arc<crate::vm::VmFacts>>)> {
        let busy = |vm: &&super::Vm| !vm.runs.is_empty();
        self.vms.values().filter(busy).map(|vm| (vm.id.clone(), vm.facts.clone())).collect()
    }
}
